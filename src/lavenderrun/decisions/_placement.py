"""Placement of requests on agents by load reports that lag, and the record of each choice."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from lavenderrun.kernel import Registry
from lavenderrun.types import DataCentre, HostId, LoadReport

SAMPLED_HOSTS = 3
NO_FREE_SLOT_SECONDS = 0.05
"""Wait assumed at an agent without a free slot, on top of its backlog."""


class RandomSource(Protocol):
    """Source of random numbers."""

    def random(self) -> float:
        """Return a random float in [0, 1)."""


class RejectionReason(Enum):
    """Why a host was not chosen."""

    TRIED = "tried"
    LEAVING = "leaving"
    NO_KV_BLOCKS = "no_pieces"
    LONGER_WAIT = "longer_wait"
    LINK_BUSY = "link_busy"


@dataclass(frozen=True, slots=True)
class Candidate:
    """Host that may be chosen for a request.

    :param load: its last load report, late by up to a heartbeat; ``None`` before the first one.
    :param leaving: the host takes no new work.
    :param sent: requests that this entry has sent there and the report does not include.
    :param work: expected work of those requests in seconds.
    """

    host: HostId
    data_centre: DataCentre
    load: LoadReport | None
    leaving: bool = False
    sent: int = 0
    work: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacementRequirements:
    """What a request requires of its host.

    :param kv_blocks: KV blocks that the request may fill; zero for a plain call.
    :param tried: hosts at which this request has already failed.
    """

    kv_blocks: int
    tried: frozenset[HostId] = frozenset()


@dataclass(frozen=True, slots=True)
class RejectedHost:
    """Host that was considered and not chosen.

    :param wait: wait that was expected there.
    """

    host: HostId
    reason: RejectionReason
    wait: timedelta


@dataclass(frozen=True, slots=True)
class Choice:
    """Outcome of a placement.

    :param chosen: the host, ``None`` when no host may be chosen.
    :param wait: wait that is expected there.
    :param rejected: the other hosts that were considered.
    """

    chosen: HostId | None
    wait: timedelta
    rejected: tuple[RejectedHost, ...]


class Candidates(Protocol):
    """Sequence of the hosts to choose from."""

    def __len__(self) -> int:
        """Return the number of hosts."""

    def __getitem__(self, index: int) -> Candidate:
        """Return the candidate at *index*."""

    def __iter__(self) -> Iterator[Candidate]:
        """Return an iterator over all candidates."""


Placement = Callable[[Candidates, PlacementRequirements, RandomSource], Choice]

PLACEMENTS: Registry[Placement] = Registry("placement")


def sample(count: int, wanted: int, random_source: RandomSource) -> Collection[int]:
    """Return *wanted* different random indexes below *count*, or all when *count* is no larger.

    The order of all indexes starts at a random one, so that entries that see equal loads choose
    differently.
    """
    if count <= wanted:
        first = int(random_source.random() * count)
        return [*range(first, count), *range(first)]
    indexes: dict[int, None] = {}
    while len(indexes) < wanted:
        indexes[int(random_source.random() * count)] = None
    return list(indexes)


def count_free(candidate: Candidate) -> int:
    """Return the decode slots that are free for a new request; zero when the load is unknown.

    While requests are queued the result is zero even if slots are free: they wait for prefill.
    """
    load = candidate.load
    if load is None or load.queued:
        return 0
    return load.slots - load.taken - candidate.sent


def estimate_wait(candidate: Candidate) -> float:
    """Return the seconds until a slot is free; with free slots, minus their share of all slots."""
    load = candidate.load
    if load is None:
        return 0.0
    waiting = load.queued if load.backlog else 0
    free = load.slots - load.taken - waiting - candidate.sent
    if free > 0:
        return -free / load.slots
    backlog = load.backlog.total_seconds() + candidate.work / load.slots
    return NO_FREE_SLOT_SECONDS * (1 + candidate.sent) + backlog


def find_exclusion(candidate: Candidate, tried: Collection[HostId]) -> RejectionReason | None:
    """Return why a host may not be chosen, ``None`` when it may."""
    if candidate.leaving:
        return RejectionReason.LEAVING
    return RejectionReason.TRIED if candidate.host in tried else None


def _pick(
    candidates: Candidates, requirements: PlacementRequirements, indexes: Collection[int]
) -> Choice:
    """Choose the shortest wait; hosts with too few KV blocks rank after all others."""
    ranked: list[tuple[bool, float, Candidate]] = []
    rejected: list[RejectedHost] = []
    for index in indexes:
        candidate = candidates[index]
        exclusion = find_exclusion(candidate, requirements.tried)
        if exclusion is not None:
            rejected.append(RejectedHost(candidate.host, exclusion, timedelta(0)))
            continue
        load = candidate.load
        lacks_blocks = load is not None and load.free_kv_blocks < requirements.kv_blocks
        ranked.append((lacks_blocks, estimate_wait(candidate), candidate))
    if not ranked:
        return Choice(None, timedelta(0), tuple(rejected))
    ranked.sort(key=lambda item: item[:2])
    for lacks_blocks, wait, other in ranked[1:]:
        reason = RejectionReason.NO_KV_BLOCKS if lacks_blocks else RejectionReason.LONGER_WAIT
        rejected.append(RejectedHost(other.host, reason, timedelta(seconds=max(0.0, wait))))
    _, wait, best = ranked[0]
    return Choice(best.host, timedelta(seconds=max(0.0, wait)), tuple(rejected))


@PLACEMENTS.register("power")
def place_by_power(
    candidates: Candidates, requirements: PlacementRequirements, random_source: RandomSource
) -> Choice:
    """Choose the shortest wait among a few random hosts, with the entry's own sends counted."""
    choice = _pick(candidates, requirements, sample(len(candidates), SAMPLED_HOSTS, random_source))
    if choice.chosen is None and len(candidates) > SAMPLED_HOSTS:
        return place_at_shortest(candidates, requirements, random_source)
    return choice


@PLACEMENTS.register("shortest")
def place_at_shortest(
    candidates: Candidates, requirements: PlacementRequirements, random_source: RandomSource
) -> Choice:
    """Choose the shortest wait among all hosts."""
    return _pick(candidates, requirements, range(len(candidates)))


@PLACEMENTS.register("random")
def place_at_random(
    candidates: Candidates, requirements: PlacementRequirements, random_source: RandomSource
) -> Choice:
    """Choose a random host whatever its load; the baseline."""
    eligible = [
        each.host for each in candidates if find_exclusion(each, requirements.tried) is None
    ]
    chosen = eligible[int(random_source.random() * len(eligible))] if eligible else None
    return Choice(chosen, timedelta(0), ())
