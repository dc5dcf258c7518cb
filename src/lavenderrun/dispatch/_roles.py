"""Decides how many engines of a service prefill and how many decode."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.types import BackendId, BackendRole, Member, MemberState

SMOOTHING_WEIGHT: Final = 0.02
"""Weight of the newest call in a moving average, which thus covers about fifty calls."""

DEFAULT_SHARE_CALLS: Final = 40
"""Weight of the default share in calls, so that a few slow calls don't move an engine."""

DEFAULT_PREFILL_SHARE: Final = 0.33
"""Prefill share before any call: a prefill takes half the engine time of its decode."""

MAX_DEVIATION_ENGINES: Final = 0.6
"""Engines by which a role may deviate from its share; with less, engines move back and forth."""

MAX_DEVIATION_FRACTION: Final = 0.08
"""Allowed deviation as a fraction of the engines, for services with many engines."""

MIN_CHANGE_INTERVAL: Final = timedelta(seconds=3)
"""Shortest time between two role changes in one service."""

DEFAULT_TOKENS_PER_SECOND: Final = 20_000.0
"""Prompt tokens per second assumed before the first prefill: a mid-size model on one accelerator.
A value that is too low only leaves more prompts to the decode engines; with no value, hosts that
start together all queue at one engine."""

SPEED_AVERAGE_CALLS: Final = 20
"""Number of prefills over which the speed is averaged."""


@dataclass(frozen=True)
class RoleChange:
    """An engine and the role that it should take."""

    member: Member
    role: BackendRole


class RoleBalancer:
    """Divides the engines of one service between prefill and decode by the load of recent calls.

    Load is measured in engine time: a prefill occupies the whole engine while it runs, a decode
    the fraction of the engine's KV cache memory that it fills while it runs.

    :ivar prefill_speed: prompt tokens that an engine computes per second.
    """

    def __init__(self) -> None:
        self._prefill_seconds = 0.0
        self._decode_seconds = 0.0
        self._prefill_count = 0
        self._decode_count = 0
        self._last_change: datetime | None = None
        self.prefill_speed = DEFAULT_TOKENS_PER_SECOND

    def observe_prefill(self, duration: timedelta, tokens: int) -> None:
        """Record a prefill that did not wait for another one.

        :param tokens: length of the prompt.
        """
        self._prefill_count += 1
        if duration:
            speed = tokens / duration.total_seconds()
            self.prefill_speed += (speed - self.prefill_speed) / min(
                self._prefill_count, SPEED_AVERAGE_CALLS
            )
        weight = max(SMOOTHING_WEIGHT, 1 / self._prefill_count)
        self._prefill_seconds += (duration.total_seconds() - self._prefill_seconds) * weight

    def observe_decode(self, duration: timedelta, memory_part: float) -> None:
        """Record a decode.

        :param memory_part: fraction of the engine's KV cache memory that it filled.
        """
        self._decode_count += 1
        weight = max(SMOOTHING_WEIGHT, 1 / self._decode_count)
        self._decode_seconds += (
            duration.total_seconds() * memory_part - self._decode_seconds
        ) * weight

    @property
    def prefill_share(self) -> float:
        """Fraction of engine time that prefills take, averaged with the default share."""
        observed = min(self._prefill_count, self._decode_count)
        if not observed:
            return DEFAULT_PREFILL_SHARE
        measured = self._prefill_seconds / (self._prefill_seconds + self._decode_seconds)
        return (DEFAULT_PREFILL_SHARE * DEFAULT_SHARE_CALLS + measured * observed) / (
            DEFAULT_SHARE_CALLS + observed
        )

    def plan_change(
        self,
        members: Sequence[Member],
        pending: Mapping[BackendId, BackendRole],
        load: Mapping[BackendId, int],
        now: datetime,
    ) -> RoleChange | None:
        """Return the role change to order now, ``None`` without one.

        :param members: all engines of the service.
        :param pending: roles that engines were ordered to take but don't report yet.
        :param load: tokens reserved at each engine; the least loaded one changes.
        """
        if self._last_change is not None and now - self._last_change < MIN_CHANGE_INTERVAL:
            return None
        ready = [m for m in members if m.state is MemberState.READY]
        planned_roles = {m.id: pending.get(m.id, m.role) for m in ready}
        prefills = sum(1 for role in planned_roles.values() if role is BackendRole.PREFILL)
        wanted_prefills = self._choose_prefill_count(len(ready), prefills)
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
        return RoleChange(member, new_role)

    def note_change(self, now: datetime) -> None:
        """Record that an engine was ordered to change its role."""
        self._last_change = now

    def _choose_prefill_count(self, engines: int, prefills: int) -> int:
        if engines and prefills == engines:
            # a decode engine can also prefill, but a prefill engine can't decode
            return prefills - 1
        ideal = self.prefill_share * engines
        max_deviation = max(MAX_DEVIATION_ENGINES, MAX_DEVIATION_FRACTION * engines)
        if prefills - ideal >= max_deviation and prefills > 1:
            return prefills - 1
        if ideal - prefills >= max_deviation and engines - prefills > 1:
            return prefills + 1
        return prefills
