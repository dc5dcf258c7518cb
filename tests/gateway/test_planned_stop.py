from __future__ import annotations

from datetime import UTC, datetime, timedelta
from types import SimpleNamespace
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeReactor

from lavenderrun.gateway import BoundsService
from lavenderrun.gateway._departure import DepartureService
from lavenderrun.kernel import Kernel, ReactorClock

GRACE = 8.0


class FakeRouter:
    """Counts the calls that run, and records when they were answered."""

    def __init__(self, reactor: FakeReactor, running: int) -> None:
        self._reactor = reactor
        self.running_count = running
        self.answered_at: float | None = None

    def leave(self, *_: Any) -> None: ...

    def refuse_late(self) -> None: ...

    def answer_remaining(self) -> None:
        self.answered_at = self._reactor.seconds()
        self.running_count = 0


class FakeCallers:
    def __init__(self) -> None:
        self.channels: list[object] = []
        self.is_reading = False

    def close_idle(self) -> None: ...

    def stop_listening(self) -> None: ...

    def refuse_unread(self) -> None: ...

    def stop(self) -> None: ...


class Host:
    """A host that stops, with a clock that stands still while it is suspended."""

    def __init__(self, running: int) -> None:
        self.reactor = FakeReactor()
        self.suspended = 0.0
        clock = ReactorClock(self.reactor, datetime(2026, 1, 1, tzinfo=UTC), zero=0.0)
        bounds = SimpleNamespace(grace=timedelta(seconds=GRACE))
        kernel = Kernel(clock, SimpleNamespace(bounds=bounds))
        self.router = FakeRouter(self.reactor, running)
        self.callers = FakeCallers()
        kernel.provide("bounds", BoundsService(kernel))
        kernel.provide("router", self.router)
        kernel.provide("callers", self.callers)
        read = lambda: self.reactor.seconds() + self.suspended  # noqa: E731
        kernel.provide("wakes", SimpleNamespace(read_boot_time=read))
        self.ended: list[float] = []
        stopping = Deferred.fromCoroutine(DepartureService(kernel).stop())
        stopping.addCallback(lambda _: self.ended.append(self.reactor.seconds() + self.suspended))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.01)):
            self.reactor.advance(0.01)


def test_calls_that_do_not_end_are_answered_before_the_end() -> None:
    host = Host(running=2)
    host.run(GRACE)
    assert host.router.answered_at is not None
    assert GRACE * 5 / 6 <= host.router.answered_at < GRACE - 0.5
    assert host.ended[0] < GRACE


def test_a_host_without_calls_serves_new_ones_until_the_load_balancer_has_removed_it() -> None:
    host = Host(running=0)
    host.run(3.1)
    assert not host.ended
    host.run(0.5)
    assert host.ended


# a suspension did not count towards the grace period, so the process was killed before it answered
def test_a_suspension_of_the_host_counts_towards_its_grace_period() -> None:
    host = Host(running=1)
    host.run(1.0)
    host.suspended = 7.0
    host.run(0.1)
    assert host.router.answered_at is not None
    host.run(0.4)
    assert host.ended


def test_answers_are_written_although_the_host_wakes_after_its_grace_period() -> None:
    host = Host(running=1)
    host.callers.channels.append(object())
    host.run(1.0)
    host.suspended = 20.0
    host.run(0.1)
    assert host.router.answered_at is not None
    assert not host.ended
    host.run(0.5)
    assert host.ended
