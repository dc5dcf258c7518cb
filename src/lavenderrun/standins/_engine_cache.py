"""Prefix cache of the stand-in engine; its events arrive late and some are lost."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from hashlib import blake2b
from itertools import count

from lavenderrun.kernel import Clock
from lavenderrun.standins._text import CHARACTERS_PER_TOKEN

KV_BLOCK_TOKENS = 1000
EVENT_DELAY = timedelta(milliseconds=400)
EVENT_LOSS = 0.02
"""Share of cache events that are never published."""

_BLOCK_CHARACTERS = KV_BLOCK_TOKENS * CHARACTERS_PER_TOKEN


class CacheChange(Enum):
    """Kind of change of a cached block."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True)
class CacheEvent:
    """A change of the prefix cache.

    :param sequence: grows by one with each change, so that a gap shows lost events.
    :param block: hash of the whole prefix up to the block's end.
    """

    sequence: int
    change: CacheChange
    block: str


CacheWatcher = Callable[[CacheEvent], None]


def hash_blocks(text: str) -> list[str]:
    """Return one hash per whole block of *text*, over the prefix up to the block's end."""
    digest = blake2b(digest_size=8)
    blocks = []
    for start in range(0, len(text) - _BLOCK_CHARACTERS + 1, _BLOCK_CHARACTERS):
        digest.update(text[start : start + _BLOCK_CHARACTERS].encode())
        blocks.append(digest.hexdigest())
    return blocks


class PrefixCache:
    """Cache of prompt blocks that evicts the least recently used.

    :param max_blocks: largest number of blocks kept.
    :param random_source: draws which events are lost.
    """

    def __init__(self, clock: Clock, max_blocks: int, random_source: random.Random) -> None:
        self._clock = clock
        self._max_blocks = max_blocks
        self._random = random_source
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._watchers: list[CacheWatcher] = []
        self._sequence = count(1)

    def watch(self, watcher: CacheWatcher) -> None:
        """Send events to *watcher* after EVENT_DELAY, without the lost ones."""
        self._watchers.append(watcher)

    def count_cached(self, blocks: list[str]) -> int:
        """Return how many leading blocks are cached."""
        found = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            found += 1
        return found

    def store(self, blocks: list[str]) -> None:
        """Add *blocks* and evict the least recently used blocks beyond the limit."""
        for block in blocks:
            if block not in self._blocks:
                self._publish(CacheChange.STORED, block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish(CacheChange.EVICTED, evicted)

    def clear(self) -> None:
        """Drop all blocks without an event, as a crash does."""
        self._blocks.clear()

    def _publish(self, change: CacheChange, block: str) -> None:
        event = CacheEvent(next(self._sequence), change, block)
        if self._watchers and self._random.random() >= EVENT_LOSS:
            for watcher in self._watchers:
                self._clock.call_later(EVENT_DELAY, watcher, event)
