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
    """A part of a daemon that other services find by name."""

    @property
    def needs(self) -> tuple[str, ...]:
        """Names of the services that start before this one and stop after it."""

    def start(self) -> Any:
        """Start the service; a returned ``Deferred`` is awaited."""

    def stop(self) -> Any:
        """Stop the service and release all resources; a returned ``Deferred`` is awaited."""


class _ValueService:
    """Makes a value available under a service name; it needs no start or stop."""

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self, value: Any) -> None:
        self.value = value

    def start(self) -> None:
        """Do nothing: a value needs no start."""

    def stop(self) -> None:
        """Do nothing: a value needs no stop."""


ServiceFactory = Callable[["Kernel"], Service]

SERVICES: Registry[ServiceFactory] = Registry("service")


class Kernel:
    """The services of one daemon.

    :param clock: the clock that every service uses.
    :param settings: the daemon's validated settings; services read their own part.
    :param random_source: source of random choices, seeded in tests and benchmarks.
    """

    def __init__(self, clock: Clock, settings: Any, random_source: Random | None = None) -> None:
        self.clock = clock
        self.settings = settings
        self.random_source = random_source or Random()
        self._services: dict[str, Service] = {}
        self._started: list[str] = []

    def add(self, name: str, service: Service) -> None:
        """Add a service under *name*.

        :raises KernelError: when the name is taken.
        """
        if name in self._services:
            msg = f"a service named {name!r} was already added"
            raise KernelError(msg)
        self._services[name] = service

    def provide(self, name: str, value: object) -> None:
        """Add a value that needs no start or stop under *name*.

        :raises KernelError: when the name is taken.
        """
        self.add(name, _ValueService(value))

    @staticmethod
    def wrap(value: object) -> Service:
        """Return *value* as a service that needs no start or stop."""
        return _ValueService(value)

    def build(self, names: Iterable[str], registry: Registry[ServiceFactory] = SERVICES) -> None:
        """Create the named services by the factories in *registry*; existing ones are kept."""
        for name in names:
            if name not in self._services:
                self.add(name, registry.find(name)(self))

    def find(self, name: str, kind: type[T]) -> T:
        """Return the service under *name*.

        :param kind: the class or protocol that the caller uses it as.
        :raises UnknownServiceError: when this kernel has no service of that name.
        """
        try:
            service: Any = self._services[name]
        except KeyError:
            msg = f"this daemon has no service {name!r}"
            raise UnknownServiceError(msg) from None
        if isinstance(service, _ValueService):
            service = service.value
        return service  # type: ignore[no-any-return]

    def has(self, name: str) -> bool:
        """Tell whether this daemon has a service under *name*."""
        return name in self._services

    async def start(self) -> None:
        """Start all services in dependency order.

        :raises ServiceStartError: when a service fails; those started before it have been stopped.
        """
        for name in self._sort_by_needs():
            try:
                await maybeDeferred(self._services[name].start)
            except Exception as error:
                await self.stop()
                raise ServiceStartError(name, error) from error
            self._started.append(name)

    async def stop(self) -> None:
        """Stop the started services in reverse order, also when the stop of one fails."""
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

    def _sort_by_needs(self) -> list[str]:
        graph: dict[str, tuple[str, ...]] = {}
        for name, service in self._services.items():
            for need in service.needs:
                if need not in self._services:
                    msg = f"service {name!r} needs {need!r}, which this daemon does not have"
                    raise UnknownServiceError(msg)
            graph[name] = service.needs
        try:
            return list(TopologicalSorter(graph).static_order())
        except CycleError as error:
            msg = f"circular dependency between services: {' -> '.join(error.args[1])}"
            raise KernelError(msg) from error
