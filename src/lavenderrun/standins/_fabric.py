"""Network between engines for KV cache transfers, with a limited rate per link."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from lavenderrun.kernel import Clock, Timer
from lavenderrun.types import DataCentre, ExportHandle, RequestId, Step, StepError

DEFAULT_BYTES_PER_SECOND = 12.5e9
"""Default rate of a link."""
KV_BYTES_PER_TOKEN = 160_000
STALL_CHECK_INTERVAL = timedelta(milliseconds=50)


@dataclass(frozen=True)
class ExportedCache:
    """Contents of an export, represented by the text whose KV cache it is.

    :param tokens: length of the text in tokens.
    :param computed: tokens that the prefill computed because they were not cached.
    """

    request: RequestId
    text: str
    tokens: int
    computed: int


class ExportSource(Protocol):
    """The interface of an engine from which another engine pulls exports."""

    address: str
    data_centre: DataCentre

    def read_export(self, handle: ExportHandle) -> ExportedCache | None:
        """Return the export's contents, ``None`` when it has been freed."""

    def free_export(self, handle: ExportHandle, *, used: bool = False) -> None:
        """Free the export.

        :param used: an engine has imported it.
        """


class _Link:
    """Link from one data centre to another; transfers run one after another."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.free_at: datetime | None = None
        self.stalled = False


class Transfer:
    """A running transfer of one export to the engine that will decode it."""

    def __init__(self, done: Callable[[ExportedCache | None, StepError | None], None]) -> None:
        self._done: Callable[[ExportedCache | None, StepError | None], None] | None = done
        self.timer: Timer | None = None

    def cancel(self) -> None:
        """Cancel the transfer without calling its callback."""
        self._done = None
        if self.timer is not None:
            self.timer.cancel()

    def report(self, cache: ExportedCache | None, error: StepError | None = None) -> None:
        """Report the result, unless the transfer has ended or was cancelled."""
        done, self._done = self._done, None
        if done is not None:
            done(cache, error)


class Fabric:
    """Network that connects all engines and transfers exports between them.

    :param rates: bytes per second by source and target data centre.
    :ivar transferred_bytes: bytes of all completed transfers.
    """

    def __init__(
        self, clock: Clock, rates: dict[tuple[DataCentre, DataCentre], float] | None = None
    ) -> None:
        self._clock = clock
        self._rates = rates or {}
        self._links: dict[tuple[DataCentre, DataCentre], _Link] = {}
        self._engines: dict[str, ExportSource] = {}
        self.transferred_bytes = 0

    def attach(self, engine: ExportSource) -> None:
        """Register an engine by its address."""
        self._engines[engine.address] = engine

    def stall(self, source: DataCentre, target: DataCentre, *, stalled: bool) -> None:
        """Stall a link's transfers, or let them continue."""
        self._find_link(source, target).stalled = stalled

    def slow(self, source: DataCentre, target: DataCentre, rate: float) -> None:
        """Set a link's rate in bytes per second for transfers that start later."""
        self._find_link(source, target).rate = rate

    def pull(
        self,
        handle: ExportHandle,
        source: str,
        target: DataCentre,
        done: Callable[[ExportedCache | None, StepError | None], None],
    ) -> Transfer:
        """Start the transfer of an export.

        :param source: address of the engine that holds the export.
        :param done: called with the contents, or with ``None`` and an error.
        """
        transfer = Transfer(done)
        engine = self._engines.get(source)
        cache = engine.read_export(handle) if engine is not None else None
        if engine is None or cache is None:
            transfer.timer = self._clock.call_later(
                timedelta(0),
                transfer.report,
                None,
                _make_transfer_error(source, "the export is gone"),
            )
            return transfer
        link = self._find_link(engine.data_centre, target)
        now = self._clock.now()
        begin = max(now, link.free_at or now)
        size = cache.tokens * KV_BYTES_PER_TOKEN
        link.free_at = begin + timedelta(seconds=size / link.rate)
        wait = link.free_at - now
        transfer.timer = self._clock.call_later(
            wait, self._complete, transfer, link, engine, handle, size
        )
        return transfer

    def _complete(
        self, transfer: Transfer, link: _Link, engine: ExportSource, handle: ExportHandle, size: int
    ) -> None:
        # the source frees an expired export even during its transfer
        cache = engine.read_export(handle)
        if cache is None:
            transfer.report(
                None, _make_transfer_error(engine.address, "the export ended during its transfer")
            )
        elif link.stalled:
            transfer.timer = self._clock.call_later(
                STALL_CHECK_INTERVAL, self._complete, transfer, link, engine, handle, size
            )
        else:
            self.transferred_bytes += size
            engine.free_export(handle, used=True)
            transfer.report(cache)

    def _find_link(self, source: DataCentre, target: DataCentre) -> _Link:
        key = (source, target)
        if key not in self._links:
            self._links[key] = _Link(self._rates.get(key, DEFAULT_BYTES_PER_SECOND))
        return self._links[key]


def _make_transfer_error(source: str, reason: str) -> StepError:
    return StepError(Step.TRANSFER, source, reason)
