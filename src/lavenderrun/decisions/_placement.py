"""Choice of a decode agent over loads that lag, and the typed record of a choice."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from lavenderrun.kernel import Registry
from lavenderrun.types import DataCentre, HostId, Load

SAMPLE = 3
NO_SEAT_SECONDS = 0.05
"""Wait that is assumed of an agent without a free seat, above its backlog."""


class Chance(Protocol):
    """Source of randomness."""

    def random(self) -> float:
        """Return a float from zero up to, without, one."""


class Reason(Enum):
    """Why a host was not chosen."""

    TRIED = "tried"
    UNKNOWN_LOAD = "unknown_load"
    NO_PIECES = "no_pieces"
    LONGER_WAIT = "longer_wait"
    LINK_BUSY = "link_busy"


@dataclass(frozen=True, slots=True)
class Candidate:
    """A host that could take the work.

    :param load: what it last said; late by up to a heartbeat.
    :param sent: requests that this entry has sent since then.
    :param work: expected work of those in seconds.
    """

    host: HostId
    data_centre: DataCentre
    load: Load | None
    sent: int = 0
    work: float = 0.0


@dataclass(frozen=True, slots=True)
class Need:
    """What a request needs of its decode agent.

    :param pieces: pieces of KV cache.
    :param tried: hosts that this request has already failed at.
    """

    pieces: int
    tried: frozenset[HostId] = frozenset()


@dataclass(frozen=True, slots=True)
class RejectedHost:
    """A host that was looked at and not chosen."""

    host: HostId
    reason: Reason
    wait: timedelta


@dataclass(frozen=True, slots=True)
class Choice:
    """A placement: the host chosen, ``None`` when there is none, and those looked at."""

    chosen: HostId | None
    wait: timedelta
    rejected: tuple[RejectedHost, ...]


Placement = Callable[[Sequence[Candidate], Need, Chance], Choice]

PLACEMENTS: Registry[Placement] = Registry("placement")


def sample(count: int, wanted: int, chance: Chance) -> Collection[int]:
    """Return *wanted* different indexes below *count*, all when there are no more."""
    if count <= wanted:
        return range(count)
    indexes: set[int] = set()
    while len(indexes) < wanted:
        indexes.add(int(chance.random() * count))
    return sorted(indexes)


def estimate_wait(candidate: Candidate) -> float:
    """Return the seconds until a seat is free; below zero, the share of free seats."""
    load = candidate.load
    if load is None:
        return 0.0
    free = load.seats - load.taken - load.queued - candidate.sent
    if free > 0:
        return -free / load.seats
    backlog = load.backlog.total_seconds() + candidate.work / load.seats
    return NO_SEAT_SECONDS * (1 - free) + backlog


def _pick(candidates: Sequence[Candidate], need: Need, indexes: Collection[int]) -> Choice:
    """Return the one with the shortest wait, those that cannot serve it last."""
    ranked: list[tuple[int, float, Candidate]] = []
    for index in indexes:
        candidate = candidates[index]
        ranked.append((_rank(candidate, need), estimate_wait(candidate), candidate))
    ranked.sort(key=lambda item: item[:2])
    if not ranked:
        return Choice(None, timedelta(0), ())
    rejected = tuple(
        RejectedHost(other.host, _REASONS[rank], timedelta(seconds=max(0.0, wait)))
        for rank, wait, other in ranked[1:]
    )
    _, wait, best = ranked[0]
    return Choice(best.host, timedelta(seconds=max(0.0, wait)), rejected)


_REASONS = (Reason.LONGER_WAIT, Reason.UNKNOWN_LOAD, Reason.NO_PIECES, Reason.TRIED)


def _rank(candidate: Candidate, need: Need) -> int:
    if candidate.host in need.tried:
        return 3
    if candidate.load is None:
        return 1
    return 2 if candidate.load.pieces_free < need.pieces else 0


@PLACEMENTS.register("power")
def place_by_power(candidates: Sequence[Candidate], need: Need, chance: Chance) -> Choice:
    """Choose the shortest wait of a random few, by load corrected by the entry's own sends."""
    return _pick(candidates, need, sample(len(candidates), SAMPLE, chance))


@PLACEMENTS.register("shortest")
def place_at_shortest(candidates: Sequence[Candidate], need: Need, chance: Chance) -> Choice:
    """Choose the shortest wait of all."""
    return _pick(candidates, need, range(len(candidates)))


@PLACEMENTS.register("random")
def place_at_random(candidates: Sequence[Candidate], need: Need, chance: Chance) -> Choice:
    """Choose any host, blind to load; the baseline."""
    if not candidates:
        return Choice(None, timedelta(0), ())
    chosen = candidates[int(chance.random() * len(candidates))]
    return Choice(chosen.host, timedelta(0), ())
