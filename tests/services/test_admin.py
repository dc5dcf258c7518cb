from __future__ import annotations

import gc
import json
from datetime import UTC, datetime
from random import Random
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock as FakeReactor
from twisted.internet.testing import StringTransport
from twisted.logger import globalLogPublisher
from twisted.python.failure import Failure

from lavenderrun.decisions import digest_key
from lavenderrun.kernel import Kernel, ReactorClock
from lavenderrun.services import AdminService, QuarantineService, StoreClient
from lavenderrun.standins import MemoryNetwork, MemoryStore, TableCore, TableFaults
from lavenderrun.types import (
    AccountId,
    AdminSettings,
    AttemptId,
    EntrySettings,
    Fingerprint,
    HostSettings,
    RequestId,
    RouteName,
    StoreSettings,
    Strike,
)

KEYS = {"ana": "marker-ana", "luis": "marker-luis"}
RATE = {"requests_per_second": 5, "request_burst": 5, "tokens_per_second": 9, "token_burst": 9}
DOCUMENT = {"accounts": [{"id": "gruas", "rate": RATE}], "retry_share": 0.1}
SERVICES = ("links", "record", "document", "limits", "quarantine", "membership", "metrics", "admin")


class Offices:
    """Entries with the operators' API on a fake clock, over one table service."""

    def __init__(self, hosts: int = 1) -> None:
        self.reactor = FakeReactor()
        self.clock = ReactorClock(self.reactor, datetime(2026, 1, 1, tzinfo=UTC), zero=0.0)
        self.faults = TableFaults()
        self.network = MemoryNetwork(self.clock)
        self.core = TableCore()
        self.channel: Any = None
        self.kernels = [self._make(number) for number in range(hosts)]
        self.run(1)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 50)):
            self.reactor.advance(0.02)

    def begin(
        self,
        method: str,
        path: str,
        body: Any = "",
        *headers: str,
        key: str = "marker-ana",
        at: int = 0,
    ) -> StringTransport:
        admin = self.kernels[at].find("admin", AdminService)
        channel: Any = admin.make_factory(self.reactor).buildProtocol(None)  # type: ignore[arg-type]
        transport = StringTransport()
        self.channel = channel
        channel.makeConnection(transport)
        text = body if isinstance(body, str) else json.dumps(body)
        lines = [f"{method} {path} HTTP/1.1", "Host: admin", f"Content-Length: {len(text)}"]
        lines += [f"Authorization: Bearer {key}"] * bool(key) + list(headers)
        channel.dataReceived(("\r\n".join(lines) + "\r\n\r\n" + text).encode())
        return transport

    def call(self, *arguments: Any, **more: Any) -> tuple[int, Any]:
        transport = self.begin(*arguments, **more)
        self.run(12)
        return read(transport)

    def submit(self, document: Any, version: int, **more: Any) -> tuple[int, Any]:
        return self.call("PUT", "/admin/document", document, f'If-Match: "{version}"', **more)

    def _make(self, number: int) -> Kernel:
        address = f"127.0.0.1:{7000 + number}"
        operators = {name: digest_key(key) for name, key in KEYS.items()}
        settings = EntrySettings(
            host=HostSettings(id=f"entry-{number}", data_centre="talca", listen=address),
            store=StoreSettings(url="http://127.0.0.1:1"),
            admin=AdminSettings(operators=operators),
        )
        kernel = Kernel(self.clock, settings, Random(number))
        kernel.add("transport", self.network.transport(address))
        dialect = MemoryStore(self.clock, self.core, self.faults)
        kernel.add("store", StoreClient(self.clock, dialect, settings.store, Random(number)))
        kernel.build(SERVICES)
        kernel.find("admin", AdminService).start = lambda: None  # type: ignore[method-assign]
        Deferred.fromCoroutine(kernel.start())
        return kernel


def read(transport: StringTransport) -> tuple[int, Any]:
    head, _, body = transport.value().partition(b"\r\n\r\n")
    assert b"marker" not in transport.value()
    is_json = b"application/json" in head and body
    return int(head.split()[1]), json.loads(body) if is_json else body.decode()


def code_of(answer: tuple[int, Any]) -> tuple[int, str]:
    return answer[0], answer[1]["error"]["code"]


@pytest.mark.parametrize(
    ("method", "path", "headers", "key", "expected"),
    [
        ("GET", "/admin/status", (), "", (401, "no_key")),
        ("GET", "/admin/status", (), "wrong", (401, "unknown_key")),
        (
            "GET",
            "/admin/status",
            ("Authorization: Bearer marker-ana",),
            "marker-ana",
            (401, "no_key"),
        ),
        ("POST", "/admin/status", (), "marker-ana", (405, "method_not_allowed")),
        ("GET", "/admin/statuses", (), "", (404, "unknown_path")),
        ("GET", "/admin/document", (), "marker-ana", (404, "no_document")),
        ("PUT", "/admin/document", (), "marker-ana", (428, "no_version")),
        ("PUT", "/admin/document", ("If-Match: x",), "marker-ana", (400, "bad_version")),
        ("PUT", "/admin/document", ("If-Match: 0",), "marker-ana", (422, "bad_document")),
        ("POST", "/admin/accounts/gruas/keys", (), "marker-ana", (404, "no_document")),
        ("DELETE", "/admin/quarantine/none", (), "marker-ana", (404, "unknown_fingerprint")),
    ],
)
def test_each_bad_call_gets_its_code(
    method: str, path: str, headers: tuple[str, ...], key: str, expected: tuple[int, str]
) -> None:
    assert code_of(Offices().call(method, path, "", *headers, key=key)) == expected


def test_a_body_over_the_bound_is_refused() -> None:
    assert Offices().call("PUT", "/admin/document", "x" * (4 << 20) + "y")[0] == 413


def test_validation_names_every_fault() -> None:
    offices = Offices()
    status, body = offices.call("POST", "/admin/document/validate", {"retry_share": 7, "x": 1})
    assert status == 422
    assert {fault["path"] for fault in body["faults"]} == {"retry_share", "x"}
    toml = "retry_share = 0.2"
    answer = offices.call(
        "POST", "/admin/document/validate", toml, "Content-Type: application/toml"
    )
    assert answer == (200, {"valid": True, "faults": []})


def test_an_operator_that_lost_a_race_sees_who_changed_what() -> None:
    offices = Offices(hosts=2)
    assert offices.submit(DOCUMENT, 0)[1]["version"] == 1
    late = {**DOCUMENT, "weight_store_rate": 5}
    first = offices.begin(
        "PUT", "/admin/document", {**DOCUMENT, "retry_share": 0.3}, "If-Match: 1", key="marker-luis"
    )
    second = offices.begin("PUT", "/admin/document", late, 'If-Match: "1"', at=1)
    offices.run(12)
    assert sorted([read(first)[0], read(second)[0]]) == [200, 412]
    lost = next(answer for answer in (read(first), read(second)) if answer[0] == 412)[1]
    assert lost["error"]["code"] == "document_changed"
    assert lost["current"] == 2
    assert [each["author"] for each in lost["since"]][-1] in KEYS
    assert {change["path"] for change in lost["theirs"]} <= {"retry_share", "weight_store_rate"}
    assert lost["yours"]


def test_two_operators_grant_keys_at_once_and_neither_is_lost() -> None:
    offices = Offices(hosts=2)
    offices.submit(DOCUMENT, 0)
    path = "/admin/accounts/gruas/keys"
    calls = [offices.begin("POST", path, at=number) for number in (0, 1, 0)]
    offices.run(15)
    answers = [read(call) for call in calls]
    assert [status for status, _ in answers] == [201] * 3
    document = offices.call("GET", "/admin/document", at=1)[1]
    assert sorted(document["accounts"][0]["keys"]) == sorted(body["digest"] for _, body in answers)
    for _, body in answers:
        assert digest_key(body["key"]) == body["digest"]
        rows = b"".join(row.value for row in offices.core.scan("document"))
        assert body["key"].encode() not in rows


def test_without_the_store_nothing_is_accepted_and_reads_go_on() -> None:
    offices = Offices()
    offices.submit(DOCUMENT, 0)
    offices.faults.down = True
    call = offices.begin("POST", "/admin/accounts/gruas/keys")
    offices.run(40)
    assert code_of(read(call)) == (503, "store_unavailable")
    status, body = offices.call("GET", "/admin/status")
    assert status == 200
    assert body["document"]["version"] == 1
    assert body["store"]["failures"] > 0


def test_an_operator_releases_a_fingerprint() -> None:
    offices = Offices()
    keeper = offices.kernels[0].find("quarantine", QuarantineService)
    print_ = Fingerprint("f1")
    for number in range(3):
        route, account = RouteName("r"), AccountId("gruas")
        keeper.record_strike(Strike(print_, RequestId("q"), AttemptId(number), account, route))
    offices.run(1)
    assert offices.call("GET", "/admin/quarantine")[1][0]["verdict"] == "guilty"
    assert offices.call("DELETE", "/admin/quarantine/f1")[0] == 204
    assert offices.call("GET", "/admin/quarantine")[1] == []


def test_a_host_is_ready_only_with_a_fresh_document_and_a_part_of_the_rates() -> None:
    offices = Offices()
    assert offices.call("GET", "/readyz", key="")[1]["missing"] == {
        "document": "no document is in force"
    }
    offices.submit(DOCUMENT, 0)
    assert offices.call("GET", "/readyz", key="") == (200, {"ready": True, "missing": {}})
    offices.faults.down = True
    offices.run(60)
    status, body = offices.call("GET", "/readyz", key="")
    assert status == 503
    assert "document" in body["missing"]
    assert offices.call("GET", "/healthz", key="")[0] == 200


def test_a_call_whose_connection_is_lost_ends_without_an_error() -> None:
    offices = Offices()
    failures: list[Any] = []
    observer: Any = failures.append
    globalLogPublisher.addObserver(observer)
    transport = offices.begin("PUT", "/admin/document", DOCUMENT, "If-Match: 0")
    assert transport.value() == b""
    offices.channel.connectionLost(Failure(ConnectionLost()))
    offices.run(12)
    gc.collect()
    globalLogPublisher.removeObserver(observer)
    assert not [event for event in failures if "log_failure" in event]
    assert offices.call("GET", "/admin/status")[1]["document"]["author"] == "ana"
