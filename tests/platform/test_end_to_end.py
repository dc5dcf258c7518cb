from __future__ import annotations

import http.client
import json
import signal
import subprocess
import sys
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler
from pathlib import Path

import pytest
from free_ports import find_ports
from gateway_process import ROOT, WAIT, Answer, Gateway, StandinPlatform, wait_for
from misbehaviour import break_after, once, reject, run_and_reset
from platform_standin import (
    HOST,
    KEY,
    ORDERS,
    OTHER_KEY,
    PLAIN,
    RESUMED,
    STREAM,
    Behaviour,
    SeenRequest,
    StandinServer,
    make_config,
    reset,
)

from lavenderrun.gateway import GATEWAY_METRICS


@pytest.fixture
def gateway(platform: StandinPlatform) -> Gateway:
    for name in ("app-1", "app-2"):
        platform.add(StandinServer(name, "apps"))
    platform.add(StandinServer("pre-1", "llm", "prefill"))
    for name in ("dec-1", "dec-2"):
        platform.add(StandinServer(name, "llm", "decode"))
    return platform.wait_known(platform.add_gateway())


def make_events(first: int, last: int) -> bytes:
    return b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(first, last + 1))


def list_runs(platform: StandinPlatform) -> list[str]:
    return [run for server in platform.servers.values() for run in server.runs]


def test_a_plain_call_is_forwarded_without_the_key_and_its_signature_returned(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    answer = gateway.call(PLAIN + "x?a=1", headers={"X-Tenant": "other", "X-Kv-Hold": "1"})
    assert answer.status == 200
    (server,) = [w for w in platform.servers.values() if w.runs]
    (seen,) = server.seen
    assert answer.body == b"body of " + server.id.encode()
    assert answer.headers["x-server-stamp"] == f"stamp-{server.id}"
    assert (seen.method, seen.path) == ("GET", PLAIN + "x?a=1")
    assert seen.headers["x-tenant"] == "talleres"
    assert seen.headers["x-expect-instance"] == server.id
    assert seen.headers["host"] == HOST
    assert 0 < int(seen.headers["x-deadline-ms"]) <= 4000
    assert not {"authorization", "x-kv-hold"} & set(seen.headers)
    assert KEY not in gateway.log.read_text()


def test_a_model_call_prefills_then_decodes_from_the_cache(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    answer = gateway.generate(STREAM + "x")
    assert answer.status == 200
    assert answer.body == make_events(1, 6)
    prefill = platform.servers["pre-1"]
    (decode,) = [w for w in platform.servers.values() if w.stage == "decode" and w.runs]
    source = decode.seen[0].headers["x-kv-source"]
    assert source.startswith(prefill.address + "/h")
    assert prefill.seen[0].body == b"a prompt"
    assert "x-kv-source" not in prefill.seen[0].headers


def test_a_call_with_a_lost_answer_is_resent_only_when_it_is_idempotent(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    for server in platform.servers.values():
        server.behave = run_and_reset
    unsafe = gateway.call(ORDERS + "1", "POST", body=b"wire", request="order")
    assert unsafe.status == 502
    assert list_runs(platform) == ["order"]
    for server in platform.servers.values():
        server.behave = once(run_and_reset) if server.id == "app-1" else None
    for number in range(6):
        assert gateway.call(PLAIN + "x", request=f"look{number}").status == 200


def test_lost_answers_of_live_servers_do_not_quarantine_a_call(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    for number in range(3, 6):
        platform.add(StandinServer(f"app-{number}", "apps"))
    platform.wait_known(gateway)
    for name, server in platform.servers.items():
        if name.startswith("app-"):
            server.behave = run_and_reset
    statuses = []
    for number in range(8):
        statuses.append(gateway.call(ORDERS + "x", "POST", body=b"o", request=f"{number}").status)
        time.sleep(0.2)
    assert statuses == [502] * 8


def test_a_call_that_crashes_three_servers_is_quarantined(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    for name in ("app-3", "app-4"):
        platform.add(StandinServer(name, "apps"))
    platform.wait_known(gateway)

    def crash(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        server.stop_listening()
        return run_and_reset(server, handler, seen)

    for name, server in platform.servers.items():
        if name.startswith("app-"):
            server.behave = crash
    statuses = []
    for number in range(5):
        statuses.append(gateway.call(ORDERS + "x", "POST", body=b"o", request=f"{number}").status)
        time.sleep(0.3)
    assert statuses == [502, 502, 502, 503, 503]
    reasons = [line["reason"] for line in gateway.lines("call:refused")]
    assert reasons == ["backend_lost"] * 3 + ["quarantined"] * 2


def test_a_call_rejected_by_all_servers_is_refused_as_not_run(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    for server in platform.servers.values():
        server.behave = reject
    answer = gateway.call(ORDERS + "1", "POST", body=b"wire")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert not list_runs(platform)


def test_a_broken_stream_resumes_after_its_last_complete_event(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    for name in ("dec-1", "dec-2"):
        platform.servers[name].behave = break_after(3)
    first = gateway.generate(RESUMED + "x")
    assert not first.whole or first.body == make_events(1, 6)
    second = gateway.generate(RESUMED + "x", request="r2")
    assert second.body == make_events(1, 6)


def test_a_resumed_stream_has_each_event_exactly_once(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    engines = [platform.servers[name] for name in ("dec-1", "dec-2")]
    broken = break_after(3)
    for engine in engines:
        engine.behave = broken
    answers = [gateway.generate(RESUMED + "x", request=f"r{n}") for n in range(4)]
    assert all(answer.whole and answer.body == make_events(1, 6) for answer in answers)
    resumed = [s for engine in engines for s in engine.seen if "last-event-id" in s.headers]
    assert [seen.headers["last-event-id"] for seen in resumed] == ["3"]
    assert [engine.runs.count("r0") for engine in engines] == [1, 1]


def test_a_broken_stream_that_is_not_resumable_ends_incomplete(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    for name in ("dec-1", "dec-2"):
        platform.servers[name].behave = break_after(3)
    answer = gateway.generate(STREAM + "x")
    assert not answer.whole
    assert answer.body == make_events(1, 3)
    assert list_runs(platform) == ["r1"]


def test_a_decode_engine_computes_the_prompt_when_its_exported_cache_is_gone(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    def reject_cache_source(
        server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest
    ) -> bool:
        if "x-kv-source" not in seen.headers:
            return False
        server.reply(handler, 503, b"", [("X-Not-Executed", "1")])
        return True

    for name in ("dec-1", "dec-2"):
        platform.servers[name].behave = reject_cache_source
    assert gateway.generate(STREAM + "x").body == make_events(1, 6)
    assert list_runs(platform) == ["r1"]


def test_extra_bytes_after_an_answer_reach_no_later_call(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    def twice(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        server.runs.append(seen.headers["x-request-id"])
        server.reply(handler, 200, b"first", server.sign(seen.headers["x-request-id"]))
        time.sleep(0.01)
        server.reply(handler, 200, b"stray", server.sign(seen.headers["x-request-id"]))
        return True

    for name in ("app-1", "app-2"):
        platform.servers[name].behave = twice
    for number in range(8):
        answer = gateway.call(PLAIN + "x", request=f"q{number}")
        assert (answer.status, answer.body) == (200, b"first")


def test_an_answer_with_another_request_id_is_not_forwarded(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    def foreign(server: StandinServer, handler: BaseHTTPRequestHandler, _seen: SeenRequest) -> bool:
        server.reply(handler, 200, b"not yours", server.sign("somebody-else"))
        return True

    for name in ("app-1", "app-2"):
        platform.servers[name].behave = foreign
    assert gateway.call(PLAIN + "x").status == 502


def test_an_answer_without_length_is_complete_only_after_an_orderly_close(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    def unframed(cut: bool) -> Behaviour:
        def behave(
            server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest
        ) -> bool:
            lines = [f"{n}: {v}\r\n" for n, v in server.sign(seen.headers["x-request-id"])]
            handler.wfile.write(("HTTP/1.1 200 OK\r\n" + "".join(lines) + "\r\n").encode())
            handler.wfile.write(b"half")
            if cut:
                time.sleep(0.05)
                reset(handler)
            else:
                handler.wfile.write(b" and half")
                handler.close_connection = True
            return True

        return behave

    for name in ("app-1", "app-2"):
        platform.servers[name].behave = unframed(cut=False)
    assert gateway.call(PLAIN + "x").body == b"half and half"
    for name in ("app-1", "app-2"):
        platform.servers[name].behave = unframed(cut=True)
    assert gateway.call(PLAIN + "x", request="r2").status == 502


def test_a_leaving_or_vanished_server_gets_no_new_call(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    platform.store.put("servers", "app-1", platform.servers["app-1"].entry(state="draining"))
    wait_for(
        lambda: any(line.get("state") == "leaving" for line in gateway.lines("members:changed")),
        "leaving seen",
    )
    for number in range(6):
        assert gateway.call(PLAIN + "x", request=f"a{number}").status == 200
    assert not platform.servers["app-1"].runs
    time.sleep(2.5)
    platform.store.remove("servers", "app-2")
    wait_for(
        lambda: any(line.get("state") == "gone" for line in gateway.lines("members:changed")),
        "vanished seen",
    )
    assert gateway.call(PLAIN + "x", request="b").status == 503


def test_malformed_rows_hide_no_server(platform: StandinPlatform, gateway: Gateway) -> None:
    for number, value in enumerate((b"\xff\xfe", b"[]", b"null", b'{"service": 3}', b"{" * 3000)):
        platform.store.put("servers", f"junk-{number}", value)
    platform.add(StandinServer("app-3", "apps"))
    platform.wait_known(gateway)
    assert gateway.call(PLAIN + "x").status == 200


def test_a_new_configuration_withdraws_a_key_and_adds_another(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    assert gateway.call(PLAIN + "x").status == 200
    accounts = make_config(1)["tenants"]
    accounts[0]["api-keys"] = ["another-key"]
    platform.configure(tenants=accounts)
    wait_for(lambda: gateway.call(PLAIN + "x").status == 401, "key withdrawn")
    assert gateway.call(PLAIN + "x", key="another-key").status == 200
    assert gateway.call("/none/x", key="another-key").status == 404
    assert gateway.call("/open/x", key=None).status == 200


def test_missing_change_history_leads_to_a_whole_read(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    platform.store.forget_history()
    platform.configure(tenants=[])
    wait_for(lambda: gateway.call(PLAIN + "x", key=None).status == 200, "accounts gone")


def test_an_unknown_key_is_denied_only_once_the_store_confirms_it(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    platform.store.refuse(refusing=True)
    answer = gateway.call(PLAIN + "x", key="unknown")
    assert answer.status == 503
    assert "retry-after" in answer.headers
    assert gateway.call(PLAIN + "x").status == 200
    platform.store.refuse(refusing=False)
    assert gateway.call(PLAIN + "x", key="unknown").status == 401


def test_an_account_over_its_quota_is_refused_with_429(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    statuses = [gateway.call(PLAIN + "x", key=OTHER_KEY, request=f"m{n}").status for n in range(4)]
    assert statuses == [200, 200, 429, 429]
    assert gateway.call(PLAIN + "x").status == 200


def read_gauge(gateway: Gateway, name: str, label: str) -> float:
    page = gateway.get(gateway.metrics, "/metrics").body.decode()
    line = next(line for line in page.splitlines() if line.startswith(name + "{") and label in line)
    return float(line.rpartition(" ")[2])


def test_metrics_show_remaining_budgets_and_ejected_servers(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    ejected = ("lavenderrun_gateway_ejected_servers", '"apps"')
    assert read_gauge(gateway, *ejected) == 0
    # nothing listens on this port
    for name in ("app-1", "app-2"):
        platform.store.put("servers", name, platform.servers[name].entry(addr="127.0.0.1:1"))
    wait_for(
        lambda: len([x for x in gateway.lines("members:changed") if x["state"] == "ready"]) >= 6,
        "new addresses seen",
    )
    assert gateway.call(PLAIN + "x").status == 503
    assert read_gauge(gateway, *ejected) > 0
    gateway.call(PLAIN + "x", key=OTHER_KEY, request="one")
    gateway.call(PLAIN + "x", key=OTHER_KEY, request="two")
    assert read_gauge(gateway, "lavenderrun_gateway_quota_left_units", "molinos") <= 25
    assert read_gauge(gateway, "lavenderrun_gateway_resends_left", '"apps"') > 0


def test_a_caller_that_leaves_frees_the_engine(platform: StandinPlatform, gateway: Gateway) -> None:
    ended = threading.Event()

    def endless(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        try:
            server.stream(handler, seen, 100_000)
        except OSError:
            ended.set()
        return True

    for name in ("dec-1", "dec-2"):
        platform.servers[name].behave = endless
    connection = gateway.connect()
    headers = {"Host": HOST, "X-Request-Id": "gone", "Authorization": f"Bearer {KEY}"}
    connection.request("POST", STREAM + "x", b"p", {**headers, "X-Token-Count": "5,5"})
    connection.getresponse().read(20)
    connection.close()
    assert connection.sock is None
    assert ended.wait(1.0)


def test_a_graceful_shutdown_lets_a_stream_end(platform: StandinPlatform, gateway: Gateway) -> None:
    for name in ("dec-1", "dec-2"):
        platform.servers[name].pause = 0.3
    found: list[Answer] = []
    caller = threading.Thread(target=lambda: found.append(gateway.generate(STREAM + "x")))
    caller.start()
    wait_for(lambda: list_runs(platform), "stream runs")
    gateway.signal(signal.SIGTERM)
    wait_for(lambda: gateway.ask_ready() == 503, "not ready")
    late = gateway.call(PLAIN + "x", request="late")
    assert late.status == 200
    assert late.headers["connection"] == "close"
    caller.join(WAIT)
    assert found[0].whole
    assert found[0].body == make_events(1, 6)
    assert gateway.popen is not None
    assert gateway.popen.wait(WAIT) == 0
    assert ("lavenderrun-gateways", "front-1") in platform.store.rows
    assert platform.store.rows["lavenderrun-gateways", "front-1"][1] is None


def test_gateways_find_each_other_and_share_a_quota(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    other = platform.wait_known(platform.add_gateway("front-2"))
    wait_for(lambda: other.lines("peers:heard") and gateway.lines("peers:heard"), "peers")
    accounts = make_config(1)["tenants"]
    accounts[1]["burst"] = 100
    platform.configure(tenants=accounts)
    wait_for(lambda: len(other.lines("configuration:in_force")) == 2, "quota in force")
    wait_for(lambda: len(gateway.lines("configuration:in_force")) == 2, "quota in force")
    served = 0
    for number in range(20):
        host = gateway if number % 2 else other
        served += host.call(PLAIN + "x", key=OTHER_KEY, request=f"s{number}").status == 200
        time.sleep(0.3)
    # ten calls from the burst; the six seconds refill less than one more call
    assert 9 <= served <= 11


# 429 is no outage, and a gateway that got nothing else served keys that had been taken away
@pytest.mark.parametrize("refusal", [503, 429])
def test_a_gateway_that_the_store_refuses_gets_the_configuration_from_another(
    platform: StandinPlatform, gateway: Gateway, refusal: int
) -> None:
    endpoint = platform.store.add_endpoint()
    endpoint.refusal = refusal
    other = platform.wait_known(platform.add_gateway("front-2", endpoint))
    wait_for(lambda: other.lines("peers:heard") and gateway.lines("peers:heard"), "peers")
    endpoint.refusing = True
    accounts = make_config(1)["tenants"]
    accounts[0]["api-keys"] = ["another-key"]
    platform.configure(tenants=accounts)
    wait_for(lambda: other.call(PLAIN + "x").status == 503, "key withdrawn by a peer's word")
    assert other.call(PLAIN + "x", key="another-key").status == 200
    (newest,) = other.lines("configuration:in_force")[1:]
    assert newest["source"] == "front-1"
    page = gateway.get(gateway.peers, "/configuration").body.decode()
    assert "sha256:" in page
    assert "another-key" not in page
    assert gateway.get(gateway.metrics, "/configuration").status == 404


def test_metrics_and_log_lines_record_a_call(platform: StandinPlatform, gateway: Gateway) -> None:
    gateway.call(PLAIN + "x", request="told")
    page = gateway.get(gateway.metrics, "/metrics").body.decode()
    assert 'lavenderrun_gateway_calls_total{delivery="whole",outcome="answered"' in page
    assert "lavenderrun_gateway_first_answer_seconds_bucket" in page
    missing = {name for name, _ in GATEWAY_METRICS if name not in page}
    # these appear with the first event, refusal, resend, notice, silence, crash of a server, want
    # of room, hold, unused prompt, held prefix, call to a cold server, planned stop, exchange in
    # groups of a large fleet, or send after a late turn
    assert missing <= {
        "lavenderrun_gateway_cold_sends_total",
        "lavenderrun_gateway_decode_holds_total",
        "lavenderrun_gateway_departure_ends_total",
        "lavenderrun_gateway_event_gap_seconds",
        "lavenderrun_gateway_held_ends_total",
        "lavenderrun_gateway_reused_tokens_total",
        "lavenderrun_gateway_late_sends_total",
        "lavenderrun_gateway_loop_lag_seconds",
        "lavenderrun_gateway_quota_used_units",
        "lavenderrun_gateway_refusals_total",
        "lavenderrun_gateway_resends_total",
        "lavenderrun_gateway_server_notices_total",
        "lavenderrun_gateway_silences_total",
        "lavenderrun_gateway_stream_moves_total",
        "lavenderrun_gateway_sum_datagrams_total",
        "lavenderrun_gateway_suspect_parts_total",
        "lavenderrun_gateway_unused_prompts_total",
    }
    assert "lavenderrun_gateway_resends_left" in page
    own_lines = [line for line in gateway.lines("call:") if line["request"] == "told"]
    assert [line["message_type"] for line in own_lines] == [
        "call:admitted",
        "call:send",
        "call:attempt",
        "call:answered",
    ]
    assert own_lines[0]["configuration"] == 4


def test_settings_are_read_again_on_sighup(platform: StandinPlatform, gateway: Gateway) -> None:
    gateway.signal(signal.SIGHUP)
    wait_for(lambda: gateway.lines("daemon:reloaded"), "reload")
    gateway.settings.write_text("{}")
    gateway.signal(signal.SIGHUP)
    wait_for(lambda: gateway.lines("daemon:reload_failed"), "invalid settings logged")
    assert gateway.call(PLAIN + "x").status == 200


def test_a_gateway_without_the_store_answers_503_and_recovers(platform: StandinPlatform) -> None:
    platform.add(StandinServer("app-1", "apps"))
    platform.store.refuse(refusing=True)
    gateway = platform.add_gateway()
    wait_for(lambda: gateway.ask_ready() == 503, "up, not ready")
    assert gateway.call(PLAIN + "x").status == 503
    platform.store.refuse(refusing=False)
    gateway.wait_ready()
    wait_for(lambda: gateway.call(PLAIN + "x").status == 200, "serves")


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("{", "truncated"),
        ("{}", "node"),
        ('{"node": 3}', "node"),
    ],
)
def test_invalid_settings_give_one_error_line_and_an_exit_code(
    tmp_path: Path, text: str, field: str
) -> None:
    path = tmp_path / "settings.json"
    path.write_text(text)
    done = run_with(path)
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1
    assert field in done.stderr


def run_with(path: Path) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, str(ROOT / "deploy" / "gateway.py"), str(find_ports(1)[0])],
        env={"LAVENDERRUN_SETTINGS": str(path), "PATH": ""},
        capture_output=True,
        text=True,
        timeout=WAIT,
        check=False,
    )


def test_missing_settings_and_a_port_in_use_give_one_error_line(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    done = run_with(platform.folder / "absent.json")
    assert (done.returncode, len(done.stderr.splitlines())) == (2, 1)
    done = run_with(gateway.settings)
    assert (done.returncode, len(done.stderr.splitlines())) == (1, 1)
    assert str(gateway.peers) in done.stderr


def test_malformed_calls_are_refused_before_anything_runs(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    assert gateway.call(PLAIN + "x", headers={"X-Deadline-Ms": "soon"}).status == 400
    connection = gateway.connect()
    connection.putrequest("POST", ORDERS + "1", skip_host=True)
    for name, value in (("Host", HOST), ("X-Request-Id", "s"), ("Content-Length", "3")):
        connection.putheader(name, value)
    connection.putheader("Transfer-Encoding", "chunked")
    connection.endheaders()
    connection.send(b"0\r\n\r\nGET /open/smuggled HTTP/1.1\r\nHost: front.example\r\n\r\n")
    with suppress(http.client.BadStatusLine, OSError):
        assert connection.getresponse().status == 400
    connection.close()
    assert not list_runs(platform)


def test_exactly_one_gateway_orders_a_prefill_engine_to_decode(platform: StandinPlatform) -> None:
    for name in ("pre-1", "pre-2", "pre-3"):
        platform.add(StandinServer(name, "llm", "prefill"))
    platform.add(StandinServer("dec-1", "llm", "decode"))
    gateways = [platform.add_gateway(name) for name in ("front-1", "front-2")]

    def find_orders() -> list[tuple[StandinServer, SeenRequest]]:
        seen = [(w, s) for w in platform.servers.values() for s in list(w.seen)]
        return [(server, call) for server, call in seen if call.path == "/api/order"]

    wait_for(find_orders, "order")
    time.sleep(1.5)
    ((server, order),) = find_orders()
    body = json.loads(order.body)
    assert server.stage == "prefill"
    assert body.pop("holder") in {"front-1", "front-2"}
    assert body == {"op": "stage", "stage": "decode", "fence": 1, "expected": 0}
    assert order.headers["x-expect-instance"] == server.id
    logged = [line for gateway in gateways for line in gateway.lines("roles:ordered")]
    assert [line["result"] for line in logged] == ["accepted"]
    raw = platform.store.rows["lavenderrun-leases", "engine-roles"][1]
    assert raw is not None
    assert json.loads(raw)["fencing"] == 1
