"""Choice of a decode agent over loads that lag, and the typed record of a choice."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from lavenderrun.kernel import Registry
from lavenderrun.types import DataCentre, HostId, LoadReport

SAMPLE = 3
NO_SEAT_SECONDS = 0.05
"""Wait that is assumed of an agent without a free seat, above its backlog."""


class RandomSource(Protocol):
    """Source of randomness."""

    def random(self) -> float:
        """Return a float from zero up to, without, one."""


class RejectionReason(Enum):
    """Why a host was not chosen."""

    TRIED = "tried"
    LEAVING = "leaving"
    NO_KV_BLOCKS = "no_pieces"
    LONGER_WAIT = "longer_wait"
    LINK_BUSY = "link_busy"


@dataclass(frozen=True, slots=True)
class Candidate:
    """A host that could take the work.

    :param load: what it last said; late by up to a heartbeat.
    :param leaving: it takes no new work.
    :param sent: requests that this entry has sent since then.
    :param work: expected work of those in seconds.
    """

    host: HostId
    data_centre: DataCentre
    load: LoadReport | None
    leaving: bool = False
    sent: int = 0
    work: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacementRequirements:
    """What a request needs of its decode agent.

    :param kv_blocks: pieces of KV cache.
    :param tried: hosts that this request has already failed at.
    """

    kv_blocks: int
    tried: frozenset[HostId] = frozenset()


@dataclass(frozen=True, slots=True)
class RejectedHost:
    """A host that was looked at and not chosen."""

    host: HostId
    reason: RejectionReason
    wait: timedelta


@dataclass(frozen=True, slots=True)
class Choice:
    """A placement: the host chosen, ``None`` when there is none, and those looked at."""

    chosen: HostId | None
    wait: timedelta
    rejected: tuple[RejectedHost, ...]


class Candidates(Protocol):
    """The hosts to choose from."""

    def __len__(self) -> int:
        """Return their number."""

    def __getitem__(self, index: int) -> Candidate:
        """Return one of them."""

    def __iter__(self) -> Iterator[Candidate]:
        """Return all."""


Placement = Callable[[Candidates, PlacementRequirements, RandomSource], Choice]

PLACEMENTS: Registry[Placement] = Registry("placement")


def sample(count: int, wanted: int, random_source: RandomSource) -> Collection[int]:
    """Return *wanted* different indexes below *count* by chance, all when there are no more.

    They begin at a random one, so that entries which see equal loads do not choose alike.
    """
    if count <= wanted:
        first = int(random_source.random() * count)
        return [*range(first, count), *range(first)]
    indexes: dict[int, None] = {}
    while len(indexes) < wanted:
        indexes[int(random_source.random() * count)] = None
    return list(indexes)


def count_free(candidate: Candidate) -> int:
    """Return the seats that a new request could have at once; zero when unknown.

    Where requests wait there is none, also when seats are free: prefill is what they wait for.
    """
    load = candidate.load
    if load is None or load.queued:
        return 0
    return load.slots - load.taken - candidate.sent


def estimate_wait(candidate: Candidate) -> float:
    """Return the seconds until a seat is free; below zero, the share of free seats."""
    load = candidate.load
    if load is None:
        return 0.0
    waiting = load.queued if load.backlog else 0
    free = load.slots - load.taken - waiting - candidate.sent
    if free > 0:
        return -free / load.slots
    backlog = load.backlog.total_seconds() + candidate.work / load.slots
    return NO_SEAT_SECONDS * (1 + candidate.sent) + backlog


def find_bar(candidate: Candidate, tried: Collection[HostId]) -> RejectionReason | None:
    """Return why a host may not be chosen at all."""
    if candidate.leaving:
        return RejectionReason.LEAVING
    return RejectionReason.TRIED if candidate.host in tried else None


def _pick(candidates: Candidates, need: PlacementRequirements, indexes: Collection[int]) -> Choice:
    """Return the one with the shortest wait; a host that lacks pieces comes after the others."""
    ranked: list[tuple[bool, float, Candidate]] = []
    rejected: list[RejectedHost] = []
    for index in indexes:
        candidate = candidates[index]
        bar = find_bar(candidate, need.tried)
        if bar is not None:
            rejected.append(RejectedHost(candidate.host, bar, timedelta(0)))
            continue
        load = candidate.load
        lacks = load is not None and load.free_kv_blocks < need.kv_blocks
        ranked.append((lacks, estimate_wait(candidate), candidate))
    if not ranked:
        return Choice(None, timedelta(0), tuple(rejected))
    ranked.sort(key=lambda item: item[:2])
    for lacks, wait, other in ranked[1:]:
        reason = RejectionReason.NO_KV_BLOCKS if lacks else RejectionReason.LONGER_WAIT
        rejected.append(RejectedHost(other.host, reason, timedelta(seconds=max(0.0, wait))))
    _, wait, best = ranked[0]
    return Choice(best.host, timedelta(seconds=max(0.0, wait)), tuple(rejected))


@PLACEMENTS.register("power")
def place_by_power(
    candidates: Candidates, need: PlacementRequirements, random_source: RandomSource
) -> Choice:
    """Choose the shortest wait of a random few, by load corrected by the entry's own sends."""
    choice = _pick(candidates, need, sample(len(candidates), SAMPLE, random_source))
    if choice.chosen is None and len(candidates) > SAMPLE:
        return place_at_shortest(candidates, need, random_source)
    return choice


@PLACEMENTS.register("shortest")
def place_at_shortest(
    candidates: Candidates, need: PlacementRequirements, random_source: RandomSource
) -> Choice:
    """Choose the shortest wait of all."""
    return _pick(candidates, need, range(len(candidates)))


@PLACEMENTS.register("random")
def place_at_random(
    candidates: Candidates, need: PlacementRequirements, random_source: RandomSource
) -> Choice:
    """Choose any host, blind to load; the baseline."""
    fits = [each.host for each in candidates if find_bar(each, need.tried) is None]
    chosen = fits[int(random_source.random() * len(fits))] if fits else None
    return Choice(chosen, timedelta(0), ())
