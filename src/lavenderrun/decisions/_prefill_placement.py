"""Placement of prefills by cached prefix, queue and link, and the index of cached prefixes."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from hashlib import blake2b

from lavenderrun.decisions._candidate_pool import CandidatePool
from lavenderrun.decisions._placement import (
    Candidate,
    Choice,
    RandomSource,
    RejectedHost,
    RejectionReason,
    find_exclusion,
    sample,
)
from lavenderrun.estimates import PrefixIndex as HeldPrefixes
from lavenderrun.kernel import Registry
from lavenderrun.types import HostId

BLOCK_TOKENS = 1000
BLOCK_CHARACTERS = 4 * BLOCK_TOKENS
MAX_BLOCKS = 1 << 16
MAX_RECORD_AGE = timedelta(minutes=10)
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


class PrefixIndex(HeldPrefixes[HostId, str]):
    """Index of the hosts that probably cache each whole block of prompts.

    :param maximum: most blocks; the least recently used is dropped first.
    """

    def __init__(self, maximum: int = MAX_BLOCKS) -> None:
        super().__init__(lambda _: BLOCK_TOKENS, maximum)

    def match(self, blocks: Sequence[str], now: datetime) -> dict[HostId, int]:
        """Return how many leading blocks of *blocks* each host caches according to the index."""
        return self.match_blocks(blocks, lambda _, used: now - used <= MAX_RECORD_AGE)

    def learn(self, host: HostId, blocks: Sequence[str], cached: int, now: datetime) -> None:
        """Record that *host* had *cached* tokens of *blocks* cached and now caches all of them."""
        self.learn_held(host, blocks, self.match(blocks, now).get(host, 0), cached)
        self.store(host, blocks, now)

    def estimate_cached(self, blocks: Sequence[str], now: datetime) -> dict[HostId, float]:
        """Return the expected cached tokens of each host, discounted by its hit ratio."""
        return self.estimate_held(blocks, lambda _, used: now - used <= MAX_RECORD_AGE)


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
