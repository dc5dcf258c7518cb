"""Which submissions wait for a majority of their voters."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from twisted.internet.defer import Deferred

from lavenderrun.decisions import has_majority
from lavenderrun.kernel import Clock, Timer
from lavenderrun.types import BackendId, DocumentVersion


@dataclass
class _Pending:
    version: DocumentVersion
    voters: tuple[frozenset[BackendId], ...]
    answer: Deferred[bool]
    seen: set[BackendId] = field(default_factory=set)
    timer: Timer | None = None

    def is_done(self) -> bool:
        return all(not voters or has_majority(voters, self.seen) for voters in self.voters)


class Confirmations:
    """Counts the voters that hold a version, from the versions on their batches.

    :param window: how long a submission waits; later sightings don't count.
    :param own: the backend server beside this host.
    """

    def __init__(self, clock: Clock, window: timedelta, own: BackendId | None) -> None:
        self._clock = clock
        self._window = window
        self._own = own
        self._pending: list[_Pending] = []

    def open(
        self, version: DocumentVersion, voters: tuple[frozenset[BackendId], ...]
    ) -> Deferred[bool]:
        """Return what fires with whether a majority of each set of voters held *version*."""
        pending = _Pending(version, voters, Deferred())
        if self._own is not None:
            pending.seen.add(self._own)
        self._pending.append(pending)
        pending.timer = self._clock.call_later(self._window, self._end, pending, False)
        if pending.is_done():
            self._end(pending, True)
        return pending.answer

    def saw(self, backend: BackendId | None, version: DocumentVersion) -> None:
        """Take the version that a host holds."""
        if backend is None or not self._pending:
            return
        for pending in list(self._pending):
            if version >= pending.version:
                pending.seen.add(backend)
                if pending.is_done():
                    self._end(pending, True)

    def stop(self) -> None:
        """Answer all that wait."""
        for pending in list(self._pending):
            self._end(pending, False)

    def _end(self, pending: _Pending, confirmed: bool) -> None:
        if pending not in self._pending:
            return
        self._pending.remove(pending)
        if pending.timer is not None:
            pending.timer.cancel()
        pending.answer.callback(confirmed)
