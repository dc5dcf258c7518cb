"""Placement policies: which backend server takes a call."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from random import Random
from typing import Final

from lavenderrun.dispatch._computations import PromptComputations
from lavenderrun.dispatch._decode_holds import HoldRefusals
from lavenderrun.dispatch._fleet_demand import NO_DEMAND, Demand
from lavenderrun.dispatch._health import HealthTracker
from lavenderrun.dispatch._occupancy import FleetOccupancy
from lavenderrun.dispatch._plain_loads import ExpectedLoad, PlainLoads
from lavenderrun.dispatch._prefix_reuse import PrefixReuse
from lavenderrun.dispatch._rests import ServerRests, limit_returning_calls
from lavenderrun.dispatch._unreached import UnreachedAddresses
from lavenderrun.kernel import Registry
from lavenderrun.types import (
    BackendId,
    BackendRole,
    DataCentre,
    Member,
    MemberState,
    PromptPart,
)

REMOTE_COST: Final = 0.35
"""Load added to a plain server in another data centre: about two calls on six slots."""

CLOSE_CALLS: Final = 0.5
"""Calls by which expected loads of plain servers may differ without effect. All hosts see about the
same paces: without such a margin, the smallest difference sends the calls of all to one server."""

REMOTE_TOKENS: Final = 400
"""Tokens added to the reservations of an engine in another data centre."""

FAILURE_COST: Final = 2.0
"""Load added to a server that fails every call; a lower failure rate adds its share."""

SLOW_COST: Final = 0.5
"""Load added for each multiple of the fastest server's mean time that a slow one takes longer."""

SLOW_RATIO: Final = 2.0
"""Ratio of a server's mean time to that of the fastest one above which it counts as slow."""

MAX_PREFILL_QUEUE: Final = timedelta(milliseconds=400)
"""Longest queue at a prefill engine for a call without an objective that it can still meet."""

FIRST_STEP_TIME: Final = timedelta(milliseconds=100)
"""Time from the end of a prefill to the first token: a transfer and a decode step."""

MEMORY_SHARE: Final = 0.97
"""Share of an engine's memory that expected sizes may fill; the rest absorbs estimation errors."""

LATE_MEMORY_SHARE: Final = 0.75
"""Share of an engine's memory that a call which misses its objective may fill; the rest is kept for
calls that can still meet theirs."""


@dataclass(frozen=True)
class CallRequirements:
    """What a call requires of its backend server.

    :param tokens: KV cache that it will fill; zero for plain calls.
    :param tried: backend servers that it was sent to before.
    :param allowed: decode engines whose capacity no call ahead of it waits for, ``None`` for any.
    :param may_probe: it may be the first call to a server after its pause.
    :param late: it misses its objective wherever it is placed.
    :param computes_prompt: the decode engine computes the prompt itself.
    :param may_wait: it may wait for a free slot rather than in the queue of a server.
    :param ahead: calls ahead of it at other hosts, which it leaves room for.
    :param first_token_due: when the first token should be out, ``None`` without an objective.
    :param prefix: parts of the prompt that an engine may still hold.
    """

    tokens: int = 0
    tried: Collection[BackendId] = ()
    allowed: Collection[BackendId] | None = None
    may_probe: bool = True
    late: bool = False
    computes_prompt: bool = False
    may_wait: bool = False
    ahead: Demand = NO_DEMAND
    first_token_due: datetime | None = None
    prefix: Sequence[PromptPart] = ()


@dataclass
class PlacementContext:
    """What a placement policy knows at one instant.

    :param random_source: breaks ties between servers of equal cost.
    :param memory_tokens: tokens of KV cache that a decode engine holds, zero for no bound.
    :param prefill_speed: prompt tokens that an engine computes a second, zero when unknown.
    :param moving: engines that were ordered to change their role and take no call until they have.
    :param computations: prompts that decode engines compute themselves.
    :param rests: servers that asked this host for no calls.
    :param silent: engines that send nothing of any stream; they take a call only without another.
    :param unreached: addresses to which the last connection failed.
    :param plain_loads: loads of plain servers that report their pace.
    :param prefixes: beginnings of prompts that engines still hold.
    :param withheld: cold servers for which this host has no share now.
    :param hold_refusals: decode engines that have just refused to reserve capacity.
    """

    now: datetime
    data_centre: DataCentre
    health: HealthTracker
    occupancy: FleetOccupancy
    random_source: Random
    memory_tokens: int = 0
    prefill_speed: float = 0.0
    moving: Collection[BackendId] = ()
    computations: PromptComputations = field(default_factory=PromptComputations)
    rests: ServerRests = field(default_factory=ServerRests)
    silent: Collection[BackendId] = ()
    unreached: UnreachedAddresses = field(default_factory=UnreachedAddresses)
    plain_loads: PlainLoads = field(default_factory=PlainLoads)
    prefixes: PrefixReuse = field(default_factory=PrefixReuse)
    withheld: Collection[BackendId] = ()
    hold_refusals: HoldRefusals = field(default_factory=HoldRefusals)


Placement = Callable[[Sequence[Member], CallRequirements, PlacementContext], Member | None]

PLACEMENTS: Registry[Placement] = Registry("gateway placement")


def list_candidates(
    members: Iterable[Member], requirements: CallRequirements, context: PlacementContext
) -> list[Member]:
    """Return the ready servers not tried yet, paused or silent ones only when there is no other."""
    ready = [
        member
        for member in members
        if member.state is MemberState.READY
        and member.id not in requirements.tried
        and member.id not in context.moving
        and member.id not in context.withheld
        and not context.health.is_replaced(member, context.now)
        and not context.rests.is_resting(member, context.now)
        and context.unreached.find_next_try(member.address, context.now) is None
    ]
    candidates = [
        m
        for m in ready
        if m.id not in context.silent and not context.health.is_paused(m.id, context.now)
    ]
    if not candidates:
        # such a server may be back, which is better than none
        return ready
    if requirements.may_probe:
        return candidates
    healthy = [m for m in candidates if context.health.find(m.id).paused_until is None]
    return healthy or candidates


def has_decode_engine(
    members: Iterable[Member], tried: Collection[BackendId], context: PlacementContext
) -> bool:
    """Tell whether a service has an engine not tried yet that runs calls now or may do so soon.

    An engine that changes its role counts as what it becomes; one that is full, paused or resting
    counts.
    """
    return any(
        member.state is MemberState.READY
        and member.id not in tried
        and (member.role is BackendRole.PREFILL) == (member.id in context.moving)
        and not context.health.is_replaced(member, context.now)
        for member in members
    )


def _compute_health_cost(member: Member, best_seconds: float, context: PlacementContext) -> float:
    cost = FAILURE_COST * context.health.get_failure_rate(member.id)
    mean_seconds = context.health.find(member.id).mean_seconds
    if best_seconds and mean_seconds > SLOW_RATIO * best_seconds:
        cost += SLOW_COST * (mean_seconds / best_seconds - 1)
    if member.warmup:
        cost += SLOW_COST
    return cost


def _choose_cheapest(
    candidates: list[Member], cost: Callable[[Member, float], float], context: PlacementContext
) -> Member:
    best_seconds = _find_best_seconds(candidates, context)
    return min(
        candidates, key=lambda member: (cost(member, best_seconds), context.random_source.random())
    )


def _find_best_seconds(candidates: list[Member], context: PlacementContext) -> float:
    times = [
        mean_seconds for m in candidates if (mean_seconds := context.health.find(m.id).mean_seconds)
    ]
    return min(times, default=0.0)


def _choose_fewest_tokens(
    candidates: list[Member], requirements: CallRequirements, context: PlacementContext
) -> Member:
    held = context.prefixes.estimate_held(requirements.prefix, context.memory_tokens)

    def cost(member: Member, best_seconds: float) -> float:
        reserved = context.occupancy.sum_reserved_tokens(member.id)
        remote = REMOTE_TOKENS if member.data_centre != context.data_centre else 0
        # in tokens, as an engine computes them all at one speed: what it holds against its queue
        needed = max(0.0, requirements.tokens - held.get(member.id, 0.0))
        return (reserved + needed + remote) * (
            1 + _compute_health_cost(member, best_seconds, context)
        )

    return _choose_cheapest(candidates, cost, context)


def _list_full_after_rest(
    members: Iterable[Member], context: PlacementContext
) -> Collection[BackendId]:
    """Return the servers that serve again after a rest of all and get no further call now."""
    ready = [member for member in members if member.state is MemberState.READY]
    occupancy, now = context.occupancy, context.now
    return [
        member.id
        for member in context.rests.list_returning(ready, now)
        if occupancy.count_own_calls(member.id)
        >= limit_returning_calls(member.slots, occupancy.find_load(member.id, now))
    ]


@PLACEMENTS.register("plain")
def place_plain(
    members: Sequence[Member], requirements: CallRequirements, context: PlacementContext
) -> Member | None:
    """Choose the plain server with the lowest load plus costs of distance and poor health.

    The load of a server that reports its pace is the expected time of the call there.
    """
    full = _list_full_after_rest(members, context)
    candidates = [
        member
        for member in list_candidates(members, requirements, context)
        if member.id not in full
    ]
    if requirements.may_wait:
        candidates = [
            member
            for member in candidates
            if context.occupancy.estimate_calls(member.id, context.now) < member.slots
        ]
    if not candidates:
        return None

    own = {member.id: context.occupancy.count_own_calls(member.id) for member in members}
    expected = context.plain_loads.find_expected(own, own, context.now)

    def cost(member: Member, best_seconds: float) -> float:
        load = _compute_load(member, expected.get(member.id), context)
        remote = REMOTE_COST if member.data_centre != context.data_centre else 0.0
        return load + remote + _compute_health_cost(member, best_seconds, context)

    if not expected:
        return _choose_cheapest(candidates, cost, context)
    return _choose_close(candidates, cost, context)


def _choose_close(
    candidates: list[Member], cost: Callable[[Member, float], float], context: PlacementContext
) -> Member:
    """Choose at random among the servers whose costs differ by less than is known of them."""
    best_seconds = _find_best_seconds(candidates, context)
    costs = [cost(member, best_seconds) for member in candidates]
    lowest = min(costs)
    close = [
        member
        for member, each in zip(candidates, costs, strict=True)
        if each - lowest <= CLOSE_CALLS / max(1, member.slots)
    ]
    return context.random_source.choice(close)


def _compute_load(
    member: Member, expected: ExpectedLoad | None, context: PlacementContext
) -> float:
    slots = max(1, member.slots)
    if expected is None:
        return context.occupancy.estimate_calls(member.id, context.now) / slots
    # less the usual time of the call itself, which the load of a server without a pace lacks too
    return ((expected.calls + 1) * expected.time_factor - 1) / slots


@PLACEMENTS.register("prefill")
def place_prefill(
    members: Sequence[Member], requirements: CallRequirements, context: PlacementContext
) -> Member | None:
    """Choose the prefill engine with the fewest reserved prompt tokens.

    ``None`` when all queues are so long that the first token would miss its objective.
    """
    engines = [m for m in members if m.role is BackendRole.PREFILL]
    max_tokens = context.prefill_speed * _find_max_queue(requirements, context).total_seconds()
    candidates = [
        member
        for member in list_candidates(engines, requirements, context)
        if not max_tokens or context.occupancy.sum_reserved_tokens(member.id) <= max_tokens
    ]
    if not candidates:
        return None
    return _choose_fewest_tokens(candidates, requirements, context)


def _find_max_queue(requirements: CallRequirements, context: PlacementContext) -> timedelta:
    if requirements.first_token_due is None or not context.prefill_speed:
        return MAX_PREFILL_QUEUE
    own_time = timedelta(seconds=requirements.tokens / context.prefill_speed)
    left = requirements.first_token_due - context.now
    return max(MAX_PREFILL_QUEUE, left - own_time - FIRST_STEP_TIME)


@PLACEMENTS.register("decode")
def place_decode(
    members: Sequence[Member], requirements: CallRequirements, context: PlacementContext
) -> Member | None:
    """Choose the decode engine with the fewest reserved tokens, ``None`` if none has capacity."""
    engines = [m for m in members if m.role is not BackendRole.PREFILL]
    allowed, listed = requirements.allowed, list_candidates(engines, requirements, context)
    candidates = [
        m
        for m in listed
        if (allowed is None or m.id in allowed) and has_capacity(m, requirements, context)
    ]
    if requirements.ahead.calls:
        candidates = _list_leaving_room(candidates, listed, requirements, context)
    if not candidates:
        return None
    return _choose_fewest_tokens(candidates, requirements, context)


@PLACEMENTS.register("large_decode")
def place_large_decode(
    members: Sequence[Member], requirements: CallRequirements, context: PlacementContext
) -> Member | None:
    """Choose the decode engine that has the fewest reserved tokens, to be kept for a large call.

    An engine whose reservations exceed its memory is kept for another call.
    """
    engines = [m for m in members if m.role is not BackendRole.PREFILL]
    memory, occupancy = context.memory_tokens, context.occupancy
    candidates = [
        m
        for m in list_candidates(engines, requirements, context)
        if requirements.tokens <= memory and occupancy.sum_reserved_tokens(m.id) <= memory
    ]
    return _choose_fewest_tokens(candidates, requirements, context) if candidates else None


def _list_leaving_room(
    candidates: Sequence[Member],
    engines: Sequence[Member],
    requirements: CallRequirements,
    context: PlacementContext,
) -> list[Member]:
    """Return the candidates at which the call leaves room for the calls ahead at other hosts.

    The room is that of all engines together, counted in whole calls: a share of the tokens at each
    engine would keep every engine free that has room for a single call.

    :param engines: all engines that take calls.
    """
    ahead = requirements.ahead
    size = max(1, ahead.tokens // ahead.calls)
    room = sum(count_free_places(member, size, context) for member in engines)
    return [
        member
        for member in candidates
        if room
        - count_free_places(member, size, context)
        + count_free_places(member, size, context, Demand(1, requirements.tokens))
        >= ahead.calls
    ]


def count_free_places(
    member: Member, size: int, context: PlacementContext, added: Demand = NO_DEMAND
) -> int:
    """Return how many calls of *size* tokens a decode engine has slots and memory for.

    :param added: calls that are placed there first.
    """
    slots = member.slots - context.occupancy.count_reserved_slots(member.id) - added.calls
    if slots <= 0 or not context.memory_tokens or not size:
        return max(0, slots)
    used = context.occupancy.sum_reserved_tokens(member.id) + added.tokens
    by_memory = int(context.memory_tokens * MEMORY_SHARE - used) // size
    # an idle engine takes a call of any size
    return min(slots, max(by_memory, 0 if used else 1))


def has_capacity(member: Member, requirements: CallRequirements, context: PlacementContext) -> bool:
    """Tell whether a decode engine has memory, a decode slot and time to compute the prompt."""
    if context.hold_refusals.forbids(member.id, requirements.tokens, context.now):
        return False
    if requirements.computes_prompt and context.computations.is_busy(member.id, context.now):
        return False
    if context.occupancy.count_reserved_slots(member.id) >= member.slots:
        return False
    used = context.occupancy.sum_reserved_tokens(member.id)
    # an idle engine takes a call of any size
    share = LATE_MEMORY_SHARE if requirements.late else MEMORY_SHARE
    return (
        not used
        or not context.memory_tokens
        or used + requirements.tokens <= context.memory_tokens * share
    )
