"""Bodies and events of the engine protocol; see ``docs/design/engine-protocol.md``."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from lavenderrun.types import (
    BackendRole,
    ExportHandle,
    FencingNumber,
    FinishReason,
    ModelName,
    OrderKind,
    RequestId,
)

EVENT_END = b"\n\n"
EVENT_START = b"data: "
MAX_EVENT_BYTES = 1 << 20

T = TypeVar("T")


class EngineProtocolError(ValueError):
    """Bytes that violate the engine protocol."""


class PrefillCall(msgspec.Struct, frozen=True):
    """Body of ``POST /prefill``.

    :param priority: requests with a lower number run first.
    """

    request: RequestId
    model: ModelName
    text: str
    priority: int = 0


class ExportReply(msgspec.Struct, frozen=True):
    """Reply to ``POST /prefill``.

    :param lives: seconds for which the engine keeps the export.
    """

    handle: ExportHandle
    source: str
    tokens: int
    cached: int
    lives: float


class DecodeCall(msgspec.Struct, frozen=True):
    """Body of ``POST /decode``."""

    request: RequestId
    model: ModelName
    handle: ExportHandle
    source: str
    max_tokens: int


class DecodeEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of the stream that answers ``POST /decode``.

    :param offset: position of the first token.
    :param fault: why the decode ended early, empty otherwise.
    """

    offset: int = 0
    tokens: list[str] = []
    finish: FinishReason | None = None
    fault: str = ""


class CancelCall(msgspec.Struct, frozen=True):
    """Body of ``POST /cancel``."""

    request: RequestId


class ReleaseCall(msgspec.Struct, frozen=True):
    """Body of ``POST /release``."""

    handle: ExportHandle


class LoadReply(msgspec.Struct, frozen=True):
    """Reply to ``GET /load``; the numbers may be out of date."""

    running: int
    queued: int
    pieces_free: int


class LoadedReply(msgspec.Struct, frozen=True):
    """Reply to ``GET /loaded``; engines that cannot tell what they have loaded answer 404."""

    model: ModelName
    revision: str
    adapters: list[str]
    role: BackendRole


class OrderCall(msgspec.Struct, frozen=True):
    """Body of ``POST /orders``.

    :param fencing: fencing number; engines that check it refuse one below the highest seen.
    """

    kind: OrderKind
    fencing: FencingNumber
    model: ModelName
    adapter: str = ""
    role: str = ""
    revision: str = ""


class FaultReply(msgspec.Struct, frozen=True):
    """Body of every reply that is not a success."""

    fault: str


def encode_body(body: msgspec.Struct) -> bytes:
    """Return a body as JSON."""
    return msgspec.json.encode(body)


def decode_body(data: bytes, kind: type[T]) -> T:
    """Return the body in *data*.

    :raises EngineProtocolError: when *data* is not a valid *kind*.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise EngineProtocolError(str(error)) from None


def encode_decode_event(event: DecodeEvent) -> bytes:
    """Return a decode event as a server-sent event."""
    return EVENT_START + msgspec.json.encode(event) + EVENT_END


class DecodeEventParser:
    """Splits a stream of bytes into decode events."""

    def __init__(self) -> None:
        self._incomplete = b""
        self._decode = msgspec.json.Decoder(DecodeEvent).decode

    def feed(self, data: bytes) -> list[DecodeEvent]:
        """Return the events that *data* completes.

        :raises EngineProtocolError: when an event is malformed or too large.
        """
        *whole, self._incomplete = (self._incomplete + data).split(EVENT_END)
        if len(self._incomplete) > MAX_EVENT_BYTES:
            msg = f"event larger than {MAX_EVENT_BYTES} bytes"
            raise EngineProtocolError(msg)
        return [self._parse(event) for event in whole]

    def _parse(self, event: bytes) -> DecodeEvent:
        if not event.startswith(EVENT_START):
            msg = "event without data"
            raise EngineProtocolError(msg)
        try:
            return self._decode(event[len(EVENT_START) :])
        except (msgspec.MsgspecError, RecursionError) as error:
            raise EngineProtocolError(str(error)) from None
