"""Which backend server takes a call."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random
from typing import Final

from lavenderrun.dispatch._health import HealthTracker
from lavenderrun.dispatch._occupancy import FleetOccupancy
from lavenderrun.kernel import Registry
from lavenderrun.types import BackendId, BackendRole, DataCentre, Member, MemberState

REMOTE_COST: Final = 0.35
"""What another data centre adds to a plain server's load: about two calls on six seats."""

REMOTE_TOKENS: Final = 400
"""Prompt tokens of queue, or of memory, that make up for another data centre."""

FAILURE_COST: Final = 2.0
"""What a server that fails every call adds to its load."""

SLOW_COST: Final = 0.5
"""What each doubling of a server's pace over the best one adds to its load."""

SLOW_FROM: Final = 2.0
"""Pace against the best server from which slowness counts."""

PREFILL_QUEUE: Final = timedelta(milliseconds=400)
"""Longest queue at a prefill engine; half of a usual objective for the first token."""

MEMORY_PART: Final = 0.97
"""Part of an engine's memory that is reserved by expected sizes; the rest takes the errors."""

LATE_MEMORY_PART: Final = 0.75
"""The same for a call that is late already: the rest is kept for those that can be in time."""


@dataclass(frozen=True)
class CallRequirements:
    """What a call asks of its server.

    :param tokens: KV cache that it will fill; zero for plain calls.
    :param tried: servers that it was sent to before.
    :param harmless: it may be sent to a server that is on trial.
    :param late: it misses its objective whatever is done.
    """

    tokens: int = 0
    tried: Collection[BackendId] = ()
    harmless: bool = True
    late: bool = False


@dataclass
class PlacementContext:
    """What a placement knows at this instant.

    :param memory_tokens: tokens of KV cache that a decode engine holds, zero for no bound.
    :param prefill_speed: prompt tokens that an engine computes a second, zero when unknown.
    :param moving: engines that were ordered to another role and serve nothing until then.
    """

    now: datetime
    data_centre: DataCentre
    health: HealthTracker
    occupancy: FleetOccupancy
    random_source: Random
    memory_tokens: int = 0
    prefill_speed: float = 0.0
    moving: Collection[BackendId] = ()


Placement = Callable[[Sequence[Member], CallRequirements, PlacementContext], Member | None]

PLACEMENTS: Registry[Placement] = Registry("gateway placement")


def list_candidates(
    members: Iterable[Member], need: CallRequirements, sight: PlacementContext
) -> list[Member]:
    """Return the ready servers that were not tried, paused ones only when there is no other."""
    ready = [
        member
        for member in members
        if member.state is MemberState.READY
        and member.id not in need.tried
        and member.id not in sight.moving
    ]
    found = [m for m in ready if not sight.health.is_paused(m.id, sight.now)]
    if not found:
        # a server that may be back is better than none
        return ready
    if need.harmless:
        return found
    calm = [m for m in found if sight.health.find(m.id).paused_until is None]
    return calm or found


def _trouble(member: Member, best: float, sight: PlacementContext) -> float:
    cost = FAILURE_COST * sight.health.share_failed(member.id)
    pace = sight.health.find(member.id).pace
    if best and pace > SLOW_FROM * best:
        cost += SLOW_COST * (pace / best - 1)
    if member.warmup:
        cost += SLOW_COST
    return cost


def _choose(
    found: list[Member], cost: Callable[[Member, float], float], sight: PlacementContext
) -> Member:
    paces = [pace for m in found if (pace := sight.health.find(m.id).pace)]
    best = min(paces, default=0.0)
    return min(found, key=lambda member: (cost(member, best), sight.random_source.random()))


def _choose_least_tokens(
    found: list[Member], need: CallRequirements, sight: PlacementContext
) -> Member:
    def cost(member: Member, best: float) -> float:
        reserved = sight.occupancy.sum_reserved_tokens(member.id)
        remote = REMOTE_TOKENS if member.data_centre != sight.data_centre else 0
        return (reserved + need.tokens + remote) * (1 + _trouble(member, best, sight))

    return _choose(found, cost, sight)


@PLACEMENTS.register("plain")
def place_plain(
    members: Sequence[Member], need: CallRequirements, sight: PlacementContext
) -> Member | None:
    """Choose the plain server with the least load, near ones first."""
    found = list_candidates(members, need, sight)
    if not found:
        return None

    def cost(member: Member, best: float) -> float:
        load = sight.occupancy.count_calls(member.id, sight.now) / max(1, member.slots)
        remote = REMOTE_COST if member.data_centre != sight.data_centre else 0.0
        return load + remote + _trouble(member, best, sight)

    return _choose(found, cost, sight)


@PLACEMENTS.register("prefill")
def place_prefill(
    members: Sequence[Member], need: CallRequirements, sight: PlacementContext
) -> Member | None:
    """Choose the prefill engine with the fewest prompt tokens before it.

    ``None`` when all have so many that the decode engine is faster with the prompt itself.
    """
    ready = [m for m in members if m.role is BackendRole.PREFILL]
    most = sight.prefill_speed * PREFILL_QUEUE.total_seconds()
    found = [
        member
        for member in list_candidates(ready, need, sight)
        if not most or sight.occupancy.sum_reserved_tokens(member.id) <= most
    ]
    if not found:
        return None
    return _choose_least_tokens(found, need, sight)


@PLACEMENTS.register("decode")
def place_decode(
    members: Sequence[Member], need: CallRequirements, sight: PlacementContext
) -> Member | None:
    """Choose the decode engine with the most free memory; ``None`` while none has room."""
    ready = [m for m in members if m.role is not BackendRole.PREFILL]
    found = [m for m in list_candidates(ready, need, sight) if has_room(m, need, sight)]
    if not found:
        return None
    return _choose_least_tokens(found, need, sight)


def has_room(member: Member, need: CallRequirements, sight: PlacementContext) -> bool:
    """Tell whether a decode engine has memory and a seat for the call."""
    if sight.occupancy.count_reserved(member.id) >= member.slots:
        return False
    used = sight.occupancy.sum_reserved_tokens(member.id)
    # an idle engine takes whatever fits at all
    part = LATE_MEMORY_PART if need.late else MEMORY_PART
    return not used or not sight.memory_tokens or used + need.tokens <= sight.memory_tokens * part
