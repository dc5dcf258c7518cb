"""Placement of prefills by cached prefix, queue and link, and the index of cached prefixes.

The index may be wrong, for the cache events of engines are late and have gaps. It is bounded and
drops old records. Each finished prefill corrects it by the number of tokens that were cached; a
host that had fewer than the index says is discounted until its results improve.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from hashlib import blake2b

from lavenderrun.decisions._candidate_pool import CandidatePool
from lavenderrun.decisions._estimates import MovingAverage
from lavenderrun.decisions._placement import (
    Candidate,
    Choice,
    RandomSource,
    RejectedHost,
    RejectionReason,
    find_exclusion,
    sample,
)
from lavenderrun.kernel import Registry
from lavenderrun.types import HostId

BLOCK_TOKENS = 1000
BLOCK_CHARACTERS = 4 * BLOCK_TOKENS
MAX_BLOCKS = 1 << 16
MAX_HOLDERS_KNOWN = 12
"""Latest hosts that are kept for a block; more would not change the choice."""
MAX_RECORD_AGE = timedelta(minutes=10)
HIT_RATIO_SAMPLE_WEIGHT = 0.2
SAMPLED_HOSTS = 2
MAX_HOLDERS_RANKED = 4
BUSY_LINK_WAIT = timedelta(milliseconds=50)
"""Wait for a link above which the link, not the queue, is the reason for a rejection."""


def hash_blocks(text: str) -> list[str]:
    """Return a hash for each whole block of *text*, taken over the text up to the block's end."""
    hasher = blake2b(digest_size=8)
    blocks = []
    for start in range(0, len(text) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        hasher.update(text[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(hasher.hexdigest())
    return blocks


class PrefixIndex:
    """Index of the hosts that probably cache each prefix block.

    :param maximum: most blocks; the least recently used is dropped first.
    """

    def __init__(self, maximum: int = MAX_BLOCKS) -> None:
        self._maximum = maximum
        self._blocks: OrderedDict[str, dict[HostId, datetime]] = OrderedDict()
        self._hit_ratios: dict[HostId, MovingAverage] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def store(self, host: HostId, blocks: Sequence[str], now: datetime) -> None:
        """Record that *host* caches *blocks*."""
        for block in blocks:
            holders = self._blocks.setdefault(block, {})
            holders.pop(host, None)
            holders[host] = now
            if len(holders) > MAX_HOLDERS_KNOWN:
                del holders[next(iter(holders))]
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._maximum:
            self._blocks.popitem(last=False)

    def evict(self, host: HostId, blocks: Sequence[str]) -> None:
        """Record that *host* no longer caches *blocks*."""
        for block in blocks:
            holders = self._blocks.get(block)
            if holders is None or host not in holders:
                continue
            del holders[host]
            if not holders:
                del self._blocks[block]

    def forget(self, host: HostId) -> None:
        """Drop everything about a host that was lost or restarted."""
        self._hit_ratios.pop(host, None)
        for block in [block for block, holders in self._blocks.items() if host in holders]:
            self.evict(host, [block])

    def match(self, blocks: Sequence[str], now: datetime) -> dict[HostId, int]:
        """Return how many leading blocks of *blocks* each host caches according to the index."""
        found: dict[HostId, int] = {}
        for count, block in enumerate(blocks, 1):
            holders = self._blocks.get(block, {})
            fresh = [host for host, at in holders.items() if now - at <= MAX_RECORD_AGE]
            matched = [host for host in fresh if found.get(host, 0) == count - 1]
            if not matched:
                break
            for host in matched:
                found[host] = count
        return found

    def learn(self, host: HostId, blocks: Sequence[str], cached: int, now: datetime) -> None:
        """Record that *host* had *cached* tokens of *blocks* cached and now caches all of them."""
        indexed = self.match(blocks, now).get(host, 0)
        if indexed:
            hit_ratio = self._hit_ratios.setdefault(
                host, MovingAverage(1.0, HIT_RATIO_SAMPLE_WEIGHT)
            )
            hit_ratio.add(min(1.0, cached / (indexed * BLOCK_TOKENS)))
        self.store(host, blocks, now)

    def estimate_cached(self, blocks: Sequence[str], now: datetime) -> dict[HostId, float]:
        """Return the expected cached tokens of each host, discounted by its hit ratio."""
        return {
            host: count
            * BLOCK_TOKENS
            * (self._hit_ratios[host].value if host in self._hit_ratios else 1.0)
            for host, count in self.match(blocks, now).items()
        }


@dataclass(frozen=True, slots=True)
class PrefillRequirements:
    """What a request requires of its prefill agent.

    :param tokens: tokens of the prompt.
    :param cached: expected cached tokens by host.
    :param estimate: returns the seconds of a prefill from its tokens and cached tokens.
    :param link: returns the wait for the link from a candidate and the duration of the transfer.
    :param tried: hosts at which this request has already failed.
    """

    tokens: int
    cached: dict[HostId, float]
    estimate: Callable[[int, int], float]
    link: Callable[[Candidate], tuple[timedelta, timedelta]]
    tried: frozenset[HostId] = frozenset()


PrefillPlacement = Callable[[CandidatePool, PrefillRequirements, RandomSource], Choice]

PREFILL_PLACEMENTS: Registry[PrefillPlacement] = Registry("prefill placement")


def estimate_lead(candidate: Candidate, requirements: PrefillRequirements) -> float:
    """Return the seconds until the export arrives at the decode agent."""
    cached = min(requirements.tokens, int(requirements.cached.get(candidate.host, 0.0)))
    wait, transfer = requirements.link(candidate)
    backlog = candidate.load.backlog.total_seconds() if candidate.load is not None else 0.0
    ready = backlog + candidate.work + requirements.estimate(requirements.tokens, cached)
    return max(ready, wait.total_seconds()) + transfer.total_seconds()


def _pick(
    candidates: CandidatePool, requirements: PrefillRequirements, indexes: Collection[int]
) -> Choice:
    ranked: list[tuple[float, int]] = []
    rejected: list[RejectedHost] = []
    for index in indexes:
        candidate = candidates[index]
        exclusion = find_exclusion(candidate, requirements.tried)
        if exclusion is None:
            ranked.append((estimate_lead(candidate, requirements), index))
        else:
            rejected.append(RejectedHost(candidate.host, exclusion, timedelta(0)))
    if not ranked:
        return Choice(None, timedelta(0), tuple(rejected))
    ranked.sort(key=lambda item: item[0])
    for lead, index in ranked[1:]:
        other = candidates[index]
        busy = requirements.link(other)[0] > BUSY_LINK_WAIT
        reason = RejectionReason.LINK_BUSY if busy else RejectionReason.LONGER_WAIT
        rejected.append(RejectedHost(other.host, reason, timedelta(seconds=lead)))
    lead, index = ranked[0]
    return Choice(candidates[index].host, timedelta(seconds=lead), tuple(rejected))


@PREFILL_PLACEMENTS.register("affinity")
def place_by_affinity(
    candidates: CandidatePool, requirements: PrefillRequirements, random_source: RandomSource
) -> Choice:
    """Choose the earliest arrival among the likely holders of the prefix and a few random hosts."""
    indexes = dict.fromkeys(sample(len(candidates), SAMPLED_HOSTS, random_source))
    if requirements.cached:
        holders = sorted(requirements.cached, key=requirements.cached.__getitem__, reverse=True)[
            :MAX_HOLDERS_RANKED
        ]
        indexes |= {at: None for host in holders if (at := candidates.find(host)) is not None}
    choice = _pick(candidates, requirements, indexes.keys())
    if choice.chosen is None:
        return place_prefill_at_shortest(candidates, requirements, random_source)
    return choice


@PREFILL_PLACEMENTS.register("shortest")
def place_prefill_at_shortest(
    candidates: CandidatePool, requirements: PrefillRequirements, random_source: RandomSource
) -> Choice:
    """Choose the earliest arrival among all hosts."""
    return _pick(candidates, requirements, range(len(candidates)))


@PREFILL_PLACEMENTS.register("random")
def place_prefill_at_random(
    candidates: CandidatePool, requirements: PrefillRequirements, random_source: RandomSource
) -> Choice:
    """Choose a random host whatever its cache, queue and link; the baseline."""
    eligible = [each for each in candidates if find_exclusion(each, requirements.tried) is None]
    if not eligible:
        return Choice(None, timedelta(0), ())
    chosen = eligible[int(random_source.random() * len(eligible))]
    return Choice(chosen.host, timedelta(seconds=estimate_lead(chosen, requirements)), ())
