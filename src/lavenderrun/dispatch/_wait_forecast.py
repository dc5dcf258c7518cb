"""How long a call is expected to wait for a decode slot, and whether that is in time."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.dispatch._fleet_demand import NO_DEMAND, Demand
from lavenderrun.dispatch._placement import PlacementContext, count_free_places
from lavenderrun.dispatch._queue_order import QueuedCall, can_start, misses_objective
from lavenderrun.kernel import Registry
from lavenderrun.types import BackendRole, Configuration, Member, MemberState

MIN_OBSERVED_STREAMS: Final = 5
"""Streams after which their mean time is used; before that, no call is rejected by a forecast."""

STREAM_WEIGHT: Final = 1 / 16
"""Weight of the newest stream in the mean time, which thus covers the last half minute of a host
with one stream in two seconds."""

MAX_DELAY_FACTOR: Final = 1.5
"""Multiple of the expected wait that a call of equal rank may wait, because each host orders only
its own queue and hosts get freed slots in no order."""

MAX_FORECAST: Final = timedelta(minutes=1)
"""Longest expected wait that is stated; callers leave long before."""

RETURN_SPREAD_SHARE: Final = 0.5
"""Largest random share of an advised wait that is added to it, so that callers do not return at
once."""

PATIENCE_SHARE: Final = 1 / 3
"""Part of a caller's remaining time up to which it follows the wait that it is advised."""


REJECTION_POLICIES: Registry[Callable[[Configuration], bool]] = Registry("rejection policy")
"""Policies that tell whether streams may be rejected by their expected wait."""

DEFAULT_REJECTION_POLICY: Final = "never"
"""Rejections by forecast refused three times as many calls of a small deployment."""


@REJECTION_POLICIES.register("never")
def never_reject(_configuration: Configuration) -> bool:
    """Let each stream wait its turn."""
    return False


@REJECTION_POLICIES.register("ranked")
def reject_if_ranked(configuration: Configuration) -> bool:
    """Reject streams where they differ in rank; else that leaves the same room to others."""
    return configuration.has_stream_ranks


class HoldTimes:
    """Mean time for which whole streams of one service hold what they reserve, by their tokens."""

    def __init__(self) -> None:
        self._count = 0
        self._seconds = 0.0
        self._tokens = 0.0

    def observe(self, held: timedelta, tokens: int) -> None:
        """Record a stream that was answered whole."""
        self._count += 1
        weight = max(STREAM_WEIGHT, 1 / self._count)
        self._seconds += (held.total_seconds() * tokens - self._seconds) * weight
        self._tokens += (tokens - self._tokens) * weight

    def estimate_drain(self, reserved: int) -> float:
        """Return how many tokens come free a second, zero when that is unknown.

        What is reserved by all hosts is freed within the mean time of a stream. This holds as soon
        as the reservations are known, while a rate of what the peers' reports free would have to be
        told from the reservations that were made between two reports.

        :param reserved: tokens that all hosts reserve.
        """
        if self._count < MIN_OBSERVED_STREAMS or not self._seconds or not self._tokens:
            return 0.0
        return reserved / (self._seconds / self._tokens)


@dataclass(frozen=True)
class EngineRoom:
    """What the decode engines of a service hold and have free, over all hosts.

    :param reserved: tokens that are reserved.
    :param free: tokens for which a further whole call has room.
    :param is_half_empty: whether less than half of the decode slots are taken.
    """

    reserved: int
    free: int
    is_half_empty: bool


def measure_room(members: Iterable[Member], size: int, context: PlacementContext) -> EngineRoom:
    """Return what the ready decode engines hold.

    :param size: tokens of a further call.
    """
    engines = [
        m
        for m in members
        if m.role is not BackendRole.PREFILL
        and m.state is MemberState.READY
        and m.id not in context.moving
    ]
    occupancy = context.occupancy
    taken = sum(occupancy.count_reserved_slots(m.id) for m in engines)
    return EngineRoom(
        sum(occupancy.sum_reserved_tokens(m.id) for m in engines),
        size * sum(count_free_places(m, size, context) for m in engines),
        2 * taken < sum(m.slots for m in engines),
    )


@dataclass(frozen=True)
class WaitForecast:
    """What decides how long a call waits for a decode slot.

    :param needed: tokens of the call itself.
    :param ahead: calls that wait ahead of it at all hosts.
    :param room: what the engines hold.
    :param drain: tokens that come free a second, zero when unknown.
    :param arriving_ahead: tokens a second of arriving calls of higher ranks.
    :param arriving_behind: tokens a second of all other arriving calls.
    """

    needed: int
    ahead: Demand = NO_DEMAND
    room: EngineRoom = EngineRoom(0, 0, True)
    drain: float = 0.0
    arriving_ahead: float = 0.0
    arriving_behind: float = 0.0

    @property
    def wait(self) -> timedelta:
        """The expected wait while the call can meet its objective; zero when unknown."""
        return self._divide(self.drain - self.arriving_ahead) if self.drain else timedelta(0)

    @property
    def late_wait(self) -> timedelta:
        """The expected wait of a late call, which arriving calls of all ranks pass.

        Those of lower ranks do so because the last quarter of each engine's memory is kept for
        calls that can meet their objective.
        """
        rate = self.drain - self.arriving_ahead - self.arriving_behind
        return self._divide(rate) if self.drain else timedelta(0)

    def _divide(self, rate: float) -> timedelta:
        missing = max(0, self.ahead.tokens + self.needed - self.room.free)
        if not missing:
            return timedelta(0)
        # rates of a token a second or less would be those of an engine that stands still
        return min(MAX_FORECAST, timedelta(seconds=missing / max(1.0, rate)))

    def find_wait(self, call: QueuedCall, now: datetime) -> timedelta:
        """Return the expected wait of *call*."""
        is_late = misses_objective(call, now + self.wait * MAX_DELAY_FACTOR)
        return self.late_wait if is_late else self.wait

    def is_hopeless(self, call: QueuedCall, now: datetime) -> bool:
        """Tell whether the call is expected to get no slot in the time that it has."""
        if self.room.is_half_empty and not self.ahead.calls:
            return False
        return not can_start(call, now + self.find_wait(call, now))


def advise_wait(wait: timedelta, least: timedelta, patience: timedelta, spread: float) -> timedelta:
    """Return when a rejected caller should come back.

    :param wait: the expected wait.
    :param least: shortest advised wait.
    :param patience: how much longer the caller wants its answer.
    :param spread: random number from 0 to 1.
    """
    advised = max(wait, least) * (1 + RETURN_SPREAD_SHARE * spread)
    return max(timedelta(0), min(advised, patience * PATIENCE_SHARE))
