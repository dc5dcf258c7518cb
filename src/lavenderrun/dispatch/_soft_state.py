"""Soft state: sums over hosts that lose their value within a second and are safe to lose.

Each kind of sum has a rule that tells how the values of hosts are combined.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum
from typing import Final, NamedTuple, Protocol

from lavenderrun.dispatch._reservation_changes import NO_RESERVATIONS, Reservations
from lavenderrun.kernel import Registry
from lavenderrun.types import BackendId, ServiceGroup

MILLISECOND: Final = timedelta(milliseconds=1)

MAX_REST: Final = timedelta(days=1)
"""Longest time that an engine counts as busy: what a caller declares has no bound."""

MAX_WORK: Final = timedelta(days=10_000)
"""Largest engine time of one host; the sums of a thousand hosts fit the numbers of a message."""


class SumKind(IntEnum):
    """What a value of soft state is about; its number is sent.

    It is part of each key, and an ``IntEnum`` is hashed without a call of Python code.
    """

    RESERVED = 1
    BUSY = 2
    WAITING = 3
    WORK = 4


class SumKey(NamedTuple):
    """Key of one value.

    :param name: name of a backend server or of a service.
    :param rank: rank of the calls, zero for kinds without ranks.
    """

    kind: SumKind
    name: str
    rank: int = 0


SumValue = tuple[int, ...]
Sums = Mapping[SumKey, SumValue]

NO_SUMS: Final[Sums] = {}


class SumRule(Protocol):
    """How the values of one kind are combined.

    :ivar width: how many numbers a value has.
    """

    width: int

    def combine(self, one: SumValue, other: SumValue) -> SumValue:
        """Return the value of two hosts together."""

    def subtract(self, total: SumValue, part: SumValue) -> SumValue:
        """Return the value without one host's part."""

    def age(self, value: SumValue, elapsed: int) -> SumValue:
        """Return what holds of a value *elapsed* milliseconds later."""


SUM_RULES: Final[Registry[type[SumRule]]] = Registry("rule of soft state")


class _Added:
    """Values that are added up."""

    width = 2

    def combine(self, one: SumValue, other: SumValue) -> SumValue:
        return tuple([a + b for a, b in zip(one, other, strict=True)])

    def subtract(self, total: SumValue, part: SumValue) -> SumValue:
        return tuple([max(0, a - b) for a, b in zip(total, part, strict=True)])

    def age(self, value: SumValue, _elapsed: int) -> SumValue:
        return value


@SUM_RULES.register(SumKind.RESERVED.name)
class ReservedRule(_Added):
    """Reserved calls and tokens of a backend server."""


@SUM_RULES.register(SumKind.WAITING.name)
class WaitingRule(_Added):
    """Calls of a service and rank that wait for a decode slot, and their tokens."""


@SUM_RULES.register(SumKind.WORK.name)
class WorkRule(_Added):
    """Milliseconds of prefills and of decodes of a service, and their numbers."""

    width = 4


@SUM_RULES.register(SumKind.BUSY.name)
class BusyRule:
    """How many milliseconds longer a decode engine is busy with prompts, the longest of all hosts.

    The own part stays in it when it is subtracted: each host also knows its own prompts.
    """

    width = 1

    def combine(self, one: SumValue, other: SumValue) -> SumValue:
        """Return the longer time."""
        return max(one, other)

    def subtract(self, total: SumValue, _part: SumValue) -> SumValue:
        """Return *total*, as the other hosts' times are not known singly."""
        return total

    def age(self, value: SumValue, elapsed: int) -> SumValue:
        """Return the rest of the time."""
        return (max(0, value[0] - elapsed),)


_RULES: Final = {kind: SUM_RULES.find(kind.name)() for kind in SumKind}

VALUE_WIDTHS: Final = {kind: rule.width for kind, rule in _RULES.items()}
"""How many numbers a value of each kind has."""


def combine_sums(parts: Iterable[Sums]) -> dict[SumKey, SumValue]:
    """Return the sums of several hosts together."""
    found: dict[SumKey, SumValue] = {}
    for part in parts:
        for key, value in part.items():
            old = found.get(key)
            found[key] = value if old is None else _RULES[key.kind].combine(old, value)
    return found


def subtract_sums(total: Sums, part: Sums) -> dict[SumKey, SumValue]:
    """Return *total* without one host's *part*; zero values are left out."""
    found = dict(total)
    for key, value in part.items():
        if key in found:
            found[key] = _RULES[key.kind].subtract(found[key], value)
    return {key: value for key, value in found.items() if any(value)}


def age_sums(sums: Sums, elapsed: timedelta) -> dict[SumKey, SumValue]:
    """Return what holds of *sums* after some time; zero values are left out."""
    milliseconds = elapsed // MILLISECOND
    found = {key: _RULES[key.kind].age(value, milliseconds) for key, value in sums.items()}
    return {key: value for key, value in found.items() if any(value)}


@dataclass(frozen=True)
class ServiceWork:
    """Work that calls of a service were.

    :param prefill_time: engine time of all prefills together.
    :param decode_time: engine time of all decodes together.
    """

    prefill_time: timedelta = timedelta(0)
    decode_time: timedelta = timedelta(0)
    prefills: int = 0
    decodes: int = 0

    @classmethod
    def from_means(
        cls, prefill_seconds: float, decode_seconds: float, prefills: int, decodes: int
    ) -> ServiceWork:
        """Return the work that a peer report states by mean times."""
        most = MAX_WORK.total_seconds()
        return cls(
            timedelta(seconds=min(prefill_seconds * prefills, most)),
            timedelta(seconds=min(decode_seconds * decodes, most)),
            prefills,
            decodes,
        )


@dataclass(frozen=True)
class SoftState:
    """Soft state of one host, or of several together.

    :param reserved: reserved calls and tokens, by backend server.
    :param busy: how much longer decode engines are busy with prompts that they compute themselves.
    :param waiting: calls that wait for a decode slot, and their tokens, by service and rank.
    :param work: work seen, by service.
    """

    reserved: Mapping[BackendId, Reservations] = field(default_factory=dict)
    busy: Mapping[BackendId, timedelta] = field(default_factory=dict)
    waiting: Mapping[ServiceGroup, Mapping[int, Reservations]] = field(default_factory=dict)
    work: Mapping[ServiceGroup, ServiceWork] = field(default_factory=dict)


def list_sums(state: SoftState) -> Sums:
    """Return the values of a host's soft state."""
    found: dict[SumKey, SumValue] = {
        SumKey(SumKind.RESERVED, member): (row.calls, row.tokens)
        for member, row in state.reserved.items()
    }
    for member, rest in state.busy.items():
        found[SumKey(SumKind.BUSY, member)] = (min(rest, MAX_REST) // MILLISECOND,)
    for service, ranks in state.waiting.items():
        for rank, row in ranks.items():
            found[SumKey(SumKind.WAITING, service, rank)] = (row.calls, row.tokens)
    for service, work in state.work.items():
        times = [min(t, MAX_WORK) // MILLISECOND for t in (work.prefill_time, work.decode_time)]
        found[SumKey(SumKind.WORK, service)] = (*times, work.prefills, work.decodes)
    return found


def read_sums(sums: Sums) -> SoftState:
    """Return the soft state that consists of *sums*."""
    reserved: dict[BackendId, Reservations] = {}
    busy: dict[BackendId, timedelta] = {}
    waiting: dict[ServiceGroup, dict[int, Reservations]] = {}
    work: dict[ServiceGroup, ServiceWork] = {}
    for key, value in sums.items():
        if key.kind is SumKind.RESERVED:
            reserved[BackendId(key.name)] = Reservations(*value)
        elif key.kind is SumKind.BUSY:
            busy[BackendId(key.name)] = value[0] * MILLISECOND
        elif key.kind is SumKind.WAITING:
            waiting.setdefault(ServiceGroup(key.name), {})[key.rank] = Reservations(*value)
        else:
            prefill, decode, prefills, decodes = value
            work[ServiceGroup(key.name)] = ServiceWork(
                prefill * MILLISECOND, decode * MILLISECOND, prefills, decodes
            )
    return SoftState(reserved, busy, waiting, work)


def add_reservations(one: Reservations, other: Reservations) -> Reservations:
    """Return the reservations of two hosts together."""
    return Reservations(one.calls + other.calls, one.tokens + other.tokens)


def add_waiting(parts: Iterable[Mapping[int, Reservations]]) -> dict[int, Reservations]:
    """Return what waits by rank at several hosts together."""
    found: dict[int, Reservations] = {}
    for part in parts:
        for rank, row in part.items():
            found[rank] = add_reservations(found.get(rank, NO_RESERVATIONS), row)
    return found
