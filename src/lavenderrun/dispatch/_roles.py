"""Decides how many engines of a service prefill and how many decode."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from math import exp
from typing import Final

from lavenderrun.dispatch._role_work import RecentWork, RoleBacklog, RoleWork
from lavenderrun.types import BackendId, BackendRole, Member, MemberState

PRIOR_SHARE_CALLS: Final = 40
"""Weight, in calls, of the share that is assumed before, so that a few slow calls don't move an
engine."""

PRIOR_MEMORY: Final = timedelta(seconds=30)
"""Time constant with which the assumed share follows the measured one. Without it the share of a
fleet whose calls become few, or whose reports fail to arrive, returns to the default and moves
engines."""

DEFAULT_PREFILL_SHARE: Final = 0.33
"""Prefill share before any call: a prefill takes half the engine time of its decode."""

MAX_DEVIATION_ENGINES: Final = 0.6
"""Engines by which a role may deviate from its share; with less, engines move back and forth."""

MAX_DEVIATION_FRACTION: Final = 0.08
"""Allowed deviation as a fraction of the engines, for services with many engines."""

MAX_PREFILL_WAIT: Final = timedelta(milliseconds=200)
"""Mean queue of the prefill engines above which they count as short: half of what a call without a
reachable objective waits there."""

MAX_FULL_SHARE: Final = 0.5
"""Share of full decode engines above which decode engines count as short."""

BACKLOG_ENGINES: Final = 1.5
"""Engines that a lasting backlog adds to a role, in allowed deviations: enough to move one engine
when the engine time of the calls says that the roles are balanced."""

BACKLOG_MEMORY: Final = timedelta(seconds=10)
"""Time constant of the backlog, which changes within a second."""

REVERSAL_COST: Final = 4.0
"""Factor of the cost of a change that takes the one before back. A load that swings with a period
of some tens of seconds otherwise moves engines back and forth; a lasting change of load pays it
within some seconds. It applies twice within ``REVERSAL_MEMORY`` of another such change."""

REVERSAL_MEMORY: Final = timedelta(seconds=60)
"""Time after a change that took another one back in which the next such one costs more: two periods
of the slowest swing that is not worth following, as a change takes some seconds itself."""

MAX_CHECK_GAP: Final = timedelta(seconds=1)
"""Longest time between two checks that counts as imbalance: longer, nothing was observed."""

MIN_CHANGE_INTERVAL: Final = timedelta(seconds=3)
"""Shortest time between two role changes in one service."""

DEFAULT_TOKENS_PER_SECOND: Final = 20_000.0
"""Prompt tokens per second assumed before the first prefill: a mid-size model on one accelerator.
A value that is too low only leaves more prompts to the decode engines; with no value, hosts that
start together all queue at one engine."""

QUEUED_SLOWNESS: Final = 3.0
"""Factor to the fastest prefill from which a prefill counts as one that waited: prompts of other
hosts are known late, and no engine is that much slower than another."""

FASTEST_SPEED_MEMORY: Final = 0.99
"""Share of the fastest speed that is left after each prefill, so that slower engines are followed
within some hundred prefills."""

SPEED_AVERAGE_CALLS: Final = 20
"""Number of prefills over which the speed is averaged."""


NO_BACKLOG: Final = RoleBacklog()


@dataclass(frozen=True)
class RoleChange:
    """An engine and the role that it should take."""

    member: Member
    role: BackendRole


class RoleBalancer:
    """Divides the engines of one service between prefill and decode by the load of recent calls.

    Load is measured in engine time: a prefill occupies the whole engine while it runs, a decode
    the fraction of the engine's KV cache memory that it fills while it runs. The calls of all hosts
    count, and what waits in each role.

    An engine that changes its role serves no calls for some time. An imbalance is expected to last
    as long as it has lasted, so an engine changes once the engine time that the imbalance has cost
    exceeds what the change costs.

    :ivar prefill_speed: prompt tokens that an engine computes per second.
    :ivar imbalance: engine time that the present imbalance has cost; above zero while prefill
        engines are missing, below zero while decode engines are.
    """

    def __init__(self) -> None:
        self._recent = RecentWork()
        self._others = RoleWork()
        self._prior_share = DEFAULT_PREFILL_SHARE
        self._observed_at: datetime | None = None
        self._prefill_count = 0
        self._fastest_speed = 0.0
        self._backlog_engines = 0.0
        self._checked_at: datetime | None = None
        self._last_change: datetime | None = None
        self._last_reversal: datetime | None = None
        self._last_role: BackendRole | None = None
        self._planned_role: BackendRole | None = None
        self.imbalance = timedelta(0)
        self.prefill_speed = DEFAULT_TOKENS_PER_SECOND

    def observe_prefill(self, duration: timedelta, tokens: int) -> None:
        """Record a prefill that did not wait for another one, as far as this host knows.

        :param tokens: length of the prompt.
        """
        if duration:
            speed = tokens / duration.total_seconds()
            if speed * QUEUED_SLOWNESS < self._fastest_speed:
                self._fastest_speed *= FASTEST_SPEED_MEMORY
                self.observe_queued_prefill(tokens)
                return
            self._fastest_speed = max(speed, self._fastest_speed * FASTEST_SPEED_MEMORY)
        self._prefill_count += 1
        if duration:
            self.prefill_speed += (speed - self.prefill_speed) / min(
                self._prefill_count, SPEED_AVERAGE_CALLS
            )
        self._recent.add_prefill(duration.total_seconds())

    def observe_queued_prefill(self, tokens: int) -> None:
        """Record a prefill that waited for another one, whose own time is not known.

        When all engines have queues there are no others, and the load would seem to have ended.

        :param tokens: length of the prompt.
        """
        self._recent.add_prefill(tokens / self.prefill_speed)

    def observe_decode(self, duration: timedelta, memory_part: float) -> None:
        """Record a decode.

        :param memory_part: fraction of the engine's KV cache memory that it filled.
        """
        self._recent.add_decode(duration.total_seconds() * memory_part)

    def observe_fleet(self, others: RoleWork, now: datetime) -> None:
        """Record the work at the other hosts, and forget a part of this host's older work.

        :param others: recent work at the other hosts.
        """
        self._recent.age(now)
        self._others = others
        passed = min(now - (self._observed_at or now), MAX_CHECK_GAP)
        self._observed_at = now
        calls = self.work.calls
        weight = (1 - exp(-passed / PRIOR_MEMORY)) * calls / (PRIOR_SHARE_CALLS + calls)
        self._prior_share += (self.prefill_share - self._prior_share) * weight

    @property
    def own_work(self) -> RoleWork:
        """Recent work of this host's calls."""
        return self._recent.current

    @property
    def work(self) -> RoleWork:
        """Recent work over all hosts."""
        return self._recent.current + self._others

    @property
    def prefill_share(self) -> float:
        """Fraction of engine time that prefills take, averaged with the share assumed before."""
        work = self.work
        measured = work.prefill_share
        if measured is None:
            return self._prior_share
        return (self._prior_share * PRIOR_SHARE_CALLS + measured * work.calls) / (
            PRIOR_SHARE_CALLS + work.calls
        )

    def plan_change(
        self,
        members: Sequence[Member],
        pending: Mapping[BackendId, BackendRole],
        load: Mapping[BackendId, int],
        now: datetime,
        *,
        backlog: RoleBacklog = NO_BACKLOG,
        change_time: timedelta = timedelta(0),
    ) -> RoleChange | None:
        """Return the role change to order now, ``None`` without one.

        :param members: all engines of the service.
        :param pending: roles that engines were ordered to take but don't report yet.
        :param load: tokens reserved at each engine; the least loaded one changes.
        :param backlog: what waits in each role.
        :param change_time: how long an engine that changes its role serves no calls.
        """
        ready = [m for m in members if m.state is MemberState.READY]
        planned_roles = {m.id: pending.get(m.id, m.role) for m in ready}
        prefills = sum(1 for role in planned_roles.values() if role is BackendRole.PREFILL)
        deviation = self._observe_deviation(len(ready), prefills, backlog, now)
        if self._last_change is not None and now - self._last_change < MIN_CHANGE_INTERVAL:
            return None
        wanted_prefills = self._choose_prefill_count(len(ready), prefills, deviation, change_time)
        if wanted_prefills == prefills:
            return None
        current_role = BackendRole.PREFILL if wanted_prefills < prefills else BackendRole.DECODE
        candidates = [
            m for m in ready if planned_roles[m.id] is current_role and m.id not in pending
        ]
        if not candidates:
            return None
        member = min(candidates, key=lambda m: (load.get(m.id, 0), m.id))
        new_role = (
            BackendRole.DECODE if current_role is BackendRole.PREFILL else BackendRole.PREFILL
        )
        self._planned_role = new_role
        return RoleChange(member, new_role)

    def note_change(self, now: datetime) -> None:
        """Record that the engine of the last plan was ordered to change its role."""
        self._last_change = now
        if self._last_role not in {None, self._planned_role}:
            self._last_reversal = now
        self._last_role = self._planned_role
        self.imbalance = timedelta(0)

    def _observe_deviation(
        self, engines: int, prefills: int, backlog: RoleBacklog, now: datetime
    ) -> float:
        """Return how many prefill engines are missing, zero when no more than is allowed."""
        passed = min(now - (self._checked_at or now), MAX_CHECK_GAP)
        self._checked_at = now
        max_deviation = max(MAX_DEVIATION_ENGINES, MAX_DEVIATION_FRACTION * engines)
        target = _compare_backlog(backlog) * BACKLOG_ENGINES * max_deviation
        self._backlog_engines += (target - self._backlog_engines) * (
            1 - exp(-passed / BACKLOG_MEMORY)
        )
        deviation = self.prefill_share * engines + self._backlog_engines - prefills
        if abs(deviation) < max_deviation:
            deviation = 0.0
        if deviation * self.imbalance.total_seconds() <= 0:
            self.imbalance = timedelta(0)
        self.imbalance += passed * deviation
        return deviation

    def _choose_prefill_count(
        self, engines: int, prefills: int, deviation: float, change_time: timedelta
    ) -> int:
        if engines and prefills == engines:
            # a decode engine can also prefill, but a prefill engine can't decode
            return prefills - 1
        wanted = prefills + (deviation > 0) - (deviation < 0)
        if not 0 < wanted < engines:
            return prefills
        role = BackendRole.PREFILL if deviation > 0 else BackendRole.DECODE
        # a role without an engine can't wait
        cost = self._find_cost(role, change_time) if prefills else timedelta(0)
        return wanted if abs(self.imbalance) >= cost else prefills

    def _find_cost(self, role: BackendRole, change_time: timedelta) -> timedelta:
        """Return the engine time that an imbalance must have cost before an engine changes."""
        if self._last_role in {None, role}:
            return change_time
        is_repeated = (
            self._last_reversal is not None
            and self._checked_at is not None
            and self._checked_at - self._last_reversal < REVERSAL_MEMORY
        )
        return change_time * REVERSAL_COST ** (2 if is_repeated else 1)


def _compare_backlog(backlog: RoleBacklog) -> float:
    """Return 1 when only prefill engines are short, -1 when only decode engines are."""
    prefills = min(1.0, backlog.prefill_queue / MAX_PREFILL_WAIT)
    decodes = min(1.0, backlog.full_share / MAX_FULL_SHARE)
    return _find_excess(prefills) * (1 - decodes) - _find_excess(decodes) * (1 - prefills)


def _find_excess(level: float) -> float:
    """Return how short a role is; below half of its bound, what waits says nothing."""
    return max(0.0, 2 * level - 1)
