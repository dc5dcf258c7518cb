"""Assembly of a call's reply on the entry."""

from __future__ import annotations

from collections.abc import Callable

from lavenderrun.types import KeptReply, Refused, ReplyBody, ReplySink

MAX_KEPT_BODY_BYTES = 16 << 10
"""Largest reply body that is stored in the table service for the caller's retry."""


class NullSink:
    """Discards the reply of a call whose caller is gone."""

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Ignore the head."""

    def put_body(self, data: bytes) -> None:
        """Ignore the data."""

    def finish(self) -> None:
        """Ignore the end."""

    def refuse(self, refused: Refused) -> None:
        """Ignore the refusal."""


class ReplyAssembler:
    """Passes the reply on by offset, so that each byte reaches the caller once.

    :ivar received: bytes of the body so far.
    :ivar on_head: called when the head arrives.
    :param keep: whether to keep a copy for the caller's retry.
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
        """Pass status and headers on, once; the agent sends them again when it resumes a reply."""
        if self.has_head:
            return
        self.has_head = True
        self.on_head()
        self._status, self._headers = status, headers
        self.sink.put_head(status, headers)

    def take_body(self, part: ReplyBody) -> bool:
        """Pass the new bytes of a part on; return ``False`` when bytes before it are missing."""
        if not self.has_head or part.offset > self.received:
            return False
        data = part.data[self.received - part.offset :]
        if data:
            self.received += len(data)
            self._keep_data(data)
            self.sink.put_body(data)
        self.is_whole = part.last
        return True

    def replay(self, kept: KeptReply) -> None:
        """Pass a stored reply on."""
        self.take_head(kept.status, kept.headers)
        if kept.body:
            self.sink.put_body(kept.body)
        self.is_whole = True

    def make_kept_reply(self) -> KeptReply:
        """Return the reply to store for the caller's retry, without a body that is too large."""
        whole = self.received <= MAX_KEPT_BODY_BYTES
        body = bytes(self._body) if whole else b""
        return KeptReply(self._status, self._headers, body, whole)

    def _keep_data(self, data: bytes) -> None:
        if self._keep and self.received <= MAX_KEPT_BODY_BYTES:
            self._body += data
