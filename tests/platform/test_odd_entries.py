"""Odd entries and messages of other writers: they are skipped, and nothing else is lost by them."""

from __future__ import annotations

import json
from base64 import b64encode
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import msgspec
import pytest
from gateway_process import StandinPlatform, wait_for
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_standin import PLAIN, StandinServer, make_config
from store_fixture import SERVER_ROW, StoreFixture, make_row

from lavenderrun.gateway import HistoryGoneError, RowChange, RowConflictError, StoreRefusal
from lavenderrun.gateway._members import MembersService
from lavenderrun.gateway._peer_messages import PeerReport, decode_gateway_row, decode_report
from lavenderrun.gateway._roles import decode_lease
from lavenderrun.platform._backends import PlatformBackends
from lavenderrun.platform._callers import PlatformCallers
from lavenderrun.platform._configuration import decode_configuration
from lavenderrun.platform._members import decode_member
from lavenderrun.platform._store import TableDialect
from lavenderrun.types import BackendId, RequestId

DEEP = 200_000
ROW: dict[str, Any] = {**SERVER_ROW, "addr": "10.0.0.1:80", "cold-left-ms": 5, "born": 3}
ODD_ROWS: dict[str, bytes] = {
    "nested": b'{"service":"s","more":' + b"[" * DEEP + b"]" * DEEP + b"}",
    "unclosed": b"[" * DEEP,
    "long warm-up": json.dumps({**ROW, "cold-left-ms": 1e300}).encode(),
    "slots of 400 digits": json.dumps(ROW).replace('"slots": 4', '"slots": ' + "9" * 400).encode(),
    "start of 4,000 digits": json.dumps(ROW).replace('"born": 3', '"born": ' + "9" * 4000).encode(),
    **{
        f"without {name}": json.dumps({k: v for k, v in ROW.items() if k != name}).encode()
        for name in SERVER_ROW
    },
    **{f"{name} of null": json.dumps({**ROW, name: None}).encode() for name in SERVER_ROW},
    **{f"{name} in a list": json.dumps({**ROW, name: [ROW[name]]}).encode() for name in SERVER_ROW},
    **{
        f"address {address}": json.dumps({**ROW, "addr": address}).encode()
        for address in (
            "10.0.0.1:70000",
            "10.0.0.1:0",
            "10.0.0.1:-1",
            "[::1:80",
            "10.0.0.1\r\n:80",
            "10.0.0.1:٨٠",
            "10.0.0.1:" + "9" * 500,
            "10.0.0.999:80",
            " 10.0.0.1:80",
        )
    },
}


# a row without four of its fields brought a server of another service into use (review/2)
@pytest.mark.parametrize("name", ODD_ROWS)
def test_an_odd_row_names_no_server(name: str) -> None:
    assert decode_member("i-1", json.dumps(ROW).encode()) is not None
    assert decode_member("i-1", ODD_ROWS[name]) is None


@pytest.mark.parametrize("change", [{"version": 3}, {"later": {"field": 1}}, {"born": None}])
def test_a_sound_row_of_an_earlier_or_later_release_names_a_server(change: dict[str, Any]) -> None:
    row = {name: value for name, value in {**ROW, **change}.items() if value is not None}
    assert decode_member("i-1", json.dumps(row).encode()) is not None


@pytest.mark.parametrize("key", ["", "a\r\nX-Tenant: other", "i 1", "é", "i" * 300])
def test_a_row_whose_id_fits_into_no_header_names_no_server(key: str) -> None:
    assert decode_member(key, json.dumps(ROW).encode()) is None


# the version was taken over before the rows, so those after an odd one were lost
@pytest.mark.parametrize("first", [True, False], ids=["in changes", "in the first read"])
@pytest.mark.parametrize("name", ODD_ROWS)
def test_the_rows_beside_an_odd_one_are_read(name: str, first: bool) -> None:
    fixture = StoreFixture()
    odd = make_row("b", 2, None) | {"removed": False, "value": _encode(ODD_ROWS[name])}
    good = [make_row("a", 1, ROW), make_row("c", 3, ROW)]
    if first:
        fixture.answer(0)
    fixture.answer(3, good[0], odd, good[1])
    members = MembersService(fixture.kernel)
    members.start()
    fixture.pass_time(1)
    assert [members.find(BackendId(key)) is not None for key in "abc"] == [True, False, True]


# an unexpected error ended the follower for the rest of the answer
def test_a_row_on_which_the_listener_fails_does_not_hide_the_others() -> None:
    fixture = StoreFixture()
    members = MembersService(fixture.kernel)

    def fail(_old: object, new: Any) -> None:
        if new is not None and new.id == "b":
            raise OverflowError

    members.watch(fail)
    fixture.answer(0)
    fixture.answer(3, *(make_row(key, number, ROW) for number, key in enumerate("abc", 1)))
    members.start()
    fixture.pass_time(1)
    assert members.find(BackendId("a"))
    assert members.find(BackendId("c"))
    assert members.follower.version == 3


def _encode(value: bytes) -> str:
    return b64encode(value).decode()


@pytest.mark.parametrize(
    "document",
    [
        json.dumps(make_config(2, limits={"idle-timeout-ms": 1e300})).encode(),
        json.dumps(make_config(2)).replace('"slo-ms": 500', '"slo-ms": 1e300').encode(),
        json.dumps(make_config(2)).replace('"kv-hold-s": 0.5', '"kv-hold-s": 1e300').encode(),
        b'{"version": 2, "more": ' + b"[" * DEEP + b"]" * DEEP + b"}",
    ],
    ids=["idle timeout", "objective", "lifetime", "nested"],
)
def test_an_odd_configuration_is_a_value_error(document: bytes) -> None:
    with pytest.raises(ValueError, match=r"."):
        decode_configuration(document)


@pytest.mark.parametrize("handle", ["a\r\nX-Tenant: b", "a b", "../x", "", "h" * 500])
def test_a_handle_that_fits_into_no_header_is_no_export(handle: str) -> None:
    body = json.dumps({"kv-handle": handle}).encode()
    assert PlatformBackends().decode_export("10.0.0.1:80", body) is None


@pytest.mark.parametrize(
    "address", ["10.0.0.1:70000", "10.0.0.1:0", "host:80", "10.0.0.1:x", "[::1"]
)
def test_an_odd_row_of_a_gateway_is_none(address: str) -> None:
    assert decode_gateway_row(json.dumps({"address": address, "boot": "b"}).encode()) is None


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from([1e300, -1e300, 10**400, 0, -1, 65536])
    | st.text(max_size=12)
    | st.sampled_from(["10.0.0.1:80", "10.0.0.1:99999", "[::1", "ready", "decode", "\r\n"]),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=12,
)


def vary(sample: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for *sample* with some values replaced by odd ones."""
    if isinstance(sample, dict):
        fields = {name: VALUES | vary(value) for name, value in sample.items()}
        return st.fixed_dictionaries({}, optional=fields)
    if isinstance(sample, list):
        return st.tuples(*map(vary, sample)).map(list) | VALUES
    return st.just(sample) | VALUES


def _read_rows(data: bytes) -> None:
    for row in TableDialect("10.0.0.1:1").decode_rows(200, data).rows:
        decode_member(row.key, row.value or b"")


def _encode_answer(data: bytes) -> None:
    headers = [(name, str(value)) for name, value in _load(data).items()]
    PlatformBackends().decode_head(RequestId("r"), 503, headers)
    PlatformCallers().decode_call("GET", "/", headers, b"")


def _load(data: bytes) -> dict[str, Any]:
    found = json.loads(data)
    return found if isinstance(found, dict) else {}


REPORT = ["h", "b", 3, {"a": 1.0}, {"s": [1, 2]}, {}, {"f": ["i"]}, {"s": 0.1}, ["i"], {}, {}]
HEADERS = {
    "Retry-After": "1",
    "Keep-Alive": "timeout=5",
    "X-Instance-Load": "1,2,3",
    "X-Deadline-Ms": "100",
    "X-Token-Count": "1,2",
    "X-Prefix-Hash": "ab:1,cd:2",
    "X-Length-Hint": "4",
    "X-Request-Id": "r",
    "Host": "h",
}
DECODERS: dict[str, tuple[Any, Callable[[bytes], object]]] = {
    "server": (ROW, lambda data: decode_member("i-1", data)),
    "rows": ({"rows": [make_row("a", 1, ROW)], "ver": 3, "truncated": False}, _read_rows),
    "configuration": (make_config(2), decode_configuration),
    "gateway": ({"address": "10.0.0.1:80", "boot": "b"}, decode_gateway_row),
    "lease": ({"holder": "h", "boot": "b", "fencing": 4}, decode_lease),
    "export": ({"kv-handle": "h"}, lambda data: PlatformBackends().decode_export("a", data)),
    "engine": (
        {"stage": "decode", "busy": False, "seq": 1},
        lambda data: PlatformBackends().decode_report(200, data),
    ),
    "headers": (HEADERS, _encode_answer),
}


# bytes from outside raised other errors than those that the callers of decoders expect
@pytest.mark.parametrize("name", DECODERS)
@given(st.data())
@settings(max_examples=150)
def test_a_decoder_returns_or_raises_what_it_documents(name: str, data: st.DataObject) -> None:
    sample, decode = DECODERS[name]
    given_bytes = data.draw(
        vary(sample).map(lambda value: json.dumps(value).encode()) | st.binary(max_size=40)
        if name != "headers"
        else vary(sample).map(lambda value: json.dumps(value).encode())
    )
    with suppress(ValueError, StoreRefusal, HistoryGoneError, RowConflictError):
        decode(given_bytes)


@given(st.data())
@settings(max_examples=300)
def test_a_peer_report_is_taken_whole_or_not_at_all(data: st.DataObject) -> None:
    report = data.draw(vary(REPORT))
    found = decode_report(msgspec.msgpack.encode(_bound(report)))
    assert found is None or isinstance(found, PeerReport)
    if found is not None:
        assert all(0 <= seconds < 1e9 for seconds in found.computing.values())
        assert all(0 <= units < 1e30 for units in found.used.values())


def _bound(value: Any) -> Any:
    """Return *value* without integers that MessagePack can't hold."""
    if isinstance(value, dict):
        return {str(key): _bound(each) for key, each in value.items()}
    if isinstance(value, (list, tuple)):
        return [_bound(each) for each in value]
    if isinstance(value, int) and abs(value) >= 2**63:
        return float("inf")
    return value


@pytest.mark.parametrize("data", [b"\x91" * DEEP + b"\xc0", b"\xc1", b""])
def test_a_malformed_peer_report_is_none(data: bytes) -> None:
    assert decode_report(data) is None


# a gateway that read the list of servers followed it no more after an odd entry
def test_a_gateway_serves_and_follows_the_list_beside_odd_entries(
    platform: StandinPlatform,
) -> None:
    platform.add(StandinServer("app-1", "apps"))
    for number, value in enumerate(ODD_ROWS.values()):
        platform.store.put("servers", f"odd-{number}", value)
    gateway = platform.wait_known(platform.add_gateway())
    for number, value in enumerate(ODD_ROWS.values()):
        platform.store.put("servers", f"late-{number}", value)
        platform.store.put("lavenderrun-gateways", f"late-{number}", value)
    platform.add(StandinServer("app-2", "apps"))
    wait_for(
        lambda: any(line["member"] == "app-2" for line in gateway.lines("members:changed")),
        "server after odd entries",
    )
    answers = [gateway.call(PLAIN + "x", request=f"r{number}").status for number in range(20)]
    assert answers == [200] * 20
    page = gateway.get(gateway.metrics, "/metrics").body.decode()
    assert f'backend_servers{{state="unreadable"}} {2 * len(ODD_ROWS)}' in page
    for number in range(len(ODD_ROWS)):
        platform.store.put("servers", f"late-{number}", b"{}")
    platform.add(StandinServer("app-3", "apps"))
    platform.wait_known(gateway)
    assert len(gateway.lines("members:unreadable")) == 2 * len(ODD_ROWS)
    assert platform.servers["app-2"].seen
    assert gateway.popen is not None
    assert gateway.popen.poll() is None
    assert not gateway.lines("store:follower_failed")
    assert not gateway.errors.read_text()


def test_an_unreadable_row_that_a_whole_read_misses_is_forgotten() -> None:
    fixture = StoreFixture()
    members = MembersService(fixture.kernel)
    odd = RowChange("b", ODD_ROWS["nested"], 2)
    members.replace_rows([odd])
    assert members._count_states()[("unreadable",)] == 1
    members.replace_rows([])
    assert members._count_states()[("unreadable",)] == 0
