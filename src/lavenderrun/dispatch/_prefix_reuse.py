"""Which engines probably still hold the beginning of a prompt, and what that saves."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.estimates import PrefixIndex
from lavenderrun.types import BackendId, HostId, PromptPart

MIN_SAVED_TIME: Final = timedelta(milliseconds=10)
"""Time that a prefix must save to be recorded and reported: what a shorter one saves is lost in the
uncertainty of a prefill queue."""

MAX_PREFIXES: Final = 4096
"""Parts of prompts that are remembered over all engines."""

MAX_RECORDED_PROMPTS: Final = 64
"""Prompts of one engine by which it is judged what the engine has dropped since."""

HELD_MEMORY_SHARE: Final = 0.5
"""Share of an engine's KV cache memory that is expected to hold parts of earlier prompts; running
calls and exports take the rest."""

LEARNING_SHARE: Final = 0.25
"""Smallest share of a prompt that a saving must be for its time to tell whether it was there."""

REPORTED_FOR: Final = timedelta(seconds=2)
"""How long a computed prompt is reported: at least two regular peer reports."""

MAX_REPORTED_PROMPTS: Final = 16
"""Computed prompts in one peer report."""


@dataclass(frozen=True)
class ComputedPrompt:
    """A prompt that an engine has computed.

    :param sequence: number of the prompt at the host that had it computed.
    :param tokens: length of the prompt.
    """

    sequence: int
    engine: BackendId
    at: datetime
    tokens: int
    prefix: Sequence[PromptPart]


@dataclass
class _Turnover:
    """Tokens that one engine has computed, by which older parts were dropped.

    :ivar sums: sum of all tokens up to and including the prompt at the same place of *times*.
    """

    times: list[datetime] = field(default_factory=list)
    sums: list[int] = field(default_factory=list)

    def add(self, at: datetime, tokens: int) -> None:
        """Add a prompt; one that is reported late counts as of the newest one."""
        latest = max(at, self.times[-1]) if self.times else at
        self.times.append(latest)
        self.sums.append((self.sums[-1] if self.sums else 0) + tokens)
        if len(self.times) > MAX_RECORDED_PROMPTS:
            del self.times[0], self.sums[0]

    def count_since(self, at: datetime) -> int | None:
        """Return the tokens computed after *at*, ``None`` when that is too long ago to tell."""
        place = bisect_right(self.times, at)
        return self.sums[-1] - self.sums[place - 1] if place else None


class PrefixReuse:
    """Estimates the tokens of a prompt that each engine still holds.

    An engine drops the parts that it used least recently, so a part counts as held until the engine
    has computed as many tokens since as its memory holds. The source is what this host and its
    peers had computed where; the time of a prefill tells when an engine held less.
    """

    def __init__(self) -> None:
        self._index: PrefixIndex[BackendId, PromptPart] = PrefixIndex(
            lambda part: part.tokens, MAX_PREFIXES
        )
        self._turnovers: dict[BackendId, _Turnover] = {}
        self._own: list[ComputedPrompt] = []
        self._sequence = 0
        self._heard: dict[HostId, int] = {}

    def is_worthwhile(self, prefix: Sequence[PromptPart], speed: float) -> bool:
        """Tell whether an engine that holds *prefix* would save a time that matters.

        :param speed: prompt tokens that an engine computes a second.
        """
        tokens = sum(part.tokens for part in prefix)
        return tokens > speed * MIN_SAVED_TIME.total_seconds()

    def record(
        self, engine: BackendId, prefix: Sequence[PromptPart], tokens: int, now: datetime
    ) -> None:
        """Record that *engine* has computed a prompt of this host."""
        self._sequence += 1
        prompt = ComputedPrompt(self._sequence, engine, now, tokens, tuple(prefix))
        self._store(prompt)
        self._own.append(prompt)
        del self._own[:-MAX_REPORTED_PROMPTS]

    def list_recent(self, now: datetime) -> list[ComputedPrompt]:
        """Return what this host had computed lately, for its peer report."""
        self._own = [prompt for prompt in self._own if now - prompt.at <= REPORTED_FOR]
        return self._own

    def apply_peer_report(self, host: HostId, prompts: Sequence[ComputedPrompt]) -> None:
        """Record what *host* had computed; each prompt counts once, however often reported."""
        heard = self._heard.get(host, 0)
        if prompts and prompts[-1].sequence < heard:
            # a new process of the host counts from one again
            heard = 0
        for prompt in prompts:
            if prompt.sequence > heard:
                heard = prompt.sequence
                self._store(prompt)
        if heard:
            self._heard[host] = heard

    def set_hosts(self, hosts: Mapping[HostId, object]) -> None:
        """Forget the counts of hosts that are gone."""
        self._heard = {host: count for host, count in self._heard.items() if host in hosts}

    def forget(self, engine: BackendId) -> None:
        """Forget an engine that is gone or has started anew."""
        self._index.forget(engine)
        self._turnovers.pop(engine, None)

    def estimate_held(
        self, prefix: Sequence[PromptPart], memory_tokens: int
    ) -> Mapping[BackendId, float]:
        """Return how many tokens of *prefix* each engine is expected to hold.

        :param memory_tokens: tokens of KV cache that an engine holds, zero when unknown.
        """
        return self._index.estimate_held(prefix, self._make_check(memory_tokens))

    def learn(
        self,
        engine: BackendId,
        prefix: Sequence[PromptPart],
        memory_tokens: int,
        tokens: int,
        computed: float,
    ) -> None:
        """Correct the estimates by a prefill that waited for no other one; call before `record`.

        :param tokens: length of the prompt.
        :param computed: tokens for which its time sufficed.
        """
        found = self._index.match_blocks(prefix, self._make_check(memory_tokens))
        count = found.get(engine, 0)
        if self._index.count_held(prefix, count) >= tokens * LEARNING_SHARE:
            self._index.learn_held(engine, prefix, count, tokens - computed)

    def _make_check(self, memory_tokens: int) -> Callable[[BackendId, datetime], bool]:
        limit = memory_tokens * HELD_MEMORY_SHARE

        def is_held(engine: BackendId, used: datetime) -> bool:
            turnover = self._turnovers.get(engine)
            since = turnover.count_since(used) if turnover is not None else None
            return since is not None and since <= limit

        return is_held

    def _store(self, prompt: ComputedPrompt) -> None:
        self._turnovers.setdefault(prompt.engine, _Turnover()).add(prompt.at, prompt.tokens)
        self._index.store(prompt.engine, prompt.prefix, prompt.at)
