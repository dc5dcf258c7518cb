from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.decisions import (
    QUEUE_POLICIES,
    CancelPrefill,
    FreeExport,
    Job,
    JobKey,
    PrefillAction,
    PrefillRequest,
    PrefillScheduler,
    RefusePrefill,
    StartPrefill,
)
from lavenderrun.types import AccountId, AttemptId, HostId, Refusal, RequestId

ZERO = datetime(2026, 1, 1, tzinfo=UTC)
LIVES = timedelta(seconds=0.8)


def at(seconds: float) -> datetime:
    return ZERO + timedelta(seconds=seconds)


def key(name: str) -> JobKey:
    return (RequestId(name), AttemptId(1))


def ask(
    name: str, now: float = 0.0, start_in: float = 0.0, patience: float = 5, cost: float = 0.1
) -> PrefillRequest:
    urgency = timedelta(seconds=0.5)
    deadline = at(now + start_in + patience)
    job = Job(*key(name), AccountId("a"), cost, 1.0, urgency, at(now + start_in + 0.5), deadline)
    return PrefillRequest(job, 1000, timedelta(seconds=start_in), HostId("e"))


def book() -> PrefillScheduler:
    return PrefillScheduler(1, 640, QUEUE_POLICIES.find("fair"))


def test_work_is_held_back_to_its_time() -> None:
    prefills = book()
    assert prefills.submit(ask("r", start_in=0.3), at(0)) == []
    assert prefills.next_tick() == at(0.3)
    assert prefills.tick(at(0.2)) == []
    assert prefills.tick(at(0.3)) == [StartPrefill(key("r"))]


def test_an_export_without_a_start_is_released_at_the_end_of_its_life() -> None:
    prefills = book()
    prefills.submit(ask("r"), at(0))
    prefills.finish(key("r"), at(0.1), cached=0, lives=LIVES)
    assert prefills.tick(at(0.8)) == []
    assert prefills.tick(at(0.95)) == [FreeExport(key("r"))]
    assert prefills.list_attempts() == []


def test_cancel_frees_work_in_every_state() -> None:
    prefills = book()
    prefills.submit(ask("runs"), at(0))
    prefills.submit(ask("waits"), at(0))
    prefills.submit(ask("held", start_in=1), at(0))
    assert prefills.cancel(key("waits"), at(0)) == []
    assert prefills.cancel(key("held"), at(0)) == []
    assert prefills.cancel(key("runs"), at(0)) == [CancelPrefill(key("runs"))]
    prefills.submit(ask("done"), at(0))
    prefills.finish(key("done"), at(0.1), cached=0, lives=LIVES)
    assert prefills.cancel(key("done"), at(0.2)) == [FreeExport(key("done"))]
    assert prefills.list_attempts() == []


def test_a_result_that_races_its_cancel_is_released() -> None:
    prefills = book()
    prefills.submit(ask("r"), at(0))
    prefills.cancel(key("r"), at(0.1))
    assert prefills.finish(key("r"), at(0.1), cached=0, lives=LIVES) == [FreeExport(key("r"))]


def test_an_order_that_comes_after_its_cancel_does_not_compute() -> None:
    prefills = book()
    prefills.cancel(key("r"), at(0))
    [refused] = prefills.submit(ask("r"), at(0.1))
    assert refused == RefusePrefill(key("r"), HostId("e"), Refusal.CANCELLED)


def test_what_cannot_meet_its_patience_is_refused_before_any_prefill() -> None:
    prefills = book()
    for number in range(10):
        prefills.submit(ask(f"r{number}", cost=0.5), at(0))
    [refused] = prefills.submit(ask("late", patience=2), at(0))
    assert isinstance(refused, RefusePrefill)
    assert refused.refusal is Refusal.NO_ROOM


class Engine:
    """Carries out what the book decides and checks what it holds."""

    def __init__(self) -> None:
        self.book = book()
        self.now = 0.0
        self.computing: set[JobKey] = set()
        self.exports: set[JobKey] = set()

    def take(self, actions: list[PrefillAction]) -> None:
        for action in actions:
            if isinstance(action, StartPrefill):
                self.computing.add(action.key)
            elif isinstance(action, CancelPrefill):
                self.computing.remove(action.key)
            elif isinstance(action, FreeExport):
                self.exports.discard(action.key)
        assert len(self.computing) <= 1

    def order(self, name: str, wait: float) -> None:
        self.take(self.book.submit(ask(name, self.now, start_in=wait), at(self.now)))

    def finish(self, name: str, _wait: float) -> None:
        if key(name) in self.computing:
            self.computing.discard(key(name))
            self.exports.add(key(name))
            self.take(self.book.finish(key(name), at(self.now), cached=0, lives=LIVES))

    def fail(self, name: str, _wait: float) -> None:
        if key(name) in self.computing:
            self.computing.discard(key(name))
            self.take(self.book.fail(key(name), at(self.now)))

    def cancel(self, name: str, _wait: float) -> None:
        self.take(self.book.cancel(key(name), at(self.now)))

    def wait(self, _name: str, wait: float) -> None:
        self.now += wait
        self.take(self.book.tick(at(self.now)))


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [Engine.order, Engine.order, Engine.finish, Engine.fail, Engine.cancel, Engine.wait]
            ),
            st.sampled_from([f"r{number}" for number in range(7)]),
            st.floats(0, 1),
        ),
        max_size=60,
    )
)
def test_nothing_stays_held_whatever_the_order(
    steps: list[tuple[Callable[[Engine, str, float], None], str, float]],
) -> None:
    engine = Engine()
    for step, name, wait in steps:
        step(engine, name, wait)
    for _ in range(30):
        engine.wait("", 1.0)
        for request, _attempt in list(engine.computing):
            engine.finish(request, 0.0)
    assert engine.book.list_attempts() == []
    assert not engine.exports
