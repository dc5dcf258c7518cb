"""Bounded memory of attempts that are over."""

from __future__ import annotations

from collections import OrderedDict
from datetime import datetime, timedelta

from lavenderrun.decisions._queue import JobKey

MAX_TOMBSTONES = 8192
TOMBSTONE_AGE = timedelta(seconds=120)


class Tombstones:
    """Keys of ended attempts and whether the backend server had begun them.

    :param maximum: most keys; the oldest goes first.
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
        """Remember that *key* is over; once started it stays so."""
        was_started = self.was_started(key)
        self._ended[key] = (now, started or was_started)
        self._ended.move_to_end(key)
        while (
            len(self._ended) > self._maximum
            or next(iter(self._ended.values()))[0] < now - self._age
        ):
            self._ended.popitem(last=False)

    def was_started(self, key: JobKey) -> bool:
        """Tell whether the backend server had begun *key*."""
        ended = self._ended.get(key)
        return ended is not None and ended[1]
