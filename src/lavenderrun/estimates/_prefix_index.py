"""Index of the prompt prefixes that servers hold in KV cache.

The index may be wrong, because servers drop prefixes unseen. It is bounded and drops old records.
Each finished prefill corrects it by the number of tokens that were held; a server that held fewer
than the index says is discounted until its results improve.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable, Sequence
from datetime import datetime
from typing import Final, Generic, TypeVar

from lavenderrun.estimates._average import MovingAverage

MAX_BLOCKS: Final = 1 << 16
MAX_HOLDERS_KNOWN: Final = 12
"""Latest holders that are kept for a block; more would not change the choice."""

HIT_RATIO_SAMPLE_WEIGHT: Final = 0.2

Holder = TypeVar("Holder", bound=Hashable)
Block = TypeVar("Block", bound=Hashable)


class PrefixIndex(Generic[Holder, Block]):
    """Index of the servers that probably hold each block of prompts.

    :param count_tokens: returns the tokens of a block.
    :param maximum: most blocks; the least recently used is dropped first.
    """

    def __init__(self, count_tokens: Callable[[Block], int], maximum: int = MAX_BLOCKS) -> None:
        self._count_tokens = count_tokens
        self._maximum = maximum
        self._blocks: OrderedDict[Block, dict[Holder, datetime]] = OrderedDict()
        self._hit_ratios: dict[Holder, MovingAverage] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def store(self, holder: Holder, blocks: Sequence[Block], now: datetime) -> None:
        """Record that *holder* holds *blocks*."""
        for block in blocks:
            holders = self._blocks.setdefault(block, {})
            holders.pop(holder, None)
            holders[holder] = now
            if len(holders) > MAX_HOLDERS_KNOWN:
                del holders[next(iter(holders))]
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._maximum:
            self._blocks.popitem(last=False)

    def evict(self, holder: Holder, blocks: Sequence[Block]) -> None:
        """Record that *holder* no longer holds *blocks*."""
        for block in blocks:
            holders = self._blocks.get(block)
            if holders is None or holder not in holders:
                continue
            del holders[holder]
            if not holders:
                del self._blocks[block]

    def forget(self, holder: Holder) -> None:
        """Drop everything about a holder that was lost or restarted."""
        self._hit_ratios.pop(holder, None)
        for block in [block for block, holders in self._blocks.items() if holder in holders]:
            self.evict(holder, [block])

    def match_blocks(
        self, blocks: Sequence[Block], is_held: Callable[[Holder, datetime], bool]
    ) -> dict[Holder, int]:
        """Return how many leading blocks of *blocks* each holder holds according to the index.

        :param is_held: tells whether a holder probably still holds what it last used at a time.
        """
        found: dict[Holder, int] = {}
        for count, block in enumerate(blocks, 1):
            holders = self._blocks.get(block, {})
            matched = [
                holder
                for holder, used in holders.items()
                if found.get(holder, 0) == count - 1 and is_held(holder, used)
            ]
            if not matched:
                break
            for holder in matched:
                found[holder] = count
        return found

    def count_held(self, blocks: Sequence[Block], count: int) -> int:
        """Return the tokens of the first *count* blocks."""
        return sum(self._count_tokens(block) for block in blocks[:count])

    def learn_held(self, holder: Holder, blocks: Sequence[Block], count: int, held: float) -> None:
        """Record how many tokens *holder* did hold.

        :param count: leading blocks that it held according to the index.
        :param held: tokens that it held.
        """
        expected = self.count_held(blocks, count)
        if expected:
            hit_ratio = self._hit_ratios.setdefault(
                holder, MovingAverage(1.0, HIT_RATIO_SAMPLE_WEIGHT)
            )
            hit_ratio.add(max(0.0, min(1.0, held / expected)))

    def estimate_held(
        self, blocks: Sequence[Block], is_held: Callable[[Holder, datetime], bool]
    ) -> dict[Holder, float]:
        """Return the tokens that each holder is expected to hold, discounted by its hit ratio."""
        return {
            holder: self.count_held(blocks, count)
            * (self._hit_ratios[holder].value if holder in self._hit_ratios else 1.0)
            for holder, count in self.match_blocks(blocks, is_held).items()
        }
