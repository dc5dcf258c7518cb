"""Engine time that calls take in each role, over the hosts of a fleet, and what waits for it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from math import ceil, exp
from typing import Final

from lavenderrun.types import BackendId, BackendRole, HostId, Member, MemberState, ServiceGroup

WORK_MEMORY: Final = timedelta(seconds=15)
"""Time constant with which seen work is forgotten. Work of a change of load counts more than that
before it after about 10 s, while a load that changes every few seconds is averaged."""

WORK_LIFETIME: Final = timedelta(seconds=5)
"""How long the work of a host counts without a new report."""

FULL_SHARE: Final = 0.9
"""Share of an engine's slots or memory from which it counts as full: a further call of usual size
has to wait."""


@dataclass(frozen=True)
class RoleWork:
    """Recent calls in each role, and the engine time that they took together.

    The numbers fall with time, so that sums over hosts need no baselines.
    """

    prefill_seconds: float = 0.0
    decode_seconds: float = 0.0
    prefills: float = 0.0
    decodes: float = 0.0

    def __add__(self, other: RoleWork) -> RoleWork:
        """Return the work of two sources together."""
        return RoleWork(
            self.prefill_seconds + other.prefill_seconds,
            self.decode_seconds + other.decode_seconds,
            self.prefills + other.prefills,
            self.decodes + other.decodes,
        )

    def scale(self, factor: float) -> RoleWork:
        """Return a multiple of this work."""
        return RoleWork(
            self.prefill_seconds * factor,
            self.decode_seconds * factor,
            self.prefills * factor,
            self.decodes * factor,
        )

    @property
    def calls(self) -> float:
        """Number of calls of which both roles are known."""
        return min(self.prefills, self.decodes)

    @property
    def prefill_share(self) -> float | None:
        """Fraction of a call's engine time that its prefill takes, ``None`` when unknown."""
        if not self.calls:
            return None
        prefill = self.prefill_seconds / self.prefills
        total = prefill + self.decode_seconds / self.decodes
        return prefill / total if total else None

    def summarize(self) -> tuple[float, float, int, int]:
        """Return mean seconds of a prefill and of a decode, and the numbers of both.

        The numbers are rounded up, and the means times the numbers are the exact sums.
        """
        prefills, decodes = ceil(self.prefills), ceil(self.decodes)
        return (
            self.prefill_seconds / max(1, prefills),
            self.decode_seconds / max(1, decodes),
            prefills,
            decodes,
        )

    @classmethod
    def from_summary(cls, summary: tuple[float, float, int, int]) -> RoleWork:
        """Return the work that another host summarized."""
        prefill, decode, prefills, decodes = summary
        return cls(prefill * prefills, decode * decodes, prefills, decodes)


class RecentWork:
    """Recent work of this host's calls; what is older than some ``WORK_MEMORY`` hardly counts."""

    def __init__(self) -> None:
        self.current = RoleWork()
        self._aged_at: datetime | None = None

    def add_prefill(self, seconds: float) -> None:
        """Add a prefill that took *seconds* of an engine."""
        self.current += RoleWork(prefill_seconds=seconds, prefills=1)

    def add_decode(self, seconds: float) -> None:
        """Add a decode that took *seconds* of an engine."""
        self.current += RoleWork(decode_seconds=seconds, decodes=1)

    def age(self, now: datetime) -> None:
        """Forget a part of the work, by the time since the last call of this method."""
        if self._aged_at is not None:
            passed = max(now - self._aged_at, timedelta(0))
            self.current = self.current.scale(exp(-passed / WORK_MEMORY))
        self._aged_at = now


class FleetWork:
    """Work at the other hosts, by service, as they report it."""

    def __init__(self) -> None:
        # in order of their last reports, so that stale ones come first
        self._hosts: dict[HostId, tuple[datetime, Mapping[ServiceGroup, RoleWork]]] = {}

    def apply_report(
        self, host: HostId, work: Mapping[ServiceGroup, RoleWork], now: datetime
    ) -> None:
        """Replace the work at *host* by what it reports now."""
        self._hosts.pop(host, None)
        self._hosts[host] = (now, work)

    def sum_work(self, service: ServiceGroup, now: datetime) -> RoleWork:
        """Return the work at the hosts that have reported within ``WORK_LIFETIME``."""
        self._drop_stale(now)
        return sum(
            (work[service] for _, work in self._hosts.values() if service in work), RoleWork()
        )

    def count_hosts(self, service: ServiceGroup, now: datetime) -> int:
        """Return how many other hosts have reported work of *service*."""
        self._drop_stale(now)
        return sum(service in work for _, work in self._hosts.values())

    def find_age(self, service: ServiceGroup, now: datetime) -> timedelta | None:
        """Return the age of the oldest report that counts, ``None`` without one."""
        self._drop_stale(now)
        times = [at for at, work in self._hosts.values() if service in work]
        return now - min(times) if times else None

    def _drop_stale(self, now: datetime) -> None:
        while self._hosts:
            host, (reported_at, _) = next(iter(self._hosts.items()))
            if now - reported_at <= WORK_LIFETIME:
                return
            del self._hosts[host]


@dataclass(frozen=True)
class RoleBacklog:
    """What waits at the engines of a service.

    :param prefill_queue: mean time that prompts behind the running one take at a prefill engine.
    :param full_share: share of the decode engines that are full.
    """

    prefill_queue: timedelta = timedelta(0)
    full_share: float = 0.0


def measure_backlog(
    members: Iterable[Member],
    sum_tokens: Callable[[BackendId], int],
    count_slots: Callable[[BackendId], int],
    memory_tokens: int,
    prefill_speed: float,
) -> RoleBacklog:
    """Return what waits at the ready engines among *members*.

    :param sum_tokens: returns the tokens that all hosts have reserved at an engine.
    :param count_slots: returns the calls for which all hosts have reserved an engine.
    :param memory_tokens: tokens of KV cache that an engine holds, zero when unknown.
    :param prefill_speed: prompt tokens that an engine computes a second.
    """
    ready = [member for member in members if member.state is MemberState.READY]
    queued = [
        sum_tokens(m.id) * (1 - 1 / max(1, count_slots(m.id)))
        for m in ready
        if m.role is BackendRole.PREFILL
    ]
    full = [
        count_slots(m.id) >= m.slots * FULL_SHARE
        or (memory_tokens > 0 and sum_tokens(m.id) >= memory_tokens * FULL_SHARE)
        for m in ready
        if m.role is BackendRole.DECODE
    ]
    seconds = sum(queued) / len(queued) / prefill_speed if queued and prefill_speed else 0.0
    return RoleBacklog(timedelta(seconds=seconds), sum(full) / len(full) if full else 0.0)
