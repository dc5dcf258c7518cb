"""A transport between kernels in one process, with delay, silence and cuts."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import ClassVar

from lavenderrun.kernel import Clock
from lavenderrun.types import Pipe, PipeHandler


class MemoryPipe:
    """One end of a pipe.

    :ivar silent: what this end sends is lost and no close is seen.
    """

    def __init__(self, network: MemoryNetwork, source: str, target: str) -> None:
        self.handler: PipeHandler | None = None
        self.other: MemoryPipe | None = None
        self.silent = False
        self.source = source
        self.target = target
        self._network = network
        self._closed = False

    def send(self, data: bytes) -> None:
        """Deliver one batch after the network's delay."""
        if not self._closed and not self.silent and self.other is not None:
            self._network.deliver_later(self, self.other.take, data)

    def close(self) -> None:
        """Close this end; the other end sees it after the delay."""
        if self._closed:
            return
        self._closed = True
        if not self.silent and self.other is not None:
            self._network.deliver_later(self, self.other.end, "closed by peer")

    def greet(self, accept: Callable[[Pipe], PipeHandler]) -> None:
        """Let the listener accept this end."""
        if not self._closed:
            self.handler = accept(self)

    def take(self, data: bytes) -> None:
        """Take a delivered batch."""
        if not self._closed and self.handler is not None:
            self.handler.received(data)

    def end(self, reason: str) -> None:
        """Take the other end's close."""
        if not self._closed and self.handler is not None:
            self._closed = True
            self.handler.closed(reason)


class MemoryNetwork:
    """Connects the transports of several kernels.

    :param delay: one way, for every batch.
    """

    def __init__(self, clock: Clock, delay: timedelta = timedelta(0)) -> None:
        self.pipes: list[MemoryPipe] = []
        self.delay = delay
        self._clock = clock
        self._listeners: dict[str, Callable[[Pipe], PipeHandler]] = {}
        self._cut: set[frozenset[str]] = set()

    def transport(self, address: str) -> MemoryTransport:
        """Return the transport of the host at *address*."""
        return MemoryTransport(self, address)

    def listen(self, address: str, accept: Callable[[Pipe], PipeHandler]) -> None:
        """Accept pipes at *address*."""
        self._listeners[address] = accept

    def unlisten(self, address: str) -> None:
        """Refuse pipes at *address*."""
        self._listeners.pop(address, None)

    def partition(self, one: str, other: str) -> None:
        """Lose all traffic between two addresses, without a close."""
        self._cut.add(frozenset((one, other)))
        for pipe in self.pipes:
            if {pipe.source, pipe.target} == {one, other}:
                pipe.silent = True

    def heal(self, one: str, other: str) -> None:
        """Let new pipes between two addresses work; silent ones stay silent."""
        self._cut.discard(frozenset((one, other)))

    def connect(
        self, source: str, target: str, make_handler: Callable[[Pipe], PipeHandler]
    ) -> MemoryPipe:
        """Open a pipe from *source* to *target*."""
        near, far = MemoryPipe(self, source, target), MemoryPipe(self, target, source)
        near.handler = make_handler(near)
        accept = self._listeners.get(target)
        if frozenset((source, target)) in self._cut:
            near.silent = True
        elif accept is None:
            self.deliver_later(near, near.end, "refused")
        else:
            near.other, far.other = far, near
            far.handler = accept(far)
        self.pipes += [near, far]
        return near

    def deliver_later(self, _pipe: MemoryPipe, call: Callable[..., None], *args: object) -> None:
        """Run *call* after the delay."""
        self._clock.call_later(self.delay, call, *args)


class MemoryTransport:
    """The ``transport`` service of one host; see ``Transport``."""

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self._network = network
        self._address = address

    def start(self) -> None:
        """Nothing to do before ``listen``."""

    def stop(self) -> None:
        """Refuse new pipes."""
        self._network.unlisten(self._address)

    def listen(self, accept: Callable[[Pipe], PipeHandler]) -> None:
        """Accept pipes at this host's address."""
        self._network.listen(self._address, accept)

    def dial(self, address: str, make_handler: Callable[[Pipe], PipeHandler]) -> Pipe:
        """Open a pipe."""
        return self._network.connect(self._address, address, make_handler)
