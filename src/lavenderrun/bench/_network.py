"""Simulated network of a benchmark: delays, silent connections and partitions."""

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
"""Largest random share added to a delay, so that batches of different pipes are reordered."""


class BenchNetwork(MemoryNetwork):
    """Delivers through the receiving host's clock, so that a paused or dead host gets nothing.

    :param random_source: seeded source of the jitter.
    :param jitter: largest share of a delay that is added at random.
    :ivar sent_bytes: bytes sent by address of the sender.
    :ivar sent_batches: batches sent by address of the sender.
    """

    def __init__(self, clock: Clock, random_source: random.Random, jitter: float = JITTER) -> None:
        super().__init__(clock)
        self.jitter = jitter
        self.sent_bytes: Counter[str] = Counter()
        self.sent_batches: Counter[str] = Counter()
        self._random = random_source
        self._data_centres: dict[str, DataCentre] = {}
        self._hosts: dict[str, HostClock] = {}
        self._last_due: dict[MemoryPipe, datetime] = {}

    def place(self, address: str, data_centre: DataCentre, host: HostClock) -> None:
        """Set the data centre of an address and the clock of the host boot that answers there."""
        self._data_centres[address] = data_centre
        self._hosts[address] = host

    def connect(
        self, source: str, target: str, make_handler: Callable[[Pipe], PipeHandler]
    ) -> MemoryPipe:
        """Open a pipe, which the target accepts after the network delay."""
        caller_end, listener_end = (
            MemoryPipe(self, source, target),
            MemoryPipe(self, target, source),
        )
        caller_end.handler = make_handler(caller_end)
        if frozenset((source, target)) in self._partitioned:
            caller_end.silent = True
        elif target not in self._listeners:
            self.deliver_later(caller_end, caller_end.receive_close, "refused")
        else:
            caller_end.peer, listener_end.peer = listener_end, caller_end
            self.deliver_later(caller_end, listener_end.accept_with, self._listeners[target])
        self.pipes += [caller_end, listener_end]
        return caller_end

    def deliver_later(self, _pipe: MemoryPipe, call: Callable[..., None], *args: object) -> None:
        """Run *call*, a method of a pipe end, on that end's host after a delay and in order."""
        end: MemoryPipe = call.__self__  # type: ignore[attr-defined]
        if args and isinstance(args[0], bytes):
            self.sent_bytes[end.target] += len(args[0])
            self.sent_batches[end.target] += 1
        host = self._hosts.get(end.source)
        if host is None:
            return
        now = host.now()
        due = now + self._draw_delay(end.source, end.target)
        due = max(due, self._last_due.get(end, due))
        self._last_due[end] = due
        host.call_later(due - now, call, *args)

    def drop_host(self, address: str, *, silent: bool) -> None:
        """Drop a host's listener and pipes.

        :param silent: the other ends do not see the pipes close.
        """
        self.unlisten(address)
        for pipe in self.pipes:
            if pipe.source == address:
                pipe.silent = pipe.silent or silent
                pipe.close()
            if address in (pipe.source, pipe.target):
                self._last_due.pop(pipe, None)
        self.pipes = [pipe for pipe in self.pipes if address not in (pipe.source, pipe.target)]

    def silence(self, share: float) -> int:
        """Make a random share of the open pipes lose all traffic; return the number of pipes."""
        pairs = [pipe for pipe in self.pipes if pipe.peer is not None and pipe.source < pipe.target]
        chosen = self._random.sample(pairs, round(share * len(pairs)))
        for pipe in chosen:
            assert pipe.peer is not None
            pipe.silent = pipe.peer.silent = True
        return len(chosen)

    def partition_data_centres(
        self, one: DataCentre, other: DataCentre, *, partitioned: bool
    ) -> None:
        """Partition two data centres from each other, or heal the partition."""
        for first in self._find_addresses(one):
            for second in self._find_addresses(other):
                (self.partition if partitioned else self.heal)(first, second)

    def _find_addresses(self, data_centre: DataCentre) -> list[str]:
        return [address for address, each in self._data_centres.items() if each == data_centre]

    def _draw_delay(self, source: str, target: str) -> timedelta:
        is_same = self._data_centres.get(source) == self._data_centres.get(target)
        delay = WITHIN_DATA_CENTRE if is_same else BETWEEN_DATA_CENTRES
        return delay * (1 + self.jitter * self._random.random())
