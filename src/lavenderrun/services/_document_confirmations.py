"""Submissions that wait until a majority of their voters hold the new version."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from twisted.internet.defer import Deferred

from lavenderrun.decisions import has_majority
from lavenderrun.kernel import Clock, Timer
from lavenderrun.types import BackendId, DocumentVersion


@dataclass
class _PendingConfirmation:
    version: DocumentVersion
    voters: tuple[frozenset[BackendId], ...]
    result: Deferred[bool]
    holders: set[BackendId] = field(default_factory=set)
    timer: Timer | None = None

    def is_done(self) -> bool:
        return all(not voters or has_majority(voters, self.holders) for voters in self.voters)


class Confirmations:
    """Counts the voters that hold a submitted version, from the version on each of their batches.

    :param window: how long a submission waits; a version reported later doesn't count.
    :param own_backend: the backend server beside this host, ``None`` without one.
    """

    def __init__(self, clock: Clock, window: timedelta, own_backend: BackendId | None) -> None:
        self._clock = clock
        self._window = window
        self._own_backend = own_backend
        self._pending: list[_PendingConfirmation] = []

    def open(
        self, version: DocumentVersion, voters: tuple[frozenset[BackendId], ...]
    ) -> Deferred[bool]:
        """Start to count; fires with whether a majority of each set of voters held *version*."""
        pending = _PendingConfirmation(version, voters, Deferred())
        if self._own_backend is not None:
            pending.holders.add(self._own_backend)
        self._pending.append(pending)
        pending.timer = self._clock.call_later(self._window, self._end, pending, False)
        if pending.is_done():
            self._end(pending, True)
        return pending.result

    def count_holder(self, backend: BackendId | None, version: DocumentVersion) -> None:
        """Count *version* as held by the host beside *backend*."""
        if backend is None or not self._pending:
            return
        for pending in list(self._pending):
            if version >= pending.version:
                pending.holders.add(backend)
                if pending.is_done():
                    self._end(pending, True)

    def stop(self) -> None:
        """End all waits as not confirmed."""
        for pending in list(self._pending):
            self._end(pending, False)

    def _end(self, pending: _PendingConfirmation, confirmed: bool) -> None:
        if pending not in self._pending:
            return
        self._pending.remove(pending)
        if pending.timer is not None:
            pending.timer.cancel()
        pending.result.callback(confirmed)
