"""Bounded memory of attempts that have ended."""

from __future__ import annotations

from collections import OrderedDict
from datetime import datetime, timedelta

from lavenderrun.decisions._queue import JobKey

MAX_TOMBSTONES = 8192
TOMBSTONE_AGE = timedelta(seconds=120)


class Tombstones:
    """Keys of ended attempts, each with whether the backend server had started it.

    :param maximum: most keys; the oldest is dropped first.
    :param age: how long a key is kept.
    """

    def __init__(self, maximum: int = MAX_TOMBSTONES, age: timedelta = TOMBSTONE_AGE) -> None:
        self._maximum = maximum
        self._age = age
        self._ended: OrderedDict[JobKey, tuple[datetime, bool]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._ended)

    def __contains__(self, key: object) -> bool:
        return key in self._ended

    def add(self, key: JobKey, now: datetime, *, started: bool) -> None:
        """Record that *key* has ended; an attempt recorded as started stays started."""
        was_started = self.was_started(key)
        self._ended[key] = (now, started or was_started)
        self._ended.move_to_end(key)
        while (
            len(self._ended) > self._maximum
            or next(iter(self._ended.values()))[0] < now - self._age
        ):
            self._ended.popitem(last=False)

    def was_started(self, key: JobKey) -> bool:
        """Return whether the backend server had started *key*."""
        ended = self._ended.get(key)
        return ended is not None and ended[1]
