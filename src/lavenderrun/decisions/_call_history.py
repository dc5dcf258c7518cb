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

    Records are kept for :data:`CALL_RETENTION`. Beyond *maximum* records the oldest are dropped
    early. Until those would have expired, an unknown call counts as begun, because its record may
    be one of the dropped ones.

    :param maximum: records that are kept.
    :param age: how long a record is kept.
    """

    def __init__(self, maximum: int = MAX_CALLS, age: timedelta = CALL_RETENTION) -> None:
        self._maximum = maximum
        self._age = age
        self._records: OrderedDict[JobKey, _Record] = OrderedDict()
        self._incomplete_until: datetime | None = None

    def __len__(self) -> int:
        return len(self._records)

    def begin(self, key: JobKey, now: datetime) -> bool:
        """Record a call as begun; return ``False`` when it was begun or revoked before."""
        if key in self._records:
            return False
        self._record(key, now, started=True)
        return True

    def refresh(self, key: JobKey, now: datetime) -> None:
        """Restart the retention of a call's record, as the call has just ended."""
        record = self._records.get(key)
        if record is not None:
            self._record(key, now, started=record.started)

    def mark_not_started(self, key: JobKey, now: datetime) -> None:
        """Record that a call did not begin after all, because its backend server never saw it."""
        self._record(key, now, started=False)

    def revoke(self, key: JobKey, now: datetime) -> bool:
        """Prevent a call from beginning later; return whether it may have begun already."""
        record = self._records.get(key)
        if record is not None and record.started:
            return True
        if record is None and self._incomplete_until is not None and now < self._incomplete_until:
            return True
        self._record(key, now, started=False)
        return False

    def knows(self, key: JobKey) -> bool:
        """Tell whether a call has a record, begun or revoked."""
        return key in self._records

    def may_have_begun(self, key: JobKey) -> bool:
        """Tell whether a call has a record that says that it began."""
        record = self._records.get(key)
        return record is not None and record.started

    def _record(self, key: JobKey, now: datetime, *, started: bool) -> None:
        self._records[key] = _Record(now, started)
        self._records.move_to_end(key)
        while self._records:
            oldest = next(iter(self._records.values()))
            if oldest.at <= now - self._age:
                self._records.popitem(last=False)
            elif len(self._records) > self._maximum:
                self._records.popitem(last=False)
                self._incomplete_until = oldest.at + self._age
            else:
                return
