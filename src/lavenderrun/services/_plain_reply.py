"""The reply of one call as it arrives at the entry."""

from __future__ import annotations

from collections.abc import Callable

from lavenderrun.types import KeptReply, Refused, ReplyBody, ReplySink

KEPT_BYTES = 16 << 10
"""Largest body that is kept in the table service for the caller's next try."""


class NullSink:
    """Takes the reply of a call whose caller is gone."""

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Drop it."""

    def put_body(self, data: bytes) -> None:
        """Drop it."""

    def finish(self) -> None:
        """Drop it."""

    def refuse(self, refused: Refused) -> None:
        """Drop it."""


class ReplyAssembler:
    """Puts the reply together by offset, so that each byte reaches the caller once.

    :param keep: also keep a copy for the caller's next try.
    """

    def __init__(self, sink: ReplySink, *, keep: bool) -> None:
        self.sink = sink
        self.received = 0
        self.has_head = False
        self.on_head: Callable[[], None] = lambda: None
        self.is_whole = False
        self._keep = keep
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()

    def take_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Hand status and headers on; those of a resumed reply are dropped."""
        if self.has_head:
            return
        self.has_head = True
        self.on_head()
        self._status, self._headers = status, headers
        self.sink.put_head(status, headers)

    def take_body(self, part: ReplyBody) -> bool:
        """Hand the new bytes of a part on; return ``False`` when some before it are missing."""
        if not self.has_head or part.offset > self.received:
            return False
        data = part.data[self.received - part.offset :]
        if data:
            self.received += len(data)
            self._copy(data)
            self.sink.put_body(data)
        self.is_whole = part.last
        return True

    def replay(self, kept: KeptReply) -> None:
        """Hand a kept reply on."""
        self.take_head(kept.status, kept.headers)
        if kept.body:
            self.sink.put_body(kept.body)
        self.is_whole = True

    def copy(self) -> KeptReply:
        """Return the reply for the caller's next try."""
        whole = self.received <= KEPT_BYTES
        body = bytes(self._body) if whole else b""
        return KeptReply(self._status, self._headers, body, whole)

    def _copy(self, data: bytes) -> None:
        if self._keep and self.received <= KEPT_BYTES:
            self._body += data
