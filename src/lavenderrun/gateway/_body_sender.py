"""Writes a long body in pieces, as fast as its peer reads."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

PIECE_BYTES: Final = 64 << 10
"""Size of a piece; a transport takes about as much before it asks for a pause."""


class BodySender:
    """A producer of a body that is in memory once, and not again in the buffer of its transport.

    :param write: writes a piece.
    :param on_end: called after the last piece.
    """

    def __init__(
        self, body: bytes, write: Callable[[bytes], None], on_end: Callable[[], None]
    ) -> None:
        self._rest = memoryview(body)
        self._write = write
        self._on_end = on_end
        self._is_paused = False
        self._is_over = False

    def resumeProducing(self) -> None:  # noqa: N802
        """Write pieces until the transport asks for a pause."""
        self._is_paused = False
        while not (self._is_paused or self._is_over):
            piece, self._rest = bytes(self._rest[:PIECE_BYTES]), self._rest[PIECE_BYTES:]
            self._write(piece)
            if not self._rest and not self._is_over:
                # an empty view would keep the body
                self.stopProducing()
                self._on_end()

    def pauseProducing(self) -> None:  # noqa: N802
        """Write nothing until the transport asks for more."""
        self._is_paused = True

    def stopProducing(self) -> None:  # noqa: N802
        """Write nothing more, and forget the body."""
        self._is_over = True
        self._rest = memoryview(b"")
