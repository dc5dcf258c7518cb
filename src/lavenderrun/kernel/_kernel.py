"""The kernel: builds services by name, starts and stops them in dependency order."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from graphlib import CycleError, TopologicalSorter
from random import Random
from typing import Any, ClassVar, Protocol, TypeVar

from eliot import log_message
from twisted.internet.defer import maybeDeferred

from lavenderrun.kernel._clock import Clock
from lavenderrun.kernel._errors import KernelError, ServiceStartError, UnknownServiceError
from lavenderrun.kernel._registry import Registry

T = TypeVar("T")


class Service(Protocol):
    """A part of a daemon that others find by name."""

    @property
    def needs(self) -> tuple[str, ...]:
        """Names of the services that start before this one and stop after it."""

    def start(self) -> Any:
        """Begin work; a returned ``Deferred`` is awaited."""

    def stop(self) -> Any:
        """End work and release all resources; a returned ``Deferred`` is awaited."""


class _Passive:
    """A value found by name that has no life of its own."""

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self, value: Any) -> None:
        self.value = value

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""


ServiceFactory = Callable[["Kernel"], Service]

SERVICES: Registry[ServiceFactory] = Registry("service")


class Kernel:
    """The services of one daemon.

    :param clock: the time that every service uses.
    :param settings: the daemon's checked settings; services read their own part.
    :param random_source: source of random choices, seeded in tests and benchmarks.
    """

    def __init__(self, clock: Clock, settings: Any, random_source: Random | None = None) -> None:
        self.clock = clock
        self.settings = settings
        self.random_source = random_source or Random()
        self._services: dict[str, Service] = {}
        self._started: list[str] = []

    def add(self, name: str, service: Service) -> None:
        """Put an instance under *name*.

        :raises KernelError: when the name is taken.
        """
        if name in self._services:
            msg = f"service {name!r} is added twice"
            raise KernelError(msg)
        self._services[name] = service

    def provide(self, name: str, value: object) -> None:
        """Put a value that needs no start or stop under *name*.

        :raises KernelError: when the name is taken.
        """
        self.add(name, _Passive(value))

    @staticmethod
    def wrap(value: object) -> Service:
        """Return *value* as a service that needs no start or stop."""
        return _Passive(value)

    def build(self, names: Iterable[str], registry: Registry[ServiceFactory] = SERVICES) -> None:
        """Make the named services by the factories of *registry*; present ones are kept."""
        for name in names:
            if name not in self._services:
                self.add(name, registry.find(name)(self))

    def find(self, name: str, kind: type[T]) -> T:
        """Return the service under *name*.

        :param kind: the class or protocol the caller will use it as.
        :raises UnknownServiceError: when this kernel has none of that name.
        """
        try:
            service: Any = self._services[name]
        except KeyError:
            msg = f"no service {name!r} in this daemon"
            raise UnknownServiceError(msg) from None
        if isinstance(service, _Passive):
            service = service.value
        return service  # type: ignore[no-any-return]

    def has(self, name: str) -> bool:
        """Tell whether this daemon has a service under *name*."""
        return name in self._services

    async def start(self) -> None:
        """Start all services, those that others need first.

        :raises ServiceStartError: names the service that failed; the rest is undone.
        """
        for name in self._order():
            try:
                await maybeDeferred(self._services[name].start)
            except Exception as error:
                await self.stop()
                raise ServiceStartError(name, error) from error
            self._started.append(name)

    async def stop(self) -> None:
        """Stop what has started in reverse order; a failing stop does not keep the rest."""
        while self._started:
            name = self._started.pop()
            try:
                await maybeDeferred(self._services[name].stop)
            except Exception as error:
                log_message(
                    "kernel:stop_failed",
                    text=f"kernel: stop of {name} failed",
                    service=name,
                    error=type(error).__name__,
                )

    def _order(self) -> list[str]:
        graph: dict[str, tuple[str, ...]] = {}
        for name, service in self._services.items():
            for need in service.needs:
                if need not in self._services:
                    msg = f"service {name!r} needs {need!r}, which this daemon lacks"
                    raise UnknownServiceError(msg)
            graph[name] = service.needs
        try:
            return list(TopologicalSorter(graph).static_order())
        except CycleError as error:
            msg = f"services need one another in a circle: {' -> '.join(error.args[1])}"
            raise KernelError(msg) from error
