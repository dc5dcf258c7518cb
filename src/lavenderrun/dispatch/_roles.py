"""How many engines of a service prefill and how many decode."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.types import BackendId, BackendRole, Member, MemberState

SMOOTHING: Final = 0.02
"""Weight of the newest call in a mean; about fifty calls."""

USUAL_CALLS: Final = 40
"""Calls for which the usual share stands; a few slow ones must not move an engine."""

USUAL_SHARE: Final = 0.33
"""Prefill share before any call: a prompt takes its engine for half of what its answer takes."""

SLACK: Final = 0.6
"""Engines by which a role may miss its share before one is moved; less moves back and forth."""

SLACK_PART: Final = 0.08
"""The same as a part of the engines, for large services."""

PAUSE: Final = timedelta(seconds=3)
"""Shortest time between two moves of one service."""

USUAL_SPEED: Final = 20_000.0
"""Prompt tokens a second until a prefill was measured: a mid-size model on one accelerator. Too
low only leaves more prompts to the decode engines; without any bound, hosts that start together
all queue at one engine."""

SPEED_CALLS: Final = 20
"""Prefills over which the speed is averaged."""


@dataclass(frozen=True)
class RoleChange:
    """An engine that is to take another role."""

    member: Member
    role: BackendRole


class RoleBalancer:
    """Divides the engines of one service by the work that calls bring.

    Work is engine time: a prefill takes the whole engine for its time, a decode the part of the
    memory that it fills for as long as it runs.

    :ivar prefill_speed: prompt tokens that an engine computes a second.
    """

    def __init__(self) -> None:
        self._prefill = 0.0
        self._decode = 0.0
        self._prefills = 0
        self._decodes = 0
        self._moved: datetime | None = None
        self.prefill_speed = USUAL_SPEED

    def observe_prefill(self, took: timedelta, tokens: int) -> None:
        """Take the engine time of a prefill that waited for no other."""
        self._prefills += 1
        if took:
            speed = tokens / took.total_seconds()
            self.prefill_speed += (speed - self.prefill_speed) / min(self._prefills, SPEED_CALLS)
        weight = max(SMOOTHING, 1 / self._prefills)
        self._prefill += (took.total_seconds() - self._prefill) * weight

    def observe_decode(self, took: timedelta, memory_part: float) -> None:
        """Take the time of a decode and the part of an engine's memory that it filled."""
        self._decodes += 1
        weight = max(SMOOTHING, 1 / self._decodes)
        self._decode += (took.total_seconds() * memory_part - self._decode) * weight

    @property
    def prefill_share(self) -> float:
        """Share of the engines' time that prefills take, with the usual one as so many calls."""
        seen = min(self._prefills, self._decodes)
        if not seen:
            return USUAL_SHARE
        measured = self._prefill / (self._prefill + self._decode)
        return (USUAL_SHARE * USUAL_CALLS + measured * seen) / (USUAL_CALLS + seen)

    def plan_change(
        self,
        members: Sequence[Member],
        pending: Mapping[BackendId, BackendRole],
        load: Mapping[BackendId, int],
        now: datetime,
    ) -> RoleChange | None:
        """Return the move to make now.

        :param pending: roles that engines were ordered to take.
        :param load: tokens reserved at each engine; the least loaded one is moved.
        """
        if self._moved is not None and now - self._moved < PAUSE:
            return None
        ready = [m for m in members if m.state is MemberState.READY]
        roles = {m.id: pending.get(m.id, m.role) for m in ready}
        prefills = sum(1 for role in roles.values() if role is BackendRole.PREFILL)
        wanted = self._find_wanted(len(ready), prefills)
        if wanted == prefills:
            return None
        source = BackendRole.PREFILL if wanted < prefills else BackendRole.DECODE
        free = [m for m in ready if roles[m.id] is source and m.id not in pending]
        if not free:
            return None
        member = min(free, key=lambda m: (load.get(m.id, 0), m.id))
        target = BackendRole.DECODE if source is BackendRole.PREFILL else BackendRole.PREFILL
        return RoleChange(member, target)

    def note_change(self, now: datetime) -> None:
        """Take note that an engine was ordered."""
        self._moved = now

    def _find_wanted(self, engines: int, prefills: int) -> int:
        if engines and prefills == engines:
            # decode engines can compute prompts themselves, prefill engines can't decode
            return prefills - 1
        ideal = self.prefill_share * engines
        slack = max(SLACK, SLACK_PART * engines)
        if prefills - ideal >= slack and prefills > 1:
            return prefills - 1
        if ideal - prefills >= slack and engines - prefills > 1:
            return prefills + 1
        return prefills
