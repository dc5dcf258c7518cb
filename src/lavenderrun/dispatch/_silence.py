"""What the silence of a stream means, and when another engine is to take it on.

A sound engine may be silent for a second or so. A silent attempt is kept, therefore, until another
engine has taken the stream on; this module decides when that is tried.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Final

MIN_PATIENCE: Final = timedelta(seconds=2)
OBJECTIVE_PATIENCE_FACTOR: Final = 4.0
GAP_PATIENCE_FACTOR: Final = 8.0
"""Callers give up a silent stream after the longest of ``MIN_PATIENCE`` and these multiples of
their objectives."""

MIN_SUSPICION: Final = timedelta(seconds=1.2)
"""Silence that says nothing about an engine."""

SUSPICION_SHARE: Final = 0.5
"""Share of the caller's patience after which one stream of a silent engine is moved."""

CERTAINTY_SHARE: Final = 0.85
"""Share of the caller's patience after which the other streams of that engine are moved too, and
streams whose silence has another likely cause; the rest of the patience is for the move."""

EXPECTED_FACTOR: Final = 2.0
"""Silence that counts, as a multiple of the time expected until an engine sends something."""

QUIET_SHARE: Final = 0.5
"""Silence of an engine to all its streams that counts as silence, as a share of the suspicion."""

MIN_MOVE_TIME: Final = timedelta(milliseconds=300)
"""Time before the call's end below which no move is begun."""

REVIEW_PAUSE: Final = timedelta(milliseconds=100)
"""Pause before silence is weighed again when something else than time may change the result."""

LONGEST_REVIEW_PAUSE: Final = timedelta(seconds=1)
"""Longest pause between two tries to move a stream; each failed one doubles the pause."""


class SilenceVerdict(Enum):
    """What a stream's silence is taken for."""

    NOT_LONG = "not_long"
    NO_TIME = "no_time"
    NO_ATTEMPT = "no_attempt"
    NO_RESEND = "no_resend"
    ENGINE_SPEAKS = "engine_speaks"
    SHARED = "shared"
    OTHERS_FIRST = "others_first"
    MOVE = "move"


@dataclass(frozen=True)
class SilenceDecision:
    """What is done about a silent stream.

    :param review_after: when to decide again unless the stream is moved, above zero.
    """

    verdict: SilenceVerdict
    review_after: timedelta


@dataclass(frozen=True)
class EngineEvidence:
    """What is known of a stream's engine and of the others.

    :param silent: time since the engine sent anything of any stream of this host.
    :param silent_others: other engines that are silent to all their streams of this host, or were
        until a moment ago.
    :param speaking_others: other engines that serve streams of this host.
    :param moving: streams of the engine that are being moved.
    :param moved: streams that were moved since the engine last sent anything.
    """

    silent: timedelta
    silent_others: int = 0
    speaking_others: int = 0
    moving: int = 0
    moved: int = 0


@dataclass(frozen=True)
class SilenceEvidence:
    """What is known when a stream is silent.

    :param silent: time since its last event or its send, without suspensions of this process.
    :param limits: when such a silence counts.
    :param left: time to the call's deadline.
    :param has_attempts: the route allows another server.
    :param has_resend: the budget allows a resend.
    :param was_shared: most other engines were silent during this silence.
    """

    silent: timedelta
    limits: SilenceLimits
    left: timedelta
    engine: EngineEvidence
    has_attempts: bool = True
    has_resend: bool = True
    was_shared: bool = False


@dataclass(frozen=True)
class SilenceLimits:
    """Silences that count for one stream.

    :param quiet: silence of a whole engine that counts as such.
    :param suspicion: silence after which one stream of an engine is moved.
    :param certainty: silence after which all its streams are.
    """

    quiet: timedelta
    suspicion: timedelta
    certainty: timedelta


def find_patience(objective: timedelta, gap_objective: timedelta | None) -> timedelta:
    """Return after which silence callers give up a stream."""
    gap = timedelta(0) if gap_objective is None else gap_objective
    return max(MIN_PATIENCE, objective * OBJECTIVE_PATIENCE_FACTOR, gap * GAP_PATIENCE_FACTOR)


def find_silence_limits(
    patience: timedelta, call_ends: timedelta, expected: timedelta = timedelta(0)
) -> SilenceLimits:
    """Return which silences count.

    :param patience: silence after which the caller gives up.
    :param call_ends: time from the begin of the silence to the call's deadline.
    :param expected: time expected until the engine sends something, as for a prefill.
    """
    bound = min(patience, call_ends)
    shortest = max(MIN_SUSPICION, bound * SUSPICION_SHARE)
    suspicion = max(shortest, expected * EXPECTED_FACTOR)
    # as long after the suspicion as without a time expected
    certainty = suspicion + max(timedelta(0), bound * CERTAINTY_SHARE - shortest)
    return SilenceLimits(suspicion * QUIET_SHARE, suspicion, certainty)


def decide_on_silence(evidence: SilenceEvidence) -> SilenceDecision:
    """Decide whether a silent stream is to be moved to another engine now."""
    limits, silent = evidence.limits, evidence.silent
    if silent < limits.suspicion:
        return SilenceDecision(SilenceVerdict.NOT_LONG, limits.suspicion - silent)
    obstacle = _find_obstacle(evidence)
    if obstacle is not None:
        return SilenceDecision(obstacle, REVIEW_PAUSE)
    engine = evidence.engine
    if silent >= limits.certainty:
        # doubles: each stream that another engine took on lets one more follow at the same time
        if engine.moving > engine.moved:
            return SilenceDecision(SilenceVerdict.OTHERS_FIRST, REVIEW_PAUSE)
        return SilenceDecision(SilenceVerdict.MOVE, REVIEW_PAUSE)
    verdict = SilenceVerdict.MOVE
    if engine.silent < limits.quiet:
        verdict = SilenceVerdict.ENGINE_SPEAKS
    elif evidence.was_shared or engine.silent_others > engine.speaking_others:
        verdict = SilenceVerdict.SHARED
    elif engine.moving or engine.moved:
        verdict = SilenceVerdict.OTHERS_FIRST
    return SilenceDecision(verdict, min(REVIEW_PAUSE, limits.certainty - silent))


def _find_obstacle(evidence: SilenceEvidence) -> SilenceVerdict | None:
    if evidence.left <= MIN_MOVE_TIME:
        return SilenceVerdict.NO_TIME
    if not evidence.has_attempts:
        return SilenceVerdict.NO_ATTEMPT
    if not evidence.has_resend:
        return SilenceVerdict.NO_RESEND
    return None


def keeps_silent_engine(
    before: timedelta, after: timedelta, other: timedelta, limits: SilenceLimits
) -> bool:
    """Tell whether a stream stays when the other engine has not answered while both may work.

    :param before: silence of the stream's engine to all its streams when the move began.
    :param after: its silence now.
    :param other: silence of the other engine to all its streams.
    """
    has_spoken = before >= limits.quiet and after < before
    return has_spoken or other >= limits.quiet


def find_retry_pause(failed_moves: int) -> timedelta:
    """Return the pause after a failed move.

    :param failed_moves: moves of the stream that failed before this one.
    """
    doublings = min(failed_moves, 10)
    return min(REVIEW_PAUSE * (1 << doublings), LONGEST_REVIEW_PAUSE)
