"""Service ``metrics``: counts recorded events and reads the state of other services."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime
from typing import Any, ClassVar, Final

from lavenderrun.kernel import SERVICES, Kernel, Registry
from lavenderrun.metrics import Metric, MetricKind, MetricValues
from lavenderrun.services._record import RecordService
from lavenderrun.types import EVENTS, Event, EventData, RequestId

MAX_RUNNING_REQUESTS: Final = 100_000
"""Bound on the requests that are kept, in case the end of some is never recorded."""

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
    """Return a new metric that is registered in :data:`METRICS`.

    :param text: help text of the metric.
    :param bounds: upper bounds of a histogram's buckets.
    """
    return METRICS.register(name)(Metric(name, kind, text, labels, bounds))


def register_observer(kind: type[EventData]) -> Callable[[Observer], Observer]:
    """Return a decorator that registers a function to call with each event of *kind*."""
    return OBSERVERS.register(str(kind.__struct_config__.tag))


def register_reader(
    name: str, text: str, labels: tuple[str, ...] = (), kind: MetricKind = MetricKind.GAUGE
) -> Callable[[Reader], Reader]:
    """Define a metric and return a decorator for the function that reads it at each scrape."""
    define_metric(name, kind, text, labels)
    return READERS.register(name)


@dataclass
class RunningRequest:
    """A request that was accepted and has not ended."""

    began: datetime
    route: str
    answered: bool = False


class MetricsService:
    """Holds the values of all metrics of one daemon; observers and readers set them."""

    needs: ClassVar[tuple[str, ...]] = ("record",)

    def __init__(self, kernel: Kernel) -> None:
        self.values = MetricValues()
        self.running: dict[RequestId, RunningRequest] = {}
        self._kernel = kernel
        self._observers = {EVENTS.find(name): observer for name, observer in OBSERVERS}

    def start(self) -> None:
        """Watch all recorded events."""
        self._kernel.find("record", RecordService).watch(self._observe)

    def stop(self) -> None:
        """Do nothing; the service holds no resources."""

    def note_accepted(self, request: RequestId, at: datetime, route: str) -> None:
        """Keep time and route of a request that was accepted."""
        if len(self.running) >= MAX_RUNNING_REQUESTS:
            del self.running[next(iter(self.running))]
        self.running[request] = RunningRequest(at, route)

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page and its headers.

        :param accept: values of the request's ``Accept`` headers.
        """
        for name, reader in READERS:
            self.values.replace(METRICS.find(name), reader(self._kernel))
        return self.values.render(accept)

    def _observe(self, event: Event) -> None:
        observer = self._observers.get(type(event.data))
        if observer is not None:
            observer(self, event, event.data)


@SERVICES.register("metrics")
def make_metrics(kernel: Kernel) -> MetricsService:
    """Return the service that holds the metrics."""
    return MetricsService(kernel)
