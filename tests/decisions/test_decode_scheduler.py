from __future__ import annotations

from datetime import UTC, datetime, timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lavenderrun.decisions import (
    PROMISE_POLICIES,
    QUEUE_POLICIES,
    CancelDecode,
    DecodeAction,
    DecodeScheduler,
    DecodeSlotRequest,
    DecodeState,
    ForgetAttempt,
    Job,
    JobKey,
    PromiseSlot,
    RefuseDecode,
    StartDecode,
)
from lavenderrun.types import AccountId, AttemptId, HostId, Refusal, RequestId, RouteName

ZERO = datetime(2026, 1, 1, tzinfo=UTC)
ROUTE = RouteName("orders")
ENTRY = HostId("e1")


def at(seconds: float) -> datetime:
    return ZERO + timedelta(seconds=seconds)


def key(name: str) -> JobKey:
    return (RequestId(name), AttemptId(1))


def ask(
    name: str,
    now: float = 0.0,
    *,
    account: str = "a",
    tokens: int = 900,
    patience: float = 30,
    cohort: int = 0,
    holder: str = "e1",
) -> DecodeSlotRequest:
    job = Job(
        RequestId(name),
        AttemptId(1),
        AccountId(account),
        2.0,
        1.0,
        timedelta(seconds=1),
        at(now + 0.8),
        at(now + patience),
    )
    lead = timedelta(seconds=0.2)
    return DecodeSlotRequest(job, ROUTE, tokens, 100, lead, cohort, HostId(holder))


def book(seats: int = 2, pieces: int = 8, promise: str = "free") -> DecodeScheduler:
    return DecodeScheduler(
        seats, pieces, QUEUE_POLICIES.find("fair"), PROMISE_POLICIES.find(promise)
    )


def promised(actions: list[DecodeAction]) -> list[str]:
    return [action.key[0] for action in actions if isinstance(action, PromiseSlot)]


def test_cancel_that_overtakes_its_reserve_takes_no_seat() -> None:
    seats = book()
    assert seats.cancel(key("r"), at(0)) == []
    assert seats.reserve(ask("r"), at(0.1)) == [RefuseDecode(key("r"), ENTRY, Refusal.CANCELLED)]
    assert seats.list_attempts() == []


def test_start_after_cancel_does_not_run() -> None:
    seats = book()
    seats.reserve(ask("r"), at(0))
    assert seats.cancel(key("r"), at(0.1)) == [ForgetAttempt(key("r"))]
    assert seats.start(key("r"), at(0.2)) == []
    assert seats.free_kv_blocks == 8


def test_a_repeated_reserve_is_answered_again_and_holds_once() -> None:
    seats = book()
    assert promised(seats.reserve(ask("r"), at(0))) == ["r"]
    assert promised(seats.reserve(ask("r"), at(0.1))) == ["r"]
    assert seats.free_kv_blocks == 7


def test_a_reserve_that_comes_after_the_end_does_not_run_again() -> None:
    seats = book()
    seats.reserve(ask("r"), at(0))
    assert seats.start(key("r"), at(0.2)) == [StartDecode(key("r"))]
    seats.end(key("r"), at(1), whole=True)
    assert promised(seats.reserve(ask("r"), at(1.1))) == []
    assert seats.revoke(key("r"), at(1.2)) == (True, [])


def test_a_cancelled_decode_keeps_its_seat_until_the_engine_has_freed_it() -> None:
    seats = book(seats=1)
    seats.reserve(ask("r"), at(0))
    seats.start(key("r"), at(0.2))
    assert seats.cancel(key("r"), at(0.3)) == [CancelDecode(key("r"))]
    assert promised(seats.reserve(ask("next", 0.4), at(0.4))) == []
    assert promised(seats.end(key("r"), at(0.5), whole=False)) == ["next"]


def test_a_promise_without_start_lapses_and_is_not_run() -> None:
    seats = book(seats=1)
    seats.reserve(ask("r"), at(0))
    seats.reserve(ask("next"), at(0))
    actions = seats.tick(at(5))
    assert RefuseDecode(key("r"), ENTRY, Refusal.DEADLINE) in actions
    assert promised(actions) == ["next"]


def test_a_lost_entry_gives_its_seats_back_after_the_grace_period() -> None:
    seats = book()
    seats.reserve(ask("r"), at(0))
    seats.start(key("r"), at(0.2))
    seats.reserve(ask("kept", holder="e2"), at(0.2))
    seats.start(key("kept"), at(0.3))
    seats.note_lost_entry(ENTRY, at(1))
    assert seats.tick(at(3.9)) == []
    assert seats.tick(at(4.1)) == [CancelDecode(key("r"))]
    assert seats.find_state(key("kept")) is DecodeState.RUNNING


def test_a_lost_entry_gives_what_has_not_begun_back_at_once() -> None:
    seats = book(seats=1)
    seats.reserve(ask("r"), at(0))
    seats.reserve(ask("waits"), at(0))
    seats.reserve(ask("other", holder="e2"), at(0))
    actions = seats.note_lost_entry(ENTRY, at(0.1))
    assert promised(actions) == ["other"]
    assert seats.list_attempts() == [key("other")]


def test_an_entry_that_comes_back_in_time_keeps_its_seat() -> None:
    seats = book()
    seats.reserve(ask("r"), at(0))
    seats.start(key("r"), at(0.2))
    seats.note_lost_entry(ENTRY, at(1))
    assert seats.rebind(key("r"), ENTRY)
    assert seats.tick(at(8)) == []


def test_a_suspect_runs_alone() -> None:
    seats = book()
    seats.reserve(ask("r"), at(0))
    seats.start(key("r"), at(0.1))
    assert promised(seats.reserve(ask("suspect", cohort=1), at(0.2))) == []
    assert promised(seats.end(key("r"), at(1), whole=True)) == ["suspect"]
    assert promised(seats.reserve(ask("after", 1), at(1))) == []


def test_a_cohort_of_suspects_shares_a_backend_server_with_nobody_else() -> None:
    seats = book()
    first = [promised(seats.reserve(ask(f"s{n}", cohort=2), at(0))) for n in range(3)]
    assert first == [["s0"], ["s1"], []]
    assert promised(seats.reserve(ask("innocent"), at(0))) == []
    seats.start(key("s0"), at(0.1))
    assert promised(seats.end(key("s0"), at(1), whole=True)) == ["s2"]


def test_pieces_bound_what_is_promised() -> None:
    seats = book(seats=4, pieces=5)
    assert promised(seats.reserve(ask("big", tokens=3900), at(0))) == ["big"]
    assert promised(seats.reserve(ask("second", tokens=1900), at(0))) == []
    assert seats.reserve(ask("huge", tokens=9000), at(0)) == [
        RefuseDecode(key("huge"), ENTRY, Refusal.NO_ROOM)
    ]
    assert promised(seats.cancel(key("big"), at(1))) == ["second"]


def test_what_cannot_meet_its_patience_is_refused_at_once() -> None:
    seats = book(seats=1)
    for number in range(4):
        seats.reserve(ask(f"r{number}"), at(0))
    (refused,) = seats.reserve(ask("late", patience=3), at(0))
    assert isinstance(refused, RefuseDecode)
    assert refused.refusal is Refusal.NO_ROOM
    assert refused.retry_after > timedelta(seconds=3)


def test_a_seat_is_promised_before_it_is_free() -> None:
    seats = book(seats=1, promise="ahead")
    for _ in range(50):
        seats.lengths.note_progress(ROUTE, 64, 95)
        seats.lengths.note_end(ROUTE, 100)
    seats.reserve(ask("r"), at(0))
    seats.start(key("r"), at(0.2))
    assert promised(seats.reserve(ask("next", 0.3), at(0.3))) == []
    seats.progress(key("r"), 99)
    assert seats.tick(at(2.2)) == [PromiseSlot(key("next"), ENTRY, timedelta(seconds=0.02))]
    assert seats.start(key("next"), at(2.3)) == []
    assert seats.end(key("r"), at(2.4), whole=True) == [StartDecode(key("next"))]


class SeatMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.book = book(3, 12, "eager")
        self.now = 0.0
        self.begun: set[JobKey] = set()
        self.running: set[JobKey] = set()
        self.cancelled: set[JobKey] = set()

    def take(self, actions: list[DecodeAction]) -> None:
        for action in actions:
            if isinstance(action, StartDecode):
                assert action.key not in self.begun
                assert action.key not in self.cancelled
                self.begun.add(action.key)
                self.running.add(action.key)
            elif isinstance(action, CancelDecode):
                assert action.key in self.running
            elif isinstance(action, RefuseDecode | ForgetAttempt):
                assert action.key not in self.begun or action.key not in self.running

    names = st.sampled_from([f"r{number}" for number in range(8)])

    @rule(
        name=names,
        tokens=st.integers(1, 14000),
        cohort=st.integers(0, 3),
        entry=st.sampled_from("xy"),
    )
    def reserve(self, name: str, tokens: int, cohort: int, entry: str) -> None:
        request = ask(name, self.now, tokens=tokens, patience=4, cohort=cohort, holder=entry)
        self.take(self.book.reserve(request, at(self.now)))

    @rule(name=names)
    def start(self, name: str) -> None:
        self.take(self.book.start(key(name), at(self.now)))

    @rule(name=names)
    def cancel(self, name: str) -> None:
        self.cancelled.add(key(name))
        self.take(self.book.cancel(key(name), at(self.now)))

    @rule(name=names)
    def revoke(self, name: str) -> None:
        started, actions = self.book.revoke(key(name), at(self.now))
        assert started == (key(name) in self.begun)
        self.take(actions)
        if not started:
            self.cancelled.add(key(name))

    @rule(name=names, tokens=st.integers(0, 100), whole=st.booleans())
    def end(self, name: str, tokens: int, whole: bool) -> None:
        if key(name) in self.running:
            self.running.discard(key(name))
            self.book.progress(key(name), tokens)
            self.take(self.book.end(key(name), at(self.now), whole=whole))

    @rule(entry=st.sampled_from("xy"))
    def lose(self, entry: str) -> None:
        self.take(self.book.note_lost_entry(HostId(entry), at(self.now)))

    @rule(name=names, entry=st.sampled_from("xy"))
    def adopt(self, name: str, entry: str) -> None:
        self.book.rebind(key(name), HostId(entry))

    @rule(seconds=st.floats(0, 3))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.take(self.book.tick(at(self.now)))

    @invariant()
    def seats_and_pieces_are_conserved(self) -> None:
        load = self.book.load()
        assert len(self.running) <= load.slots
        assert 0 <= load.free_kv_blocks <= self.book.kv_blocks
        if not self.book.list_attempts():
            assert load.free_kv_blocks == self.book.kv_blocks
        for held in self.running:
            assert self.book.find_state(held) in (DecodeState.RUNNING, DecodeState.STOPPING)

    def teardown(self) -> None:
        for _ in range(12):
            self.wait(2.0)
            for held in list(self.running):
                self.end(held[0], 5, True)
        assert self.book.list_attempts() == []
        assert self.book.free_kv_blocks == self.book.kv_blocks


SeatMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestSeatMachine = SeatMachine.TestCase
