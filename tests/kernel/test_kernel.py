from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Any, ClassVar

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeReactor

from lavenderrun.kernel import (
    Kernel,
    KernelError,
    ReactorClock,
    Registry,
    ServiceStartError,
    UnknownNameError,
    UnknownServiceError,
)


def make_kernel() -> Kernel:
    return Kernel(ReactorClock(FakeReactor(), datetime(2026, 1, 1, tzinfo=UTC), zero=0.0), None)


def make_service(
    log: list[str], name: str, needed: tuple[str, ...] = (), error: Exception | None = None
) -> Any:
    class FakeService:
        needs: ClassVar[tuple[str, ...]] = needed

        def start(self) -> None:
            if error is not None:
                raise error
            log.append(f"+{name}")

        def stop(self) -> None:
            log.append(f"-{name}")

    return FakeService()


def test_services_start_after_what_they_need_and_stop_before_it() -> None:
    log: list[str] = []
    kernel = make_kernel()
    kernel.add("router", make_service(log, "router", ("links",)))
    kernel.add("links", make_service(log, "links"))
    Deferred.fromCoroutine(kernel.start())
    Deferred.fromCoroutine(kernel.stop())
    assert log == ["+links", "+router", "-router", "-links"]


def test_failed_start_names_the_service_and_stops_the_started_ones() -> None:
    log: list[str] = []
    kernel = make_kernel()
    kernel.add("links", make_service(log, "links"))
    kernel.add("router", make_service(log, "router", ("links",), OSError("port taken")))
    failures: list[Any] = []
    Deferred.fromCoroutine(kernel.start()).addErrback(failures.append)
    assert failures[0].check(ServiceStartError)
    assert failures[0].value.service == "router"
    assert log == ["+links", "-links"]


def test_missing_and_circular_dependencies_are_refused() -> None:
    kernel = make_kernel()
    kernel.add("router", make_service([], "router", ("links",)))
    failures: list[Any] = []
    Deferred.fromCoroutine(kernel.start()).addErrback(failures.append)
    assert failures[0].check(UnknownServiceError)
    kernel.add("links", make_service([], "links", ("router",)))
    Deferred.fromCoroutine(kernel.start()).addErrback(failures.append)
    assert failures[1].check(KernelError)
    assert "circular dependency" in str(failures[1].value)


def test_registry_refuses_second_registration_and_unknown_name() -> None:
    registry: Registry[type] = Registry("policy")
    registry.register("random")(int)
    with pytest.raises(ValueError, match="registered twice"):
        registry.register("random")(str)
    with pytest.raises(UnknownNameError, match="unknown policy 'fair': one of random"):
        registry.find("fair")


def test_clock_advances_with_the_reactor_and_cancels_timers() -> None:
    reactor = FakeReactor()
    clock = ReactorClock(reactor, datetime(2026, 1, 1, tzinfo=UTC), zero=0.0)
    calls: list[str] = []
    clock.call_later(timedelta(seconds=2), calls.append, "kept")
    dropped = clock.call_later(timedelta(seconds=1), calls.append, "dropped")
    dropped.cancel()
    dropped.cancel()
    reactor.advance(2)
    assert calls == ["kept"]
    assert clock.now() == datetime(2026, 1, 1, 0, 0, 2, tzinfo=UTC)
