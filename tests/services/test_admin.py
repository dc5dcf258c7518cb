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
SERVICES = (
    "wakes",
    "links",
    "record",
    "document",
    "limits",
    "quarantine",
    "membership",
    "metrics",
    "admin",
)


class AdminFleet:
    """Entries with the operators' API, on a fake clock and with one shared table service."""

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

    def start_call(
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

    def call(self, *arguments: Any, **options: Any) -> tuple[int, Any]:
        transport = self.start_call(*arguments, **options)
        self.run(12)
        return read_answer(transport)

    def submit(self, document: Any, version: int, **options: Any) -> tuple[int, Any]:
        return self.call("PUT", "/admin/document", document, f'If-Match: "{version}"', **options)

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


def read_answer(transport: StringTransport) -> tuple[int, Any]:
    head, _, body = transport.value().partition(b"\r\n\r\n")
    assert b"marker" not in transport.value()
    is_json = b"application/json" in head and body
    return int(head.split()[1]), json.loads(body) if is_json else body.decode()


def read_code(answer: tuple[int, Any]) -> tuple[int, str]:
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
    assert read_code(AdminFleet().call(method, path, "", *headers, key=key)) == expected


def test_a_body_over_the_bound_is_refused() -> None:
    assert AdminFleet().call("PUT", "/admin/document", "x" * (4 << 20) + "y")[0] == 413


def test_validation_names_every_fault() -> None:
    fleet = AdminFleet()
    status, body = fleet.call("POST", "/admin/document/validate", {"retry_share": 7, "x": 1})
    assert status == 422
    assert {fault["path"] for fault in body["faults"]} == {"retry_share", "x"}
    toml = "retry_share = 0.2"
    answer = fleet.call("POST", "/admin/document/validate", toml, "Content-Type: application/toml")
    assert answer == (200, {"valid": True, "faults": []})


def test_the_later_of_two_concurrent_changes_is_refused_with_the_earlier_one() -> None:
    fleet = AdminFleet(hosts=2)
    assert fleet.submit(DOCUMENT, 0)[1]["version"] == 1
    late = {**DOCUMENT, "weight_store_rate": 5}
    first = fleet.start_call(
        "PUT", "/admin/document", {**DOCUMENT, "retry_share": 0.3}, "If-Match: 1", key="marker-luis"
    )
    second = fleet.start_call("PUT", "/admin/document", late, 'If-Match: "1"', at=1)
    fleet.run(12)
    assert sorted([read_answer(first)[0], read_answer(second)[0]]) == [200, 412]
    lost = next(reply for reply in (read_answer(first), read_answer(second)) if reply[0] == 412)[1]
    assert lost["error"]["code"] == "document_changed"
    assert lost["current"] == 2
    assert [each["author"] for each in lost["since"]][-1] in KEYS
    assert {change["path"] for change in lost["theirs"]} <= {"retry_share", "weight_store_rate"}
    assert lost["yours"]


def test_two_operators_grant_keys_at_once_and_neither_is_lost() -> None:
    fleet = AdminFleet(hosts=2)
    fleet.submit(DOCUMENT, 0)
    path = "/admin/accounts/gruas/keys"
    calls = [fleet.start_call("POST", path, at=number) for number in (0, 1, 0)]
    fleet.run(15)
    answers = [read_answer(call) for call in calls]
    assert [status for status, _ in answers] == [201] * 3
    document = fleet.call("GET", "/admin/document", at=1)[1]
    assert sorted(document["accounts"][0]["keys"]) == sorted(body["digest"] for _, body in answers)
    for _, body in answers:
        assert digest_key(body["key"]) == body["digest"]
        rows = b"".join(row.value for row in fleet.core.scan("document"))
        assert body["key"].encode() not in rows


def test_without_the_store_no_change_is_accepted_but_status_is_served() -> None:
    fleet = AdminFleet()
    fleet.submit(DOCUMENT, 0)
    fleet.faults.down = True
    call = fleet.start_call("POST", "/admin/accounts/gruas/keys")
    fleet.run(40)
    assert read_code(read_answer(call)) == (503, "store_unavailable")
    status, body = fleet.call("GET", "/admin/status")
    assert status == 200
    assert body["document"]["version"] == 1
    assert body["store"]["failures"] > 0


def test_an_operator_releases_a_fingerprint() -> None:
    fleet = AdminFleet()
    keeper = fleet.kernels[0].find("quarantine", QuarantineService)
    fingerprint = Fingerprint("f1")
    for number in range(3):
        route, account = RouteName("r"), AccountId("gruas")
        keeper.record_strike(Strike(fingerprint, RequestId("q"), AttemptId(number), account, route))
    fleet.run(1)
    assert fleet.call("GET", "/admin/quarantine")[1][0]["verdict"] == "guilty"
    assert fleet.call("DELETE", "/admin/quarantine/f1")[0] == 204
    assert fleet.call("GET", "/admin/quarantine")[1] == []


def test_a_host_is_ready_only_with_a_fresh_document_and_rate_slices() -> None:
    fleet = AdminFleet()
    assert fleet.call("GET", "/readyz", key="")[1]["missing"] == {
        "document": "no document is in force"
    }
    fleet.submit(DOCUMENT, 0)
    assert fleet.call("GET", "/readyz", key="") == (200, {"ready": True, "missing": {}})
    fleet.faults.down = True
    fleet.run(60)
    status, body = fleet.call("GET", "/readyz", key="")
    assert status == 503
    assert "document" in body["missing"]
    assert fleet.call("GET", "/healthz", key="")[0] == 200


def test_a_call_whose_connection_is_lost_ends_without_an_error() -> None:
    fleet = AdminFleet()
    failures: list[Any] = []
    observer: Any = failures.append
    globalLogPublisher.addObserver(observer)
    transport = fleet.start_call("PUT", "/admin/document", DOCUMENT, "If-Match: 0")
    assert transport.value() == b""
    fleet.channel.connectionLost(Failure(ConnectionLost()))
    fleet.run(12)
    gc.collect()
    globalLogPublisher.removeObserver(observer)
    assert not [event for event in failures if "log_failure" in event]
    assert fleet.call("GET", "/admin/status")[1]["document"]["author"] == "ana"
