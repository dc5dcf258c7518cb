"""In-memory transport between kernels in one process, with delay, loss and partitions."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import ClassVar

from lavenderrun.kernel import Clock
from lavenderrun.types import Pipe, PipeHandler


class MemoryPipe:
    """One end of an in-memory pipe.

    :ivar silent: everything that this end sends is lost, including its close.
    """

    def __init__(self, network: MemoryNetwork, source: str, target: str) -> None:
        self.handler: PipeHandler | None = None
        self.peer: MemoryPipe | None = None
        self.silent = False
        self.source = source
        self.target = target
        self._network = network
        self._closed = False

    def send(self, data: bytes) -> None:
        """Send one batch, which arrives after the network's delay."""
        if not self._closed and not self.silent and self.peer is not None:
            self._network.deliver_later(self, self.peer.receive, data)

    def close(self) -> None:
        """Close this end; the other end sees it after the delay."""
        if self._closed:
            return
        self._closed = True
        if not self.silent and self.peer is not None:
            self._network.deliver_later(self, self.peer.receive_close, "closed by peer")

    def accept_with(self, accept: Callable[[Pipe], PipeHandler]) -> None:
        """Pass this end to the listener's *accept* and keep the handler that it returns."""
        if not self._closed:
            self.handler = accept(self)

    def receive(self, data: bytes) -> None:
        """Handle a batch from the other end."""
        if not self._closed and self.handler is not None:
            self.handler.received(data)

    def receive_close(self, reason: str) -> None:
        """Handle the close of the other end, or a refused connection."""
        if not self._closed and self.handler is not None:
            self._closed = True
            self.handler.closed(reason)


class MemoryNetwork:
    """Network that connects the transports of several kernels.

    :param delay: one-way delay of every batch and close.
    """

    def __init__(self, clock: Clock, delay: timedelta = timedelta(0)) -> None:
        self.pipes: list[MemoryPipe] = []
        self.delay = delay
        self._clock = clock
        self._listeners: dict[str, Callable[[Pipe], PipeHandler]] = {}
        self._partitioned: set[frozenset[str]] = set()

    def transport(self, address: str) -> MemoryTransport:
        """Return the transport of the host at *address*."""
        return MemoryTransport(self, address)

    def listen(self, address: str, accept: Callable[[Pipe], PipeHandler]) -> None:
        """Accept pipes at *address*."""
        self._listeners[address] = accept

    def unlisten(self, address: str) -> None:
        """Refuse new pipes at *address*."""
        self._listeners.pop(address, None)

    def partition(self, one: str, other: str) -> None:
        """Lose all traffic between two addresses; open pipes go silent and do not close."""
        self._partitioned.add(frozenset((one, other)))
        for pipe in self.pipes:
            if {pipe.source, pipe.target} == {one, other}:
                pipe.silent = True

    def heal(self, one: str, other: str) -> None:
        """Let new pipes between two addresses work; those silenced before stay silent."""
        self._partitioned.discard(frozenset((one, other)))

    def connect(
        self, source: str, target: str, make_handler: Callable[[Pipe], PipeHandler]
    ) -> MemoryPipe:
        """Open a pipe from *source* to *target*."""
        caller_end, listener_end = (
            MemoryPipe(self, source, target),
            MemoryPipe(self, target, source),
        )
        caller_end.handler = make_handler(caller_end)
        accept = self._listeners.get(target)
        if frozenset((source, target)) in self._partitioned:
            caller_end.silent = True
        elif accept is None:
            self.deliver_later(caller_end, caller_end.receive_close, "refused")
        else:
            caller_end.peer, listener_end.peer = listener_end, caller_end
            listener_end.handler = accept(listener_end)
        self.pipes += [caller_end, listener_end]
        return caller_end

    def deliver_later(self, _pipe: MemoryPipe, call: Callable[..., None], *args: object) -> None:
        """Run *call*, a method of a pipe end, after the network's delay."""
        self._clock.call_later(self.delay, call, *args)


class MemoryTransport:
    """The ``transport`` service of one host; implements ``Transport``."""

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self._network = network
        self._address = address

    def start(self) -> None:
        """Do nothing; pipes are accepted after :meth:`listen`."""

    def stop(self) -> None:
        """Refuse new pipes to this host."""
        self._network.unlisten(self._address)

    def listen(self, accept: Callable[[Pipe], PipeHandler]) -> None:
        """Accept pipes to this host."""
        self._network.listen(self._address, accept)

    def dial(self, address: str, make_handler: Callable[[Pipe], PipeHandler]) -> Pipe:
        """Open a pipe from this host to *address*."""
        return self._network.connect(self._address, address, make_handler)
