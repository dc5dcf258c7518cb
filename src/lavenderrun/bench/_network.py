"""The fake network of a benchmark: delays between data centres, loss, silence and partitions."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from datetime import datetime, timedelta

from lavenderrun.bench._time import HostClock
from lavenderrun.kernel import Clock
from lavenderrun.standins import MemoryNetwork, MemoryPipe
from lavenderrun.types import DataCentre, Pipe, PipeHandler

WITHIN_DATA_CENTRE = timedelta(microseconds=100)
BETWEEN_DATA_CENTRES = timedelta(microseconds=500)
JITTER = 0.4
"""Largest share of a delay that chance adds; batches of different pipes overtake one another."""


class BenchNetwork(MemoryNetwork):
    """Connects hosts through their clocks, so that a paused or dead host takes nothing in.

    :param random_source: seeded source of the jitter.
    :param jitter: largest share of a delay that is added by chance.
    """

    def __init__(self, clock: Clock, random_source: random.Random, jitter: float = JITTER) -> None:
        super().__init__(clock)
        self.jitter = jitter
        self.sent_bytes: Counter[str] = Counter()
        self.sent_batches: Counter[str] = Counter()
        self._random = random_source
        self._places: dict[str, DataCentre] = {}
        self._hosts: dict[str, HostClock] = {}
        self._last: dict[MemoryPipe, datetime] = {}

    def place(self, address: str, data_centre: DataCentre, host: HostClock) -> None:
        """Tell where an address is and which life of a host answers there."""
        self._places[address] = data_centre
        self._hosts[address] = host

    def connect(
        self, source: str, target: str, make_handler: Callable[[Pipe], PipeHandler]
    ) -> MemoryPipe:
        """Open a pipe; the target accepts it after the delay."""
        near, far = MemoryPipe(self, source, target), MemoryPipe(self, target, source)
        near.handler = make_handler(near)
        if frozenset((source, target)) in self._cut:
            near.silent = True
        elif target not in self._listeners:
            self.deliver_later(near, near.end, "refused")
        else:
            near.other, far.other = far, near
            self.deliver_later(near, far.greet, self._listeners[target])
        self.pipes += [near, far]
        return near

    def deliver_later(self, _pipe: MemoryPipe, call: Callable[..., None], *args: object) -> None:
        """Run *call* at the host that owns its pipe, in the pipe's order."""
        end: MemoryPipe = call.__self__  # type: ignore[attr-defined]
        if args and isinstance(args[0], bytes):
            self.sent_bytes[end.target] += len(args[0])
            self.sent_batches[end.target] += 1
        host = self._hosts.get(end.source)
        if host is None:
            return
        now = host.now()
        due = now + self._draw_delay(end.source, end.target)
        due = max(due, self._last.get(end, due))
        self._last[end] = due
        host.call_later(due - now, call, *args)

    def drop_host(self, address: str, *, silent: bool) -> None:
        """End a host's pipes; their other ends see a close, or with *silent* nothing."""
        self.unlisten(address)
        for pipe in self.pipes:
            if pipe.source == address:
                pipe.silent = pipe.silent or silent
                pipe.close()
            if address in (pipe.source, pipe.target):
                self._last.pop(pipe, None)
        self.pipes = [pipe for pipe in self.pipes if address not in (pipe.source, pipe.target)]

    def silence(self, share: float) -> int:
        """Make a share of all open pipes lose all traffic for good; return how many."""
        pairs = [
            pipe for pipe in self.pipes if pipe.other is not None and pipe.source < pipe.target
        ]
        chosen = self._random.sample(pairs, round(share * len(pairs)))
        for pipe in chosen:
            assert pipe.other is not None
            pipe.silent = pipe.other.silent = True
        return len(chosen)

    def part(self, one: DataCentre, other: DataCentre, *, parted: bool) -> None:
        """Lose all traffic between two data centres, or mend it."""
        for first in self._in(one):
            for second in self._in(other):
                (self.partition if parted else self.heal)(first, second)

    def _in(self, data_centre: DataCentre) -> list[str]:
        return [address for address, place in self._places.items() if place == data_centre]

    def _draw_delay(self, source: str, target: str) -> timedelta:
        here = self._places.get(source) == self._places.get(target)
        delay = WITHIN_DATA_CENTRE if here else BETWEEN_DATA_CENTRES
        return delay * (1 + self.jitter * self._random.random())
