"""An agent's memory of the calls that its backend server has begun, and of those revoked."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime, timedelta

from lavenderrun.decisions._queue import JobKey

CALL_MEMORY = timedelta(seconds=120)
MAX_CALLS = 32768


@dataclass(frozen=True, slots=True)
class _Mark:
    at: datetime
    started: bool


class CallHistory:
    """Tells for each call whether it began; one that was revoked before never begins.

    Marks are kept for :data:`CALL_MEMORY`. When there are more than *maximum* the oldest go
    early; from then on, for as long as a mark would have lived, a call that is not known counts
    as begun, for its mark may be among those that went.
    """

    def __init__(self, maximum: int = MAX_CALLS, age: timedelta = CALL_MEMORY) -> None:
        self._maximum = maximum
        self._age = age
        self._marks: OrderedDict[JobKey, _Mark] = OrderedDict()
        self._blind_until: datetime | None = None

    def __len__(self) -> int:
        return len(self._marks)

    def begin(self, key: JobKey, now: datetime) -> bool:
        """Mark a call as begun; return ``False`` when it was begun or revoked before."""
        if key in self._marks:
            return False
        self._mark(key, now, started=True)
        return True

    def refresh(self, key: JobKey, now: datetime) -> None:
        """Keep the mark of a call that has just ended for its whole age."""
        mark = self._marks.get(key)
        if mark is not None:
            self._mark(key, now, started=mark.started)

    def mark_not_started(self, key: JobKey, now: datetime) -> None:
        """Mark a call as not begun after all: its backend server never saw it."""
        self._mark(key, now, started=False)

    def revoke(self, key: JobKey, now: datetime) -> bool:
        """Make sure that a call never begins from now on; return whether it may have begun."""
        mark = self._marks.get(key)
        if mark is not None and mark.started:
            return True
        if mark is None and self._blind_until is not None and now < self._blind_until:
            return True
        self._mark(key, now, started=False)
        return False

    def knows(self, key: JobKey) -> bool:
        """Tell whether a call was begun or revoked."""
        return key in self._marks

    def may_have_begun(self, key: JobKey) -> bool:
        """Tell whether a call has a mark that says so."""
        mark = self._marks.get(key)
        return mark is not None and mark.started

    def _mark(self, key: JobKey, now: datetime, *, started: bool) -> None:
        self._marks[key] = _Mark(now, started)
        self._marks.move_to_end(key)
        while self._marks:
            oldest = next(iter(self._marks.values()))
            if oldest.at <= now - self._age:
                self._marks.popitem(last=False)
            elif len(self._marks) > self._maximum:
                self._marks.popitem(last=False)
                self._blind_until = oldest.at + self._age
            else:
                return
