"""Service ``metrics``: counts what the record shows and reads what services hold."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime
from typing import Any, ClassVar, Final

from lavenderrun.kernel import SERVICES, Kernel, Registry
from lavenderrun.metrics import Metric, MetricKind, MetricValues
from lavenderrun.services._record import RecordService
from lavenderrun.types import EVENTS, Event, EventData, RequestId

RUNNING_MOST: Final = 100_000
"""Requests whose begin is kept, should ends ever be missed."""

Readings = dict[tuple[str, ...], float]
Observer = Callable[["MetricsService", Event, Any], None]
Reader = Callable[[Kernel], Readings]

METRICS: Registry[Metric] = Registry("metric")
OBSERVERS: Registry[Observer] = Registry("observer")
READERS: Registry[Reader] = Registry("reader")


def define_metric(
    name: str,
    kind: MetricKind,
    text: str,
    labels: tuple[str, ...] = (),
    bounds: tuple[float, ...] = (),
) -> Metric:
    """Return a new metric that is part of :data:`METRICS`."""
    return METRICS.register(name)(Metric(name, kind, text, labels, bounds))


def register_observer(kind: type[EventData]) -> Callable[[Observer], Observer]:
    """Return a decorator that lets its function see each event of *kind*."""
    return OBSERVERS.register(str(kind.__struct_config__.tag))


def register_reader(
    name: str, text: str, labels: tuple[str, ...] = (), kind: MetricKind = MetricKind.GAUGE
) -> Callable[[Reader], Reader]:
    """Return a decorator that reads the metric *name* by its function at each scrape."""
    define_metric(name, kind, text, labels)
    return READERS.register(name)


@dataclass
class RunningRequest:
    """A request between its acceptance and its end."""

    began: datetime
    route: str
    answered: bool = False


class MetricsService:
    """Holds the metrics of one daemon; observers and readers fill it."""

    needs: ClassVar[tuple[str, ...]] = ("record",)

    def __init__(self, kernel: Kernel) -> None:
        self.values = MetricValues()
        self.running: dict[RequestId, RunningRequest] = {}
        self._kernel = kernel
        self._observers = {EVENTS.find(name): observer for name, observer in OBSERVERS}

    def start(self) -> None:
        """Watch the record."""
        self._kernel.find("record", RecordService).watch(self._take)

    def stop(self) -> None:
        """Nothing to end."""

    def note_accepted(self, request: RequestId, at: datetime, route: str) -> None:
        """Keep when a request was accepted."""
        if len(self.running) >= RUNNING_MOST:
            del self.running[next(iter(self.running))]
        self.running[request] = RunningRequest(at, route)

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the page of metrics and its headers."""
        for name, reader in READERS:
            self.values.replace(METRICS.find(name), reader(self._kernel))
        return self.values.render(accept)

    def _take(self, event: Event) -> None:
        observer = self._observers.get(type(event.data))
        if observer is not None:
            observer(self, event, event.data)


@SERVICES.register("metrics")
def make_metrics(kernel: Kernel) -> MetricsService:
    """Make the service."""
    return MetricsService(kernel)
