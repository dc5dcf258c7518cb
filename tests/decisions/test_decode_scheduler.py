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

START = datetime(2026, 1, 1, tzinfo=UTC)
ROUTE = RouteName("orders")
ENTRY = HostId("e1")


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def key(name: str) -> JobKey:
    return (RequestId(name), AttemptId(1))


def make_request(
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


def make_scheduler(slots: int = 2, kv_blocks: int = 8, promise: str = "free") -> DecodeScheduler:
    return DecodeScheduler(
        slots, kv_blocks, QUEUE_POLICIES.find("fair"), PROMISE_POLICIES.find(promise)
    )


def find_promised(actions: list[DecodeAction]) -> list[str]:
    return [action.key[0] for action in actions if isinstance(action, PromiseSlot)]


def test_request_that_arrives_after_its_cancel_gets_no_slot() -> None:
    scheduler = make_scheduler()
    assert scheduler.cancel(key("r"), at(0)) == []
    assert scheduler.reserve(make_request("r"), at(0.1)) == [
        RefuseDecode(key("r"), ENTRY, Refusal.CANCELLED)
    ]
    assert scheduler.list_attempts() == []


def test_start_after_cancel_runs_nothing() -> None:
    scheduler = make_scheduler()
    scheduler.reserve(make_request("r"), at(0))
    assert scheduler.cancel(key("r"), at(0.1)) == [ForgetAttempt(key("r"))]
    assert scheduler.start(key("r"), at(0.2)) == []
    assert scheduler.free_kv_blocks == 8


def test_repeated_request_is_answered_again_and_holds_one_slot() -> None:
    scheduler = make_scheduler()
    assert find_promised(scheduler.reserve(make_request("r"), at(0))) == ["r"]
    assert find_promised(scheduler.reserve(make_request("r"), at(0.1))) == ["r"]
    assert scheduler.free_kv_blocks == 7


def test_request_that_arrives_after_the_end_is_not_run_again() -> None:
    scheduler = make_scheduler()
    scheduler.reserve(make_request("r"), at(0))
    assert scheduler.start(key("r"), at(0.2)) == [StartDecode(key("r"))]
    scheduler.end(key("r"), at(1), whole=True)
    assert find_promised(scheduler.reserve(make_request("r"), at(1.1))) == []
    assert scheduler.revoke(key("r"), at(1.2)) == (True, [])


def test_cancelled_decode_keeps_its_slot_until_the_engine_has_freed_it() -> None:
    scheduler = make_scheduler(slots=1)
    scheduler.reserve(make_request("r"), at(0))
    scheduler.start(key("r"), at(0.2))
    assert scheduler.cancel(key("r"), at(0.3)) == [CancelDecode(key("r"))]
    assert find_promised(scheduler.reserve(make_request("next", 0.4), at(0.4))) == []
    assert find_promised(scheduler.end(key("r"), at(0.5), whole=False)) == ["next"]


def test_promise_without_start_expires_and_is_not_run() -> None:
    scheduler = make_scheduler(slots=1)
    scheduler.reserve(make_request("r"), at(0))
    scheduler.reserve(make_request("next"), at(0))
    actions = scheduler.tick(at(5))
    assert RefuseDecode(key("r"), ENTRY, Refusal.DEADLINE) in actions
    assert find_promised(actions) == ["next"]


def test_running_decodes_of_a_lost_entry_end_after_the_grace_period() -> None:
    scheduler = make_scheduler()
    scheduler.reserve(make_request("r"), at(0))
    scheduler.start(key("r"), at(0.2))
    scheduler.reserve(make_request("kept", holder="e2"), at(0.2))
    scheduler.start(key("kept"), at(0.3))
    scheduler.note_lost_entry(ENTRY, at(1))
    assert scheduler.tick(at(3.9)) == []
    assert scheduler.tick(at(4.1)) == [CancelDecode(key("r"))]
    assert scheduler.find_state(key("kept")) is DecodeState.RUNNING


def test_attempts_of_a_lost_entry_that_do_not_run_end_at_once() -> None:
    scheduler = make_scheduler(slots=1)
    scheduler.reserve(make_request("r"), at(0))
    scheduler.reserve(make_request("waits"), at(0))
    scheduler.reserve(make_request("other", holder="e2"), at(0))
    actions = scheduler.note_lost_entry(ENTRY, at(0.1))
    assert find_promised(actions) == ["other"]
    assert scheduler.list_attempts() == [key("other")]


def test_entry_that_comes_back_in_time_keeps_its_slot() -> None:
    scheduler = make_scheduler()
    scheduler.reserve(make_request("r"), at(0))
    scheduler.start(key("r"), at(0.2))
    scheduler.note_lost_entry(ENTRY, at(1))
    assert scheduler.rebind(key("r"), ENTRY)
    assert scheduler.tick(at(8)) == []


def test_suspect_runs_alone() -> None:
    scheduler = make_scheduler()
    scheduler.reserve(make_request("r"), at(0))
    scheduler.start(key("r"), at(0.1))
    assert find_promised(scheduler.reserve(make_request("suspect", cohort=1), at(0.2))) == []
    assert find_promised(scheduler.end(key("r"), at(1), whole=True)) == ["suspect"]
    assert find_promised(scheduler.reserve(make_request("after", 1), at(1))) == []


def test_few_suspects_share_a_backend_server() -> None:
    scheduler = make_scheduler()
    first = [
        find_promised(scheduler.reserve(make_request(f"s{n}", cohort=2), at(0))) for n in range(3)
    ]
    assert first == [["s0"], ["s1"], []]
    assert find_promised(scheduler.reserve(make_request("innocent"), at(0))) == []
    scheduler.start(key("s0"), at(0.1))
    assert find_promised(scheduler.end(key("s0"), at(1), whole=True)) == ["s2"]


# an engine ran empty before a suspect joined, and other requests waited for seconds
def test_a_suspect_among_several_joins_other_requests_until_it_has_an_answer() -> None:
    scheduler = make_scheduler(slots=6)
    scheduler.reserve(make_request("r0"), at(0))
    scheduler.start(key("r0"), at(0.1))
    for name, expected in (("s0", ["s0"]), ("s1", ["s1"]), ("s2", [])):
        request = make_request(name, cohort=2)
        assert find_promised(scheduler.reserve(request, at(0.2))) == expected
    scheduler.start(key("s0"), at(0.3))
    assert find_promised(scheduler.tick(at(0.35))) == []
    scheduler.progress(key("s0"), 1)
    assert find_promised(scheduler.tick(at(0.4))) == ["s2"]
    assert find_promised(scheduler.reserve(make_request("r1"), at(0.4))) == ["r1"]


def test_a_suspect_that_runs_alone_does_so_to_its_end() -> None:
    scheduler = make_scheduler()
    assert find_promised(scheduler.reserve(make_request("s", cohort=1), at(0))) == ["s"]
    scheduler.start(key("s"), at(0.1))
    scheduler.progress(key("s"), 5)
    for name in ("r", "other"):
        assert find_promised(scheduler.reserve(make_request(name, cohort=2), at(0.2))) == []
    assert find_promised(scheduler.end(key("s"), at(1), whole=True)) == ["r", "other"]


def test_promises_are_bounded_by_kv_blocks() -> None:
    scheduler = make_scheduler(slots=4, kv_blocks=5)
    assert find_promised(scheduler.reserve(make_request("big", tokens=3900), at(0))) == ["big"]
    assert find_promised(scheduler.reserve(make_request("second", tokens=1900), at(0))) == []
    assert scheduler.reserve(make_request("huge", tokens=9000), at(0)) == [
        RefuseDecode(key("huge"), ENTRY, Refusal.NO_ROOM)
    ]
    assert find_promised(scheduler.cancel(key("big"), at(1))) == ["second"]


def test_request_that_would_wait_beyond_its_patience_is_refused_at_once() -> None:
    scheduler = make_scheduler(slots=1)
    for number in range(4):
        scheduler.reserve(make_request(f"r{number}"), at(0))
    (refused,) = scheduler.reserve(make_request("late", patience=3), at(0))
    assert isinstance(refused, RefuseDecode)
    assert refused.refusal is Refusal.NO_ROOM
    assert refused.retry_after > timedelta(seconds=3)


def test_slot_is_promised_before_it_is_free() -> None:
    scheduler = make_scheduler(slots=1, promise="ahead")
    for _ in range(50):
        scheduler.lengths.note_progress(ROUTE, 64, 95)
        scheduler.lengths.note_end(ROUTE, 100)
    scheduler.reserve(make_request("r"), at(0))
    scheduler.start(key("r"), at(0.2))
    assert find_promised(scheduler.reserve(make_request("next", 0.3), at(0.3))) == []
    scheduler.progress(key("r"), 99)
    assert scheduler.tick(at(2.2)) == [PromiseSlot(key("next"), ENTRY, timedelta(seconds=0.02))]
    assert scheduler.start(key("next"), at(2.3)) == []
    assert scheduler.end(key("r"), at(2.4), whole=True) == [StartDecode(key("next"))]


class DecodeSchedulerMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.scheduler = make_scheduler(3, 12, "eager")
        self.now = 0.0
        self.started: set[JobKey] = set()
        self.running: set[JobKey] = set()
        self.cancelled: set[JobKey] = set()

    def check_actions(self, actions: list[DecodeAction]) -> None:
        for action in actions:
            if isinstance(action, StartDecode):
                assert action.key not in self.started
                assert action.key not in self.cancelled
                self.started.add(action.key)
                self.running.add(action.key)
            elif isinstance(action, CancelDecode):
                assert action.key in self.running
            elif isinstance(action, RefuseDecode | ForgetAttempt):
                assert action.key not in self.started or action.key not in self.running

    names = st.sampled_from([f"r{number}" for number in range(8)])

    @rule(
        name=names,
        tokens=st.integers(1, 14000),
        cohort=st.integers(0, 3),
        entry=st.sampled_from("xy"),
    )
    def reserve(self, name: str, tokens: int, cohort: int, entry: str) -> None:
        request = make_request(
            name, self.now, tokens=tokens, patience=4, cohort=cohort, holder=entry
        )
        self.check_actions(self.scheduler.reserve(request, at(self.now)))

    @rule(name=names)
    def start(self, name: str) -> None:
        self.check_actions(self.scheduler.start(key(name), at(self.now)))

    @rule(name=names)
    def cancel(self, name: str) -> None:
        self.cancelled.add(key(name))
        self.check_actions(self.scheduler.cancel(key(name), at(self.now)))

    @rule(name=names)
    def revoke(self, name: str) -> None:
        started, actions = self.scheduler.revoke(key(name), at(self.now))
        assert started == (key(name) in self.started)
        self.check_actions(actions)
        if not started:
            self.cancelled.add(key(name))

    @rule(name=names, tokens=st.integers(0, 100), whole=st.booleans())
    def end(self, name: str, tokens: int, whole: bool) -> None:
        if key(name) in self.running:
            self.running.discard(key(name))
            self.scheduler.progress(key(name), tokens)
            self.check_actions(self.scheduler.end(key(name), at(self.now), whole=whole))

    @rule(entry=st.sampled_from("xy"))
    def note_lost_entry(self, entry: str) -> None:
        self.check_actions(self.scheduler.note_lost_entry(HostId(entry), at(self.now)))

    @rule(name=names, entry=st.sampled_from("xy"))
    def rebind(self, name: str, entry: str) -> None:
        self.scheduler.rebind(key(name), HostId(entry))

    @rule(seconds=st.floats(0, 3))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.check_actions(self.scheduler.tick(at(self.now)))

    @invariant()
    def slots_and_kv_blocks_are_conserved(self) -> None:
        load = self.scheduler.load()
        assert len(self.running) <= load.slots
        assert 0 <= load.free_kv_blocks <= self.scheduler.kv_blocks
        if not self.scheduler.list_attempts():
            assert load.free_kv_blocks == self.scheduler.kv_blocks
        for held in self.running:
            assert self.scheduler.find_state(held) in (DecodeState.RUNNING, DecodeState.STOPPING)

    def teardown(self) -> None:
        for _ in range(12):
            self.wait(2.0)
            for held in list(self.running):
                self.end(held[0], 5, True)
        assert self.scheduler.list_attempts() == []
        assert self.scheduler.free_kv_blocks == self.scheduler.kv_blocks


DecodeSchedulerMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestDecodeScheduler = DecodeSchedulerMachine.TestCase


def run_one(scheduler: DecodeScheduler, name: str, start: float, end: float) -> list[str]:
    scheduler.start(key(name), at(start))
    return find_promised(scheduler.end(key(name), at(end), whole=True))


# a steady load of other requests kept suspects out until their deadline
def test_a_suspect_that_has_waited_long_is_next_and_runs_alone() -> None:
    scheduler = make_scheduler()
    scheduler.reserve(make_request("r0"), at(0))
    assert find_promised(scheduler.reserve(make_request("s", cohort=1), at(0))) == []
    assert find_promised(scheduler.reserve(make_request("r1", 2.5), at(2.5))) == []
    assert run_one(scheduler, "r0", 2.6, 2.7) == ["s"]
    assert run_one(scheduler, "s", 2.8, 2.9) == ["r1"]


def test_other_requests_have_their_turn_between_two_suspects() -> None:
    scheduler = make_scheduler()
    scheduler.reserve(make_request("r0"), at(0))
    scheduler.reserve(make_request("s0", cohort=1), at(0))
    scheduler.reserve(make_request("s1", cohort=1), at(0))
    scheduler.reserve(make_request("r1", 2.5), at(2.5))
    assert run_one(scheduler, "r0", 2.6, 2.7) == ["s0"]
    assert run_one(scheduler, "s0", 2.8, 2.9) == ["r1"]
    assert find_promised(scheduler.reserve(make_request("r2", 3.0), at(3.0))) == ["r2"]
    scheduler.reserve(make_request("r3", 5.0), at(5.0))
    assert run_one(scheduler, "r1", 5.1, 5.2) == []
    assert run_one(scheduler, "r2", 5.1, 5.2) == ["s1"]
