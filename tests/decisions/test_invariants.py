from __future__ import annotations

from datetime import UTC, datetime, timedelta

import pytest

from lavenderrun.decisions import INVARIANT_CHECKS, check_record
from lavenderrun.types import (
    Account,
    AccountId,
    AttemptId,
    BackendEnded,
    BackendId,
    BackendReceived,
    BackendRejected,
    BackendRun,
    BackendStarted,
    CallerBegan,
    CallerFinished,
    CallerGone,
    CallerRefused,
    CallerSent,
    Document,
    DocumentAccepted,
    DocumentInForce,
    DocumentVersion,
    Event,
    EventData,
    HostId,
    HostLeaving,
    HostLost,
    HostResumed,
    HostStarted,
    HostStopped,
    IdempotencyKey,
    Invariant,
    KeyDigest,
    LeavingPassedOn,
    MemoryHeld,
    Outcome,
    Rate,
    Refusal,
    Refused,
    Repeatability,
    RequestAccepted,
    RequestFinished,
    RequestId,
    RouteName,
    SeatFreed,
    SeatTaken,
    Step,
    TokensGranted,
    TokensReturned,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
SECOND = timedelta(seconds=1)
OWNER, OTHER = AccountId("plant"), AccountId("mine")
R, S = RequestId("r"), RequestId("s")
ONE, B = AttemptId(1), BackendId("b")
KEY = KeyDigest("sha256:" + "0" * 64)
RATE = Rate(requests_per_second=1, request_burst=2, tokens_per_second=100, token_burst=1000)
ONCE = Repeatability.AT_MOST_ONCE
TRUCK = IdempotencyKey("truck-7")


def make_refused(outcome: Outcome, refusal: Refusal = Refusal.BACKEND_LOST) -> Refused:
    return Refused(refusal, outcome, Step.DECODE)


def make_accepted(version: int, *keys: KeyDigest, rate: Rate = RATE) -> DocumentAccepted:
    document = Document(accounts=[Account(id=OWNER, rate=rate, keys=list(keys))])
    return DocumentAccepted(DocumentVersion(version), document)


def make_events(*entries: tuple[float, str, EventData]) -> list[Event]:
    return [Event(START + timedelta(seconds=at), HostId(host), data) for at, host, data in entries]


SOUND = make_events(
    (0, "store", make_accepted(1, KEY)),
    (0, "e", HostStarted()),
    (0.1, "e", DocumentInForce(DocumentVersion(1))),
    (1, "caller", CallerSent(R, OWNER, "abc", KEY)),
    (1, "e", RequestAccepted(R, OWNER, RouteName("x"), 500, KEY)),
    (1, "e", TokensGranted(OWNER, 1, 500)),
    (1, "d", SeatTaken(R, ONE, B)),
    (1, "d", BackendRun(R, ONE, B, OWNER)),
    (1, "d", BackendReceived(R, B)),
    (4, "d", BackendEnded(R, ONE, B)),
    (4, "d", SeatFreed(R, ONE, B)),
    (4, "e", RequestFinished(R)),
    (4, "e", TokensReturned(OWNER, 0, 100)),
    (4, "caller", CallerFinished(R, "abc")),
    (5, "d", HostLeaving()),
    (9, "d", HostStopped()),
    (20, "d", MemoryHeld("b", 0)),
)

REST = BackendRejected(R, B, 5 * SECOND)


def make_calls(*times: float, host: str = "e") -> list[tuple[float, str, EventData]]:
    return [(at, host, BackendReceived(RequestId(f"call at {at}"), B)) for at in times]


BROKEN: list[tuple[Invariant, list[Event]]] = [
    (Invariant.NO_MEMORY_HELD, make_events((0, "d", MemoryHeld("b", 3)))),
    (
        Invariant.NO_MEMORY_HELD,
        make_events(
            (0, "d", SeatTaken(R, ONE, B)),
            (1, "e", RequestFinished(R)),
            (9, "d", SeatFreed(R, ONE, B)),
        ),
    ),
    (
        Invariant.NO_MEMORY_HELD,
        make_events(
            (0, "e", RequestAccepted(R, OWNER, RouteName("x"))),
            (0, "d", BackendRun(R, ONE, B, OWNER)),
            (1, "e", HostLost()),
            (9, "d", MemoryHeld("b", 0)),
        ),
    ),
    (
        Invariant.ANSWERED_ONCE,
        make_events(
            (0, "c", CallerFinished(R)), (1, "c", CallerRefused(R, make_refused(Outcome.UNKNOWN)))
        ),
    ),
    (
        Invariant.ANSWERED_ONCE,
        make_events((0, "e", RequestFinished(R)), (1, "f", RequestFinished(R))),
    ),
    (
        Invariant.KEY_BOUND,
        make_events(
            (0, "c", CallerSent(R, OWNER)),
            (0, "d", BackendRun(R, ONE, B, OTHER)),
            (0, "d", BackendEnded(R, ONE, B)),
            (0, "c", CallerGone(R)),
        ),
    ),
    (Invariant.KEY_BOUND, make_events((0, "d", BackendReceived(R, B, saw_key=True)))),
    (
        Invariant.KEY_BOUND,
        make_events(
            (0, "store", make_accepted(1, KEY)),
            (1, "store", make_accepted(2)),
            (2, "c", CallerSent(R, OWNER, key_digest=KEY)),
            (6.5, "d", BackendReceived(R, B)),
            (7, "c", CallerGone(R)),
        ),
    ),
    (
        Invariant.RATE_KEPT,
        make_events(
            (0, "store", make_accepted(1)),
            (0, "e", TokensGranted(OWNER, 1, 600)),
            (1, "f", TokensGranted(OWNER, 1, 600)),
        ),
    ),
    (
        Invariant.RATE_KEPT,
        make_events(
            (0, "store", make_accepted(1)),
            *((0.1, "e", TokensGranted(OWNER, 1, 1)) for _ in range(3)),
        ),
    ),
    (Invariant.WHOLE_ANSWER, make_events((0, "c", CallerSent(R, OWNER, "abc")))),
    (
        Invariant.WHOLE_ANSWER,
        make_events((0, "c", CallerSent(R, OWNER, "abc")), (1, "c", CallerFinished(R, "abcabc"))),
    ),
    (
        Invariant.BEGUN_NOT_CUT,
        make_events(
            (0, "c", CallerSent(R, OWNER)),
            (1, "d", BackendRun(R, ONE, B, OWNER)),
            (1, "f", HostLost()),
            (2, "c", CallerBegan(R)),
            (3, "c", CallerRefused(R, make_refused(Outcome.UNKNOWN))),
            (3, "d", BackendEnded(R, ONE, B)),
            (4, "d", HostLost()),
        ),
    ),
    (
        Invariant.NOT_RUN_TRUE,
        make_events(
            (0, "c", CallerRefused(R, make_refused(Outcome.NOT_RUN))),
            (1, "d", BackendReceived(R, B)),
        ),
    ),
    (
        Invariant.AT_MOST_ONCE,
        make_events(
            (0, "c", CallerSent(R, OWNER, repeatability=ONCE, idempotency_key=TRUCK)),
            (0, "c", CallerSent(S, OWNER, repeatability=ONCE, idempotency_key=TRUCK)),
            (1, "d", BackendReceived(R, B)),
            (2, "f", BackendReceived(S, B)),
            (3, "c", CallerGone(R)),
            (3, "c", CallerGone(S)),
        ),
    ),
    (
        Invariant.AT_MOST_ONCE,
        make_events((1, "d", BackendReceived(R, B, ONCE)), (2, "d", BackendReceived(R, B, ONCE))),
    ),
    (
        Invariant.LEAVING_NO_WORK,
        make_events(
            (0, "d", HostLeaving()), (4, "d", BackendReceived(R, B)), (5, "d", HostStopped())
        ),
    ),
    (
        Invariant.LEAVING_SERVER_LEFT_ALONE,
        make_events((0, "e", LeavingPassedOn(R, B)), (2.1, "e", BackendReceived(S, B))),
    ),
    (Invariant.REST_KEPT, make_events((0, "e", REST), *make_calls(0.6, 1.0, 4.9))),
    (
        Invariant.REST_KEPT,
        make_events(*((at, "e", BackendRejected(R, B, at * SECOND)) for at in (5, 6, 7, 8))),
    ),
    (
        Invariant.STOP_CUTS_NONE,
        make_events(
            (0, "e", RequestAccepted(R, OWNER, RouteName("x"))),
            (1, "e", HostLeaving()),
            (2, "c", CallerRefused(R, make_refused(Outcome.UNKNOWN))),
            (3, "e", HostStopped()),
        ),
    ),
    (
        Invariant.DOCUMENT_MONOTONE,
        make_events(
            (0, "e", DocumentInForce(DocumentVersion(2))),
            (1, "e", DocumentInForce(DocumentVersion(1))),
        ),
    ),
    (
        Invariant.DOCUMENT_MONOTONE,
        make_events(
            (0, "e", HostStarted()), (1, "store", make_accepted(1)), (9, "e", MemoryHeld("e", 0))
        ),
    ),
]


def test_every_invariant_has_a_check_and_a_record_that_violates_it() -> None:
    names = sorted(invariant.value for invariant in Invariant)
    assert INVARIANT_CHECKS.names() == names
    assert sorted({invariant.value for invariant, _ in BROKEN}) == names


def test_sound_record_passes() -> None:
    assert check_record(SOUND) == []


@pytest.mark.parametrize(("invariant", "record"), BROKEN, ids=lambda part: str(part)[:30])
def test_broken_record_violates_one_invariant_only(
    invariant: Invariant, record: list[Event]
) -> None:
    assert {violation.invariant for violation in check_record(record)} == {invariant}


def test_lost_host_holds_nothing() -> None:
    record = make_events(
        (0, "d", SeatTaken(R, ONE, B)), (1, "d", HostLost()), (2, "e", RequestFinished(R))
    )
    assert check_record(record) == []


def test_old_rate_is_allowed_until_the_new_one_is_in_force() -> None:
    small = RATE.model_copy(update={"token_burst": 10.0, "tokens_per_second": 1.0})
    soon = make_events(
        (0, "s", make_accepted(1)),
        (1, "s", make_accepted(2, rate=small)),
        (2, "e", TokensGranted(OWNER, 1, 900)),
    )
    late = make_events(
        (0, "s", make_accepted(1)),
        (1, "s", make_accepted(2, rate=small)),
        (7, "e", TokensGranted(OWNER, 1, 900)),
    )
    assert check_record(soon) == []
    assert [v.invariant for v in check_record(late)] == [Invariant.RATE_KEPT]


# what excuses a host, or shows that the server asked another host or has started anew
ALLOWED: dict[str, list[tuple[float, str, EventData]]] = {
    "in time": [],
    "freeze": [(0.3, "e", HostResumed())],
    "restart": [(0.2, "e", HostLost()), (0.3, "e", HostStarted())],
    "new run": [(0.3, "platform", BackendStarted(B))],
    "another server": [],
    "another host": [],
}


@pytest.mark.parametrize("excuse", ALLOWED)
def test_calls_that_a_notice_does_not_forbid(excuse: str) -> None:
    late = [] if excuse == "in time" else make_calls(2.1, 2.2, 2.3)
    server = BackendId("c") if excuse == "another server" else B
    host = "f" if excuse == "another host" else "e"
    record = make_events(
        (0, host, LeavingPassedOn(R, server)),
        (0.1, host, BackendRejected(S, server, 5 * SECOND)),
        *ALLOWED[excuse],
        *make_calls(0.35, 0.4, 0.45, 1.0, 1.9),
        *late,
    )
    assert check_record(record) == []


def test_an_excuse_ends_with_the_next_notice() -> None:
    record = make_events(
        (0, "e", LeavingPassedOn(R, B)),
        (1, "e", HostResumed()),
        (2, "e", LeavingPassedOn(R, B)),
        (2, "e", REST),
        *make_calls(3.0, 4.1, 5.0, 6.0),
    )
    found = [violation.invariant for violation in check_record(record)]
    assert found.count(Invariant.LEAVING_SERVER_LEFT_ALONE) == 3
    assert found.count(Invariant.REST_KEPT) == 1
