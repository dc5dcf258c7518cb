"""How a move of a stream from a silent engine ends."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from types import SimpleNamespace
from typing import Any
from unittest.mock import MagicMock

import pytest
from twisted.internet.task import Clock as FakeReactor

from lavenderrun.dispatch import AttemptOutcome, SilenceTracker, find_silence_limits
from lavenderrun.gateway._move_result import LATE_READ_TIME, MoveResult
from lavenderrun.gateway._stream_move import MAX_OVERLAP, StreamMove
from lavenderrun.kernel import ReactorClock
from lavenderrun.types import AnswerKind, BackendId

OVERLAP = MAX_OVERLAP.total_seconds()
LIMITS = find_silence_limits(timedelta(seconds=2), timedelta(seconds=14))
SILENT, OTHER = BackendId("silent"), BackendId("other")


class Attempt:
    def __init__(self) -> None:
        self.sent = True
        self.member: Any = SimpleNamespace(id=OTHER)
        self.outcome = AttemptOutcome(sent=True)
        self.abandon = MagicMock()

    @property
    def head(self) -> Any:
        return None if self.outcome.kind is None else SimpleNamespace(kind=self.outcome.kind)


class Move:
    """A move that was sent to the other engine."""

    def __init__(self) -> None:
        self.reactor, self.silence = FakeReactor(), SilenceTracker()
        self.clock = ReactorClock(self.reactor, datetime(2026, 1, 1, tzinfo=UTC), zero=0.0)
        self.services, self.sender = MagicMock(clock=self.clock), MagicMock()
        self.services.view.silence = self.silence
        self.services.slot_queue.reserve_now.return_value.member.id = OTHER
        self.attempt: Any = Attempt()
        self.sender.make_attempt.return_value = self.attempt
        self.note_unknown, self.on_taken, self.on_failed = MagicMock(), MagicMock(), MagicMock()
        self.silence.begin_stream(SILENT, self.clock.now())
        silent: Any = SimpleNamespace(id=SILENT)
        self.move = StreamMove(
            self.services,
            MagicMock(),
            MagicMock(),
            self.sender,
            silent,
            [silent],
            LIMITS,
            lambda: True,
            self.note_unknown,
            self.on_taken,
            self.on_failed,
        )
        self.move.start()
        take_connection, slot = self.services.pool.open.call_args.args[1:]
        take_connection(MagicMock(), slot)


# a stream that the silent engine rejected then was reported as not run
@pytest.mark.parametrize("result", [MoveResult.SPOKE, MoveResult.PAUSED])
def test_a_move_that_is_dropped_leaves_the_outcome_unknown(result: MoveResult) -> None:
    sent = Move()
    sent.move.abandon(result)
    assert sent.note_unknown.call_count == 1


@pytest.mark.parametrize("kind", [None, AnswerKind.FAILED, AnswerKind.NOT_RUN])
def test_the_outcome_stays_known_only_if_the_other_engine_rejects_the_stream(
    kind: AnswerKind | None,
) -> None:
    for is_ended in (False, True):
        sent = Move()
        sent.attempt.outcome = AttemptOutcome(sent=True, kind=kind)
        if is_ended:
            sent.move.attempt_ended(sent.attempt)
        else:
            sent.move.head_received(sent.attempt)
        assert sent.on_failed.call_count == 1
        assert bool(sent.note_unknown.call_count) is (kind is not AnswerKind.NOT_RUN)


def test_a_move_that_is_taken_says_nothing_about_the_outcome() -> None:
    sent = Move()
    sent.attempt.outcome = AttemptOutcome(sent=True, kind=AnswerKind.SERVED)
    sent.move.head_received(sent.attempt)
    assert sent.on_taken.call_count == 1
    assert not sent.note_unknown.called


def test_the_other_engine_takes_the_stream_at_the_end_of_the_overlap() -> None:
    sent = Move()
    sent.reactor.advance(OVERLAP)
    assert sent.on_taken.call_count == 1


# the move ended before what had come from the two engines was read
def test_what_came_while_this_process_did_not_run_is_read_before_the_overlap_ends() -> None:
    sent = Move()
    sent.reactor.advance(OVERLAP + 1)
    assert not sent.on_taken.called
    assert not sent.on_failed.called
    sent.move.abandon(MoveResult.SPOKE)
    sent.reactor.advance(1)
    assert not sent.on_taken.called


def test_an_overlap_ends_although_this_process_did_not_run_for_a_moment() -> None:
    sent = Move()
    sent.reactor.advance(OVERLAP + 1)
    sent.reactor.advance(LATE_READ_TIME.total_seconds())
    assert sent.on_taken.call_count == 1


@pytest.mark.parametrize("result", list(MoveResult))
def test_the_overlap_ends_no_move_that_is_over(result: MoveResult) -> None:
    sent = Move()
    sent.attempt.abandon.side_effect = RuntimeError
    with pytest.raises(RuntimeError):
        sent.move.abandon(result)
    sent.services.clock.call_later(timedelta(0), sent.move._end_overlap)
    sent.reactor.advance(OVERLAP)
    assert not sent.on_taken.called
    assert not sent.on_failed.called
