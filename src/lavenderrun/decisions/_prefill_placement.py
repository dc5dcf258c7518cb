"""Choice of a prefill agent by cached prefix against queue, and the index of cached prefixes.

The index is a belief: events of the engines are late and have gaps. It is bounded, forgets what is
old, and heals by what each finished prefill tells of its cached tokens; a host whose cache was
overrated is trusted less until its answers prove better.
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
    find_bar,
    sample,
)
from lavenderrun.kernel import Registry
from lavenderrun.types import HostId

BLOCK_TOKENS = 1000
BLOCK_CHARACTERS = 4 * BLOCK_TOKENS
MAX_BLOCKS = 1 << 16
MAX_HOLDERS_KNOWN = 12
"""Hosts that are remembered for a block, the latest ones; more would not change the choice."""
BELIEF_AGE = timedelta(minutes=10)
TRUST_MEMORY = 0.2
SAMPLE = 2
MAX_HOLDERS = 4
# above this wait the link, not the queue, is given as the reason
BUSY_LINK = timedelta(milliseconds=50)


def hash_blocks(text: str) -> list[str]:
    """Return the hash of each whole block of *text*, each over the prefix up to its end."""
    digest = blake2b(digest_size=8)
    blocks = []
    for start in range(0, len(text) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        digest.update(text[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(digest.hexdigest())
    return blocks


class PrefixIndex:
    """Which hosts are believed to cache which blocks.

    :param maximum: most blocks; the least recently used goes first.
    """

    def __init__(self, maximum: int = MAX_BLOCKS) -> None:
        self._maximum = maximum
        self._blocks: OrderedDict[str, dict[HostId, datetime]] = OrderedDict()
        self._trust: dict[HostId, MovingAverage] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def store(self, host: HostId, blocks: Sequence[str], now: datetime) -> None:
        """Believe that *host* caches *blocks*."""
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
        """Believe that *host* caches *blocks* no more."""
        for block in blocks:
            holders = self._blocks.get(block)
            if holders is None or host not in holders:
                continue
            del holders[host]
            if not holders:
                del self._blocks[block]

    def forget(self, host: HostId) -> None:
        """Drop all beliefs about a host that was lost or restarted."""
        self._trust.pop(host, None)
        for block in [block for block, holders in self._blocks.items() if host in holders]:
            self.evict(host, [block])

    def match(self, blocks: Sequence[str], now: datetime) -> dict[HostId, int]:
        """Return how many leading blocks each host is believed to cache."""
        found: dict[HostId, int] = {}
        for count, block in enumerate(blocks, 1):
            holders = self._blocks.get(block, {})
            fresh = [host for host, at in holders.items() if now - at <= BELIEF_AGE]
            matched = [host for host in fresh if found.get(host, 0) == count - 1]
            if not matched:
                break
            for host in matched:
                found[host] = count
        return found

    def learn(self, host: HostId, blocks: Sequence[str], cached: int, now: datetime) -> None:
        """Take the truth: *host* had *cached* tokens of *blocks* and holds them all now."""
        believed = self.match(blocks, now).get(host, 0)
        if believed:
            trust = self._trust.setdefault(host, MovingAverage(1.0, TRUST_MEMORY))
            trust.add(min(1.0, cached / (believed * BLOCK_TOKENS)))
        self.store(host, blocks, now)

    def estimate_cached(self, blocks: Sequence[str], now: datetime) -> dict[HostId, float]:
        """Return the tokens that each host is expected to spare, discounted by its trust."""
        return {
            host: count * BLOCK_TOKENS * (self._trust[host].value if host in self._trust else 1.0)
            for host, count in self.match(blocks, now).items()
        }


@dataclass(frozen=True, slots=True)
class PrefillRequirements:
    """What a request needs of its prefill agent.

    :param cached: tokens that hosts are expected to spare.
    :param estimate: seconds of a prefill by tokens and cached tokens.
    :param link: wait and duration of the transfer from a candidate.
    """

    tokens: int
    cached: dict[HostId, float]
    estimate: Callable[[int, int], float]
    link: Callable[[Candidate], tuple[timedelta, timedelta]]
    tried: frozenset[HostId] = frozenset()


PrefillPlacement = Callable[[CandidatePool, PrefillRequirements, RandomSource], Choice]

PREFILL_PLACEMENTS: Registry[PrefillPlacement] = Registry("prefill placement")


def estimate_lead(candidate: Candidate, need: PrefillRequirements) -> float:
    """Return the seconds until the export has arrived at the decode agent."""
    cached = min(need.tokens, int(need.cached.get(candidate.host, 0.0)))
    wait, transfer = need.link(candidate)
    backlog = candidate.load.backlog.total_seconds() if candidate.load is not None else 0.0
    ready = backlog + candidate.work + need.estimate(need.tokens, cached)
    return max(ready, wait.total_seconds()) + transfer.total_seconds()


def _pick(candidates: CandidatePool, need: PrefillRequirements, indexes: Collection[int]) -> Choice:
    ranked: list[tuple[float, int]] = []
    rejected: list[RejectedHost] = []
    for index in indexes:
        candidate = candidates[index]
        bar = find_bar(candidate, need.tried)
        if bar is None:
            ranked.append((estimate_lead(candidate, need), index))
        else:
            rejected.append(RejectedHost(candidate.host, bar, timedelta(0)))
    if not ranked:
        return Choice(None, timedelta(0), tuple(rejected))
    ranked.sort(key=lambda item: item[0])
    for lead, index in ranked[1:]:
        other = candidates[index]
        busy = need.link(other)[0] > BUSY_LINK
        reason = RejectionReason.LINK_BUSY if busy else RejectionReason.LONGER_WAIT
        rejected.append(RejectedHost(other.host, reason, timedelta(seconds=lead)))
    lead, index = ranked[0]
    return Choice(candidates[index].host, timedelta(seconds=lead), tuple(rejected))


@PREFILL_PLACEMENTS.register("affinity")
def place_by_affinity(
    candidates: CandidatePool, need: PrefillRequirements, random_source: RandomSource
) -> Choice:
    """Choose the earliest arrival among the believed holders and a random few."""
    indexes = dict.fromkeys(sample(len(candidates), SAMPLE, random_source))
    if need.cached:
        holders = sorted(need.cached, key=need.cached.__getitem__, reverse=True)[:MAX_HOLDERS]
        indexes |= {at: None for host in holders if (at := candidates.find(host)) is not None}
    choice = _pick(candidates, need, indexes.keys())
    if choice.chosen is None:
        return place_prefill_at_shortest(candidates, need, random_source)
    return choice


@PREFILL_PLACEMENTS.register("shortest")
def place_prefill_at_shortest(
    candidates: CandidatePool, need: PrefillRequirements, random_source: RandomSource
) -> Choice:
    """Choose the earliest arrival of all."""
    return _pick(candidates, need, range(len(candidates)))


@PREFILL_PLACEMENTS.register("random")
def place_prefill_at_random(
    candidates: CandidatePool, need: PrefillRequirements, random_source: RandomSource
) -> Choice:
    """Choose any host, blind to cache, queue and link; the baseline."""
    fits = [each for each in candidates if find_bar(each, need.tried) is None]
    if not fits:
        return Choice(None, timedelta(0), ())
    chosen = fits[int(random_source.random() * len(fits))]
    return Choice(chosen.host, timedelta(seconds=estimate_lead(chosen, need)), ())
