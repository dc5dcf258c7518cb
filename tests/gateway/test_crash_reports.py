"""How often a host tells the others which calls crash servers."""

from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace
from typing import Any

from store_fixture import StoreFixture

from lavenderrun.gateway._suspects import LostCall, SuspectsService
from lavenderrun.types import BackendId, BootId, Fingerprint, HostId, Incarnation, RequestId

REPORTS_PER_SECOND = 50
SECONDS = 10
MAX_REPEATS = 3
CRASHED_CALLS = 20


def start_suspects() -> tuple[StoreFixture, SuspectsService]:
    fixture = StoreFixture()
    peers = SimpleNamespace(report_soon=lambda: None)
    members = SimpleNamespace(find=lambda _member: None)
    fixture.kernel.provide("peers", peers)
    fixture.kernel.provide("members", members)
    # the test connection to a server fails
    fixture.pool.open = lambda _, on_opened, *args: on_opened(None, *args)  # type: ignore[attr-defined]
    return fixture, SuspectsService(fixture.kernel)


def lose_call(fixture: StoreFixture, suspects: SuspectsService, name: str, server: str) -> None:
    now = fixture.kernel.clock.now()
    member: Any = SimpleNamespace(
        id=BackendId(server), incarnation=Incarnation(server), address="127.0.0.1:1"
    )
    sent = now - timedelta(milliseconds=50)
    lost = LostCall(
        RequestId(name), Fingerprint(name), (), sent, now, is_silent=False, has_begun=True
    )
    suspects.record_lost_answer(member, lost)


# each of many reports a second had all crashes of a minute, which filled the links of small hosts:
# others took them for silent
def test_crashes_are_told_at_once_and_then_repeated_ever_more_rarely() -> None:
    fixture, suspects = start_suspects()
    for number in range(CRASHED_CALLS):
        lose_call(fixture, suspects, f"call-{number}", "a")
    assert len(suspects.make_call_report().crashes) == CRASHED_CALLS
    told = 0
    for _ in range(REPORTS_PER_SECOND * SECONDS):
        fixture.pass_time(1 / REPORTS_PER_SECOND)
        told += bool(suspects.make_call_report().crashes)
    assert 2 <= told <= MAX_REPEATS
    lose_call(fixture, suspects, "another", "b")
    assert Fingerprint("another") in suspects.make_call_report().crashes


def test_a_host_that_starts_is_told_at_once() -> None:
    fixture, suspects = start_suspects()
    lose_call(fixture, suspects, "call", "a")
    assert suspects.make_call_report().crashes
    fixture.pass_time(0.1)
    assert not suspects.make_call_report().crashes
    suspects.apply_call_report(HostId("h2"), BootId("b"), suspects.make_call_report())
    assert suspects.make_call_report().crashes
