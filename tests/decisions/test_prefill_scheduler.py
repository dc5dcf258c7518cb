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

START = datetime(2026, 1, 1, tzinfo=UTC)
EXPORT_LIFETIME = timedelta(seconds=0.8)


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def key(name: str) -> JobKey:
    return (RequestId(name), AttemptId(1))


def make_request(
    name: str, now: float = 0.0, start_in: float = 0.0, patience: float = 5, cost: float = 0.1
) -> PrefillRequest:
    urgency = timedelta(seconds=0.5)
    deadline = at(now + start_in + patience)
    job = Job(*key(name), AccountId("a"), cost, 1.0, urgency, at(now + start_in + 0.5), deadline)
    return PrefillRequest(job, 1000, timedelta(seconds=start_in), HostId("e"))


def make_scheduler() -> PrefillScheduler:
    return PrefillScheduler(1, 640, QUEUE_POLICIES.find("fair"))


def test_delayed_prefill_starts_when_its_delay_ends() -> None:
    scheduler = make_scheduler()
    assert scheduler.submit(make_request("r", start_in=0.3), at(0)) == []
    assert scheduler.next_tick() == at(0.3)
    assert scheduler.tick(at(0.2)) == []
    assert scheduler.tick(at(0.3)) == [StartPrefill(key("r"))]


def test_export_is_freed_at_the_end_of_its_lifetime() -> None:
    scheduler = make_scheduler()
    scheduler.submit(make_request("r"), at(0))
    scheduler.finish(key("r"), at(0.1), cached=0, lives=EXPORT_LIFETIME)
    assert scheduler.tick(at(0.8)) == []
    assert scheduler.tick(at(0.95)) == [FreeExport(key("r"))]
    assert scheduler.list_attempts() == []


def test_cancel_ends_an_attempt_in_every_state() -> None:
    scheduler = make_scheduler()
    scheduler.submit(make_request("runs"), at(0))
    scheduler.submit(make_request("waits"), at(0))
    scheduler.submit(make_request("held", start_in=1), at(0))
    assert scheduler.cancel(key("waits"), at(0)) == []
    assert scheduler.cancel(key("held"), at(0)) == []
    assert scheduler.cancel(key("runs"), at(0)) == [CancelPrefill(key("runs"))]
    scheduler.submit(make_request("done"), at(0))
    scheduler.finish(key("done"), at(0.1), cached=0, lives=EXPORT_LIFETIME)
    assert scheduler.cancel(key("done"), at(0.2)) == [FreeExport(key("done"))]
    assert scheduler.list_attempts() == []


def test_export_that_arrives_after_its_cancel_is_freed() -> None:
    scheduler = make_scheduler()
    scheduler.submit(make_request("r"), at(0))
    scheduler.cancel(key("r"), at(0.1))
    assert scheduler.finish(key("r"), at(0.1), cached=0, lives=EXPORT_LIFETIME) == [
        FreeExport(key("r"))
    ]


def test_request_that_arrives_after_its_cancel_is_refused() -> None:
    scheduler = make_scheduler()
    scheduler.cancel(key("r"), at(0))
    [refused] = scheduler.submit(make_request("r"), at(0.1))
    assert refused == RefusePrefill(key("r"), HostId("e"), Refusal.CANCELLED)


def test_request_that_would_wait_beyond_its_patience_is_refused_before_any_prefill() -> None:
    scheduler = make_scheduler()
    for number in range(10):
        scheduler.submit(make_request(f"r{number}", cost=0.5), at(0))
    [refused] = scheduler.submit(make_request("late", patience=2), at(0))
    assert isinstance(refused, RefusePrefill)
    assert refused.refusal is Refusal.NO_ROOM


class Engine:
    """Carries out the actions of the scheduler and tracks what the engine holds."""

    def __init__(self) -> None:
        self.scheduler = make_scheduler()
        self.now = 0.0
        self.computing: set[JobKey] = set()
        self.exports: set[JobKey] = set()

    def apply_actions(self, actions: list[PrefillAction]) -> None:
        for action in actions:
            if isinstance(action, StartPrefill):
                self.computing.add(action.key)
            elif isinstance(action, CancelPrefill):
                self.computing.remove(action.key)
            elif isinstance(action, FreeExport):
                self.exports.discard(action.key)
        assert len(self.computing) <= 1

    def submit(self, name: str, wait: float) -> None:
        self.apply_actions(
            self.scheduler.submit(make_request(name, self.now, start_in=wait), at(self.now))
        )

    def finish(self, name: str, _wait: float) -> None:
        if key(name) in self.computing:
            self.computing.discard(key(name))
            self.exports.add(key(name))
            self.apply_actions(
                self.scheduler.finish(key(name), at(self.now), cached=0, lives=EXPORT_LIFETIME)
            )

    def fail(self, name: str, _wait: float) -> None:
        if key(name) in self.computing:
            self.computing.discard(key(name))
            self.apply_actions(self.scheduler.fail(key(name), at(self.now)))

    def cancel(self, name: str, _wait: float) -> None:
        self.apply_actions(self.scheduler.cancel(key(name), at(self.now)))

    def wait(self, _name: str, wait: float) -> None:
        self.now += wait
        self.apply_actions(self.scheduler.tick(at(self.now)))


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [
                    Engine.submit,
                    Engine.submit,
                    Engine.finish,
                    Engine.fail,
                    Engine.cancel,
                    Engine.wait,
                ]
            ),
            st.sampled_from([f"r{number}" for number in range(7)]),
            st.floats(0, 1),
        ),
        max_size=60,
    )
)
def test_nothing_is_held_at_the_end_whatever_the_order_of_events(
    steps: list[tuple[Callable[[Engine, str, float], None], str, float]],
) -> None:
    engine = Engine()
    for step, name, wait in steps:
        step(engine, name, wait)
    for _ in range(30):
        engine.wait("", 1.0)
        for request, _attempt in list(engine.computing):
            engine.finish(request, 0.0)
    assert engine.scheduler.list_attempts() == []
    assert not engine.exports
