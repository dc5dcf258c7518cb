"""When engines last sent something, and which streams leave them."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from lavenderrun.dispatch._silence import MIN_SUSPICION, QUIET_SHARE, EngineEvidence
from lavenderrun.types import BackendId


@dataclass
class _Engine:
    last_sign: datetime
    silence_ended: datetime | None = None
    silence: timedelta = timedelta(0)
    streams: int = 0
    moving: int = 0
    moved: int = 0


class SilenceTracker:
    """When each engine last sent something of any stream of this host, and what was moved."""

    def __init__(self) -> None:
        self._engines: dict[BackendId, _Engine] = {}
        self._stalled: datetime | None = None

    def begin_stream(self, member: BackendId, now: datetime) -> None:
        """Record that a stream runs at *member* from now on."""
        self._engines.setdefault(member, _Engine(now)).streams += 1

    def end_stream(self, member: BackendId) -> None:
        """Record that a stream runs at *member* no more."""
        engine = self._engines[member]
        engine.streams -= 1
        if not engine.streams:
            del self._engines[member]

    def note_sign(self, member: BackendId, now: datetime) -> None:
        """Record that *member* sent something of a stream."""
        engine = self._engines.get(member)
        if engine is None:
            return
        silence = self.measure_silence(engine.last_sign, now)
        if silence >= MIN_SUSPICION * QUIET_SHARE:
            engine.silence, engine.silence_ended = silence, now
        engine.last_sign, engine.moved = now, 0

    def note_stall(self, now: datetime) -> None:
        """Record that this process did not run until *now*, so that it could hear nothing."""
        self._stalled = now

    def measure_silence(self, since: datetime, now: datetime) -> timedelta:
        """Return how long this process could have heard something since *since*."""
        return now - (since if self._stalled is None else max(since, self._stalled))

    def measure_engine_silence(self, member: BackendId, now: datetime) -> timedelta:
        """Return for how long *member* sent nothing, zero without a stream there."""
        engine = self._engines.get(member)
        return timedelta(0) if engine is None else self.measure_silence(engine.last_sign, now)

    def list_silent(self, quiet: timedelta, now: datetime) -> set[BackendId]:
        """Return the engines that have been silent to all their streams for at least *quiet*."""
        return {
            member
            for member, engine in self._engines.items()
            if self.measure_silence(engine.last_sign, now) >= quiet
        }

    def _list_resumed(self, quiet: timedelta, now: datetime) -> set[BackendId]:
        """Return the engines that went on a moment ago: what held them up may hold up others."""
        return {
            member
            for member, engine in self._engines.items()
            if engine.silence >= quiet
            and engine.silence_ended is not None
            and now - engine.silence_ended < quiet
        }

    def begin_move(self, member: BackendId) -> None:
        """Record that a stream of *member* is being moved."""
        self._engines[member].moving += 1

    def end_move(self, member: BackendId, *, is_moved: bool) -> None:
        """Record the end of a move, before that of the stream at *member*."""
        engine = self._engines[member]
        engine.moving -= 1
        engine.moved += is_moved

    def gather_evidence(self, member: BackendId, quiet: timedelta, now: datetime) -> EngineEvidence:
        """Return what is known of *member* and of the other engines."""
        engine = self._engines[member]
        silent = self.list_silent(quiet, now) | self._list_resumed(quiet, now)
        silent.discard(member)
        others = len(self._engines) - 1
        return EngineEvidence(
            self.measure_engine_silence(member, now),
            len(silent),
            others - len(silent),
            engine.moving,
            engine.moved,
        )
