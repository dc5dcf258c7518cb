"""Probes of a caller in the middle of an answer in chunks (RFC 9112, section 7.1)."""

from __future__ import annotations

from typing import Final

CHUNK_HEAD: Final = b"1\r\n"
CHUNK_END: Final = b"\r\n"


class OpenChunk:
    """The head of a chunk of one byte, which is sent byte by byte ahead of the data.

    It changes nothing of the body, which goes on with the byte that the chunk takes. An answer that
    is broken off in it can't look complete, as it could after the ``0`` of a last chunk.
    """

    def __init__(self) -> None:
        self._sent = 0

    @property
    def is_open(self) -> bool:
        """Whether a part of the head has been sent."""
        return self._sent > 0

    def take_probe(self) -> bytes:
        """Return the next byte of the head, nothing when all of it has been sent."""
        probe = CHUNK_HEAD[self._sent : self._sent + 1]
        self._sent += len(probe)
        return probe

    def complete(self, data: bytes) -> bytes:
        """Return what is left of the chunk that has the first byte of *data*."""
        left = CHUNK_HEAD[self._sent :] + data[:1] + CHUNK_END
        self._sent = 0
        return left
