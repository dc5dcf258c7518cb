"""MessagePack encoding of message batches between the project's own processes."""

from __future__ import annotations

from functools import reduce
from operator import or_
from typing import Any

import msgspec

from lavenderrun.types import MESSAGES, Batch, DocumentVersion, Message


class WireError(ValueError):
    """Bytes from a peer that are not a batch."""


class WireCodec:
    """Encodes and decodes batches of all messages that are registered when it is created."""

    def __init__(self) -> None:
        union: Any = reduce(or_, (kind for _, kind in MESSAGES))
        batch: Any = msgspec.defstruct(
            "WireBatch",
            [("version", int), ("messages", list[union])],
            frozen=True,
            array_like=True,
        )
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(batch)

    def encode(self, version: DocumentVersion, messages: list[Message]) -> bytes:
        """Return the bytes of one batch."""
        return self._encoder.encode(Batch(version, messages))

    def decode(self, data: bytes) -> Batch:
        """Return the batch in *data*.

        :raises WireError: when the bytes are not a batch of known messages.
        """
        try:
            batch = self._decoder.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            raise WireError(str(error)) from None
        return Batch(DocumentVersion(batch.version), batch.messages)
