"""The stand-in engine's prefix cache and its late, gappy events."""

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
from lavenderrun.standins._text import CHARACTERS_A_TOKEN

KV_BLOCK_TOKENS = 1000
EVENT_DELAY = timedelta(milliseconds=400)
EVENT_LOSS = 0.02
"""Share of cache events that are never published."""

_PIECE_CHARACTERS = KV_BLOCK_TOKENS * CHARACTERS_A_TOKEN


class CacheChange(Enum):
    """What happened to a cached block."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True)
class CacheEvent:
    """A change of the prefix cache.

    :param sequence: grows by one with each change; a gap tells of lost events.
    :param block: hash of the whole prefix up to the block's end.
    """

    sequence: int
    change: CacheChange
    block: str


CacheWatcher = Callable[[CacheEvent], None]


def hash_blocks(text: str) -> list[str]:
    """Return the hash of each whole block of *text*, each over the prefix up to its end."""
    digest = blake2b(digest_size=8)
    blocks = []
    for start in range(0, len(text) - _PIECE_CHARACTERS + 1, _PIECE_CHARACTERS):
        digest.update(text[start : start + _PIECE_CHARACTERS].encode())
        blocks.append(digest.hexdigest())
    return blocks


class PrefixCache:
    """Least recently used blocks of prompts.

    :param pieces: most blocks that it keeps.
    :param random_source: decides which events are lost.
    """

    def __init__(self, clock: Clock, pieces: int, random_source: random.Random) -> None:
        self._clock = clock
        self._pieces = pieces
        self._random = random_source
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._watchers: list[CacheWatcher] = []
        self._sequence = count(1)

    def watch(self, watcher: CacheWatcher) -> None:
        """Publish events to *watcher*, late and with gaps."""
        self._watchers.append(watcher)

    def find_prefix(self, blocks: list[str]) -> int:
        """Return how many leading blocks are cached."""
        found = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            found += 1
        return found

    def store(self, blocks: list[str]) -> None:
        """Keep *blocks*, and evict the least recently used."""
        for block in blocks:
            if block not in self._blocks:
                self._publish(CacheChange.STORED, block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._pieces:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish(CacheChange.EVICTED, evicted)

    def clear(self) -> None:
        """Forget all blocks without an event, as a crash does."""
        self._blocks.clear()

    def _publish(self, change: CacheChange, block: str) -> None:
        event = CacheEvent(next(self._sequence), change, block)
        if self._watchers and self._random.random() >= EVENT_LOSS:
            for watcher in self._watchers:
                self._clock.call_later(EVENT_DELAY, watcher, event)
