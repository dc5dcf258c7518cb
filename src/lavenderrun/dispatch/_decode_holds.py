"""Holds: when a gateway has a decode engine reserve capacity before a prompt is computed.

Reservations of other hosts are known late, so several hosts may reserve the same free memory. Each
of them would have a prompt computed, and the engine would reject most of the streams after that. An
engine grants a hold only while it has the capacity, and admits the stream that names the hold.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.dispatch._reservation_changes import RecentChanges, Reservations
from lavenderrun.kernel import Registry
from lavenderrun.types import BackendId

NEARLY_FULL_SHARE: Final = 0.9
"""Share of an engine's slots or memory from which on a further call may be rejected."""

MAX_PROMPT_HOSTS: Final = 12
"""Hosts up to which all reservations are reported at once; in larger fleets some come with the next
regular report."""

LARGE_SHARE: Final = 0.25
"""Share of an engine's memory from which on a call is large: few free engines can take it."""

PREFILL_TIME_FACTOR: Final = 2.0
"""Lifetime of a hold as a multiple of the expected time of the prefill, whose queue is known as
late as the reservations of decode engines are."""

LIFETIME_MARGIN: Final = timedelta(milliseconds=300)
"""Time added to the lifetime of a hold for connections, transfers and late turns of the loop."""

MAX_SEND_TIME: Final = timedelta(milliseconds=20)
"""Time before the end of a hold from which on it is not offered, for a send and its way."""

MIN_REFUSAL_PAUSE: Final = timedelta(milliseconds=100)
"""Shortest time for which an engine that refused a hold gets no such call: some tens of decode
steps."""

MAX_REFUSAL_PAUSE: Final = timedelta(milliseconds=400)
"""Longest such time; an engine that is full for seconds frees a slot every few hundred
milliseconds."""


@dataclass(frozen=True)
class HoldSituation:
    """What is known of a decode engine at which a call has just reserved a slot.

    :param rank: rank of the call, zero is the most urgent.
    :param call_tokens: tokens that the call reserves.
    :param reserved: what all hosts reserve there, this call included.
    :param slots: slots of the engine.
    :param memory_tokens: tokens of KV cache that the engine holds, zero when unknown.
    :param changes: what changed there lately.
    :param hosts: hosts that send to the engine, this one included.
    """

    rank: int
    call_tokens: int
    reserved: Reservations
    slots: int
    memory_tokens: int
    changes: RecentChanges = RecentChanges()  # noqa: RUF009
    hosts: int = 1

    def fills(self, reserved: Reservations) -> bool:
        """Tell whether *reserved* fills nearly all slots or the memory of the engine."""
        most_calls = NEARLY_FULL_SHARE * self.slots
        most_tokens = NEARLY_FULL_SHARE * self.memory_tokens
        return reserved.calls >= most_calls or 0 < most_tokens <= reserved.tokens


HoldPolicy = Callable[[HoldSituation], bool]

HOLD_POLICIES: Registry[HoldPolicy] = Registry("hold policy")
"""Policies that tell whether a call needs a hold."""

DEFAULT_HOLD_POLICY: Final = "late_reports"


@HOLD_POLICIES.register("never")
def never_hold(_situation: HoldSituation) -> bool:
    """Rely on the reservations that hosts report to each other."""
    return False


@HOLD_POLICIES.register("always")
def always_hold(_situation: HoldSituation) -> bool:
    """Take a hold for each call."""
    return True


@HOLD_POLICIES.register("nearly_full")
def hold_if_nearly_full(situation: HoldSituation) -> bool:
    """Take a hold at an engine that this call fills up."""
    return situation.fills(situation.reserved)


@HOLD_POLICIES.register("late_reports")
def hold_if_reports_are_late(situation: HoldSituation) -> bool:
    """Take a hold for each call of a fleet whose hosts hear each other late, else if nearly full.

    A hold may preempt streams of the engine, so it is not taken where reservations are known.
    """
    return situation.hosts > MAX_PROMPT_HOSTS or hold_if_nearly_full(situation)


@HOLD_POLICIES.register("contended")
def hold_if_contended(situation: HoldSituation) -> bool:
    """Take a hold at an engine that is nearly full or at which other hosts reserve just now."""
    changes = situation.changes
    return hold_if_nearly_full(situation) or changes.has_started or changes.is_changed


@HOLD_POLICIES.register("recently_full")
def hold_if_recently_full(situation: HoldSituation) -> bool:
    """Take a hold at an engine that is nearly full, was so within a second, or has just come back.

    All hosts that wait for room learn at the same time that there is some, and reserve it.
    """
    changes = situation.changes
    was_full = situation.fills(changes.peak)
    return hold_if_nearly_full(situation) or changes.has_started or was_full


@HOLD_POLICIES.register("urgent_or_large")
def hold_if_urgent_or_large(situation: HoldSituation) -> bool:
    """Take a hold for the calls to which a rejection does the most harm."""
    is_large = situation.call_tokens >= LARGE_SHARE * situation.memory_tokens > 0
    return situation.rank <= 0 or is_large


def choose_hold_lifetime(prefill_time: timedelta, longest: timedelta) -> timedelta | None:
    """Return the lifetime of a hold, ``None`` when it may end before the prompt is computed.

    :param prefill_time: expected time until the prompt is computed, the queue included.
    :param longest: longest lifetime that the engine grants, zero when it grants no holds.
    """
    if prefill_time + LIFETIME_MARGIN > longest:
        return None
    return min(longest, prefill_time * PREFILL_TIME_FACTOR + LIFETIME_MARGIN)


def has_lapsed(ends: datetime, now: datetime) -> bool:
    """Tell whether a hold that ends at *ends* is too old to be offered."""
    return now + MAX_SEND_TIME >= ends


@dataclass(frozen=True)
class _Refusal:
    tokens: int
    pause: timedelta
    until: datetime


class HoldRefusals:
    """Engines that refused this host a hold and get no call of that size for a short time.

    The time doubles with each further refusal until the engine grants a hold.
    """

    def __init__(self) -> None:
        self._refusals: dict[BackendId, _Refusal] = {}

    def record_refusal(self, member: BackendId, tokens: int, now: datetime, spread: float) -> None:
        """Record that *member* has no room for *tokens*.

        :param spread: random number from 0 to 1, so that hosts do not ask again at the same time.
        """
        self._refusals = {
            id_: refusal
            for id_, refusal in self._refusals.items()
            if now < refusal.until + MAX_REFUSAL_PAUSE
        }
        last = self._refusals.get(member)
        pause = MIN_REFUSAL_PAUSE
        if last is not None and now < last.until:
            # it was asked before the refusal that began the pause
            self._refusals[member] = replace(last, tokens=min(last.tokens, tokens))
            return
        if last is not None:
            pause = min(MAX_REFUSAL_PAUSE, last.pause * 2)
        self._refusals[member] = _Refusal(tokens, pause, now + pause * (1 + spread / 2))

    def record_grant(self, member: BackendId) -> None:
        """Forget the refusals of an engine that granted a hold."""
        self._refusals.pop(member, None)

    def forbids(self, member: BackendId, tokens: int, now: datetime) -> bool:
        """Tell whether a call of *tokens* is too large for what *member* has just refused."""
        refusal = self._refusals.get(member)
        return refusal is not None and now < refusal.until and tokens >= refusal.tokens
