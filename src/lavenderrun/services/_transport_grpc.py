"""Service ``transport`` over gRPC: one bidirectional stream of byte batches per pair of peers.

``grpc.aio`` runs on the asyncio loop under the Twisted reactor; other services don't use asyncio.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any, ClassVar

import grpc
from eliot import log_message
from twisted.internet.defer import Deferred

from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.services._certificates import make_link_credentials
from lavenderrun.types import Pipe, PipeHandler, Step, StepError

GRPC_SERVICE = "lavenderrun.Peer"
GRPC_METHOD = "Exchange"
MAX_BATCH_BYTES = 64 << 20
MAX_QUEUED_BYTES = 64 << 20
GRPC_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_BATCH_BYTES),
    ("grpc.max_send_message_length", MAX_BATCH_BYTES),
    ("grpc.so_reuseport", 0),
    # a redial must not reuse the TCP connection that went silent
    ("grpc.use_local_subchannel_pool", 1),
)


class GrpcPipe:
    """Implements ``Pipe`` over one stream; queues up to :data:`MAX_QUEUED_BYTES` in order."""

    def __init__(self, peer: str) -> None:
        self.handler: PipeHandler | None = None
        self._peer = peer
        self._send_queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._queued_bytes = 0
        self._closed = False

    def send(self, data: bytes) -> None:
        """Queue one batch; the pipe ends when a slow peer lets the queue grow too long."""
        if self._closed:
            return
        self._queued_bytes += len(data)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self.end("peer reads too slowly")
            return
        self._send_queue.put_nowait(data)

    def close(self) -> None:
        """Close the stream."""
        if not self._closed:
            self._closed = True
            self._send_queue.put_nowait(None)

    def end(self, reason: str) -> None:
        """Close the stream and tell the handler of the pipe why."""
        if not self._closed:
            self.close()
            if self.handler is not None:
                self.handler.closed(reason)

    async def drain_queue(self) -> AsyncIterator[bytes]:
        """Yield the queued batches until the pipe is closed."""
        while (data := await self._send_queue.get()) is not None:
            self._queued_bytes -= len(data)
            yield data

    async def read(self, incoming: Any) -> None:
        """Pass received batches to the handler until the stream ends or the pipe is closed."""
        reason = "closed by peer"
        try:
            async for data in incoming:
                if self._closed or self.handler is None:
                    return
                self.handler.received(data)
        except grpc.RpcError as error:
            reason = getattr(error, "details", lambda: "")() or "stream failed"
        self.end(reason)


class GrpcTransport:
    """Implements ``Transport``: opens and accepts gRPC streams.

    :param address: where to listen, as IP address and port.
    :param server_credentials: TLS for accepted streams, ``None`` for plain TCP.
    :param channel_credentials: TLS for dialled streams, ``None`` for plain TCP.
    """

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(
        self,
        address: str,
        *,
        server_credentials: Any = None,
        channel_credentials: Any = None,
    ) -> None:
        self._address = address
        self._server_credentials = server_credentials
        self._channel_credentials = channel_credentials
        self._server: Any = None
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._accept: Callable[[Pipe], PipeHandler] | None = None

    def start(self) -> None:
        """Do nothing: the server starts in ``listen``."""

    def stop(self) -> Deferred[None]:
        """Close the server and every stream."""
        return Deferred.fromFuture(asyncio.ensure_future(self._stop()))

    def listen(self, accept: Callable[[Pipe], PipeHandler]) -> Deferred[None]:
        """Accept streams at the address of this transport.

        :raises StepError: when the address can't be bound.
        """
        self._accept = accept
        return Deferred.fromFuture(asyncio.ensure_future(self._listen()))

    def dial(self, address: str, make_handler: Callable[[Pipe], PipeHandler]) -> Pipe:
        """Open a stream to *address*; failures are reported to the handler's ``closed``."""
        pipe = GrpcPipe(address)
        pipe.handler = make_handler(pipe)
        self._start_task(self._serve_dialled(address, pipe))
        return pipe

    async def _listen(self) -> None:
        self._server = grpc.aio.server(options=GRPC_OPTIONS)
        handler = grpc.stream_stream_rpc_method_handler(self._serve_accepted)
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(GRPC_SERVICE, {GRPC_METHOD: handler}),)
        )
        try:
            if self._server_credentials is None:
                self._server.add_insecure_port(self._address)
            else:
                self._server.add_secure_port(self._address, self._server_credentials)
        except RuntimeError as error:
            raise StepError(Step.LINK, self._address, f"can't listen: {error}") from None
        await self._server.start()

    async def _serve_accepted(self, incoming: Any, context: Any) -> AsyncIterator[bytes]:
        assert self._accept is not None
        pipe = GrpcPipe(context.peer())
        pipe.handler = self._accept(pipe)
        reader = self._start_task(pipe.read(incoming))
        try:
            async for data in pipe.drain_queue():
                yield data
        finally:
            reader.cancel()
            pipe.end("stream ended")

    async def _serve_dialled(self, address: str, pipe: GrpcPipe) -> None:
        if self._channel_credentials is None:
            channel = grpc.aio.insecure_channel(address, options=GRPC_OPTIONS)
        else:
            channel = grpc.aio.secure_channel(
                address, self._channel_credentials, options=GRPC_OPTIONS
            )
        async with channel:
            call = channel.stream_stream(f"/{GRPC_SERVICE}/{GRPC_METHOD}")()
            reader = self._start_task(pipe.read(call))
            try:
                async for data in pipe.drain_queue():
                    await call.write(data)
            except (grpc.RpcError, asyncio.InvalidStateError):
                pipe.end("stream failed")
            finally:
                call.cancel()
                reader.cancel()

    def _start_task(self, coroutine: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.ensure_future(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._finish_task)
        return task

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and (error := task.exception()) is not None:
            log_message(
                "transport:failed", text="transport: stream failed", error=type(error).__name__
            )

    async def _stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            await self._server.stop(None)


@SERVICES.register("transport")
def make_transport(kernel: Kernel) -> GrpcTransport:
    """Make the transport at the settings' peer address, with TLS when they name certificates.

    :raises CertificateError: names the setting whose file is missing or does not fit.
    """
    address = kernel.settings.hello().address
    credentials = make_link_credentials(kernel.settings.host)
    if credentials is None:
        return GrpcTransport(address)
    return GrpcTransport(
        address,
        server_credentials=credentials.server,
        channel_credentials=credentials.channel,
    )
