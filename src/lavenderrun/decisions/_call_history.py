"""An agent's record of the calls that its backend server began and of the calls revoked."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime, timedelta

from lavenderrun.decisions._queue import JobKey

CALL_RETENTION = timedelta(seconds=120)
MAX_CALLS = 32768


@dataclass(frozen=True, slots=True)
class _Record:
    at: datetime
    started: bool


class CallHistory:
    """Records for each call whether it began; a revoked call never begins.

    The record of a running call is kept until :meth:`end`, others for :data:`CALL_RETENTION`.
    Beyond *maximum* records the oldest are dropped early, those of running calls last. Until the
    dropped ones would have expired, an unknown call counts as begun, because its record may be one
    of them.

    :param maximum: records that are kept.
    :param age: how long a record is kept after the call's end or its revocation.
    """

    def __init__(self, maximum: int = MAX_CALLS, age: timedelta = CALL_RETENTION) -> None:
        self._maximum = maximum
        self._age = age
        self._running: OrderedDict[JobKey, _Record] = OrderedDict()
        self._others: OrderedDict[JobKey, _Record] = OrderedDict()
        self._incomplete_until: datetime | None = None

    def __len__(self) -> int:
        return len(self._running) + len(self._others)

    def begin(self, key: JobKey, now: datetime) -> bool:
        """Record a call as begun; return ``False`` when it was begun or revoked before."""
        if self.knows(key):
            return False
        self._running[key] = _Record(now, started=True)
        self._drop_oldest(now)
        return True

    def end(self, key: JobKey, now: datetime) -> None:
        """Record that a call that had begun is over; its retention starts, again if need be."""
        record = self._others.get(key)
        self._record(key, now, started=record is None or record.started)

    def mark_not_started(self, key: JobKey, now: datetime) -> None:
        """Record that a call did not begin after all, because its backend server never saw it."""
        self._record(key, now, started=False)

    def revoke(self, key: JobKey, now: datetime, *, has_begun: bool = False) -> bool:
        """Prevent a call from beginning later; return whether it may have begun already.

        :param has_begun: the caller knows that it has, whatever the records say.
        """
        if has_begun or self.may_have_begun(key):
            return True
        is_incomplete = self._incomplete_until is not None and now < self._incomplete_until
        if is_incomplete and not self.knows(key):
            return True
        self._record(key, now, started=False)
        return False

    def knows(self, key: JobKey) -> bool:
        """Tell whether a call has a record, begun or revoked."""
        return key in self._running or key in self._others

    def may_have_begun(self, key: JobKey) -> bool:
        """Tell whether a call has a record that says that it began."""
        record = self._running.get(key) or self._others.get(key)
        return record is not None and record.started

    def _record(self, key: JobKey, now: datetime, *, started: bool) -> None:
        self._running.pop(key, None)
        self._others[key] = _Record(now, started)
        self._others.move_to_end(key)
        self._drop_oldest(now)

    def _drop_oldest(self, now: datetime) -> None:
        while self._others and next(iter(self._others.values())).at <= now - self._age:
            self._others.popitem(last=False)
        while len(self) > self._maximum:
            records = self._others or self._running
            _, dropped = records.popitem(last=False)
            until = dropped.at + self._age
            self._incomplete_until = max(self._incomplete_until or until, until)
