"""The network between engines: links of limited rate that transfers of KV cache share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from lavenderrun.kernel import Clock, Timer
from lavenderrun.types import DataCentre, ExportHandle, RequestId, Step, StepError

BYTES_A_SECOND = 12.5e9
"""Rate of a link for which no other is set."""
KV_BYTES_A_TOKEN = 160_000
STALL_CHECK = timedelta(milliseconds=50)


@dataclass(frozen=True)
class Cache:
    """Contents of an export: the text whose KV cache it is.

    :param computed: tokens that its prefill did not find cached.
    """

    request: RequestId
    text: str
    tokens: int
    computed: int


class ExportSource(Protocol):
    """The side of an engine from which another engine pulls."""

    address: str
    data_centre: DataCentre

    def read_export(self, handle: ExportHandle) -> Cache | None:
        """Return the export, ``None`` when it is freed."""

    def end_export(self, handle: ExportHandle, *, used: bool = False) -> None:
        """Free the export, *used* after its transfer."""


class _Lane:
    """One direction between two data centres; transfers go one after another."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.free_at: datetime | None = None
        self.stalled = False


class Transfer:
    """A pull of one export into the engine that will decode it."""

    def __init__(self, done: Callable[[Cache | None, StepError | None], None]) -> None:
        self._done: Callable[[Cache | None, StepError | None], None] | None = done
        self.timer: Timer | None = None

    def cancel(self) -> None:
        """Give the transfer up; its callback is not called."""
        self._done = None
        if self.timer is not None:
            self.timer.cancel()

    def end(self, cache: Cache | None, error: StepError | None = None) -> None:
        """Report the result once."""
        done, self._done = self._done, None
        if done is not None:
            done(cache, error)


class Fabric:
    """Finds engines by address and moves exports between them.

    :param rates: bytes a second by source and target data centre.
    """

    def __init__(
        self, clock: Clock, rates: dict[tuple[DataCentre, DataCentre], float] | None = None
    ) -> None:
        self._clock = clock
        self._rates = rates or {}
        self._lanes: dict[tuple[DataCentre, DataCentre], _Lane] = {}
        self._engines: dict[str, ExportSource] = {}
        self.bytes_moved = 0

    def attach(self, engine: ExportSource) -> None:
        """Make an engine reachable."""
        self._engines[engine.address] = engine

    def stall(self, source: DataCentre, target: DataCentre, *, stalled: bool) -> None:
        """Stop a link's transfers, or let them go on."""
        self._lane(source, target).stalled = stalled

    def slow(self, source: DataCentre, target: DataCentre, rate: float) -> None:
        """Set a link's rate in bytes a second for transfers that start later."""
        self._lane(source, target).rate = rate

    def pull(
        self,
        handle: ExportHandle,
        source: str,
        target: DataCentre,
        done: Callable[[Cache | None, StepError | None], None],
    ) -> Transfer:
        """Begin to move an export; *done* takes its contents or the error."""
        transfer = Transfer(done)
        engine = self._engines.get(source)
        cache = engine.read_export(handle) if engine is not None else None
        if engine is None or cache is None:
            transfer.timer = self._clock.call_later(
                timedelta(0), transfer.end, None, _gone(source, "the export is gone")
            )
            return transfer
        lane = self._lane(engine.data_centre, target)
        now = self._clock.now()
        begin = max(now, lane.free_at or now)
        size = cache.tokens * KV_BYTES_A_TOKEN
        lane.free_at = begin + timedelta(seconds=size / lane.rate)
        wait = lane.free_at - now
        transfer.timer = self._clock.call_later(
            wait, self._arrive, transfer, lane, engine, handle, size
        )
        return transfer

    def _arrive(
        self, transfer: Transfer, lane: _Lane, engine: ExportSource, handle: ExportHandle, size: int
    ) -> None:
        # the source frees an export when its life is over, also in the middle of a transfer
        cache = engine.read_export(handle)
        if cache is None:
            transfer.end(None, _gone(engine.address, "the export ended during its transfer"))
        elif lane.stalled:
            transfer.timer = self._clock.call_later(
                STALL_CHECK, self._arrive, transfer, lane, engine, handle, size
            )
        else:
            self.bytes_moved += size
            engine.end_export(handle, used=True)
            transfer.end(cache)

    def _lane(self, source: DataCentre, target: DataCentre) -> _Lane:
        key = (source, target)
        if key not in self._lanes:
            self._lanes[key] = _Lane(self._rates.get(key, BYTES_A_SECOND))
        return self._lanes[key]


def _gone(source: str, reason: str) -> StepError:
    return StepError(Step.TRANSFER, source, reason)
