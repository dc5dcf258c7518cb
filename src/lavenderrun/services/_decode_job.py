"""One decode at an agent: its seat, and its output until the entry holds it."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from lavenderrun.kernel import Clock, Timer
from lavenderrun.types import (
    BackendTask,
    FinishReason,
    Frame,
    Link,
    Reserve,
    Start,
)


class DecodeJob:
    """State of one attempt; output is kept from the first token that is not acknowledged."""

    def __init__(self, link: Link, order: Reserve) -> None:
        self.link = link
        self.order = order
        self.start: Start | None = None
        self.running: BackendTask | None = None
        self.has_seat = False
        self.on_first: Callable[[], None] | None = None
        self.imported: timedelta | None = None
        self._timer: Timer | None = None
        self._begun = False
        self._note: Callable[[int], None] = _ignore
        self._base = 0
        self._kept: list[str] = []
        self._kept_from = 0
        self._acked = 0
        self._finish: FinishReason | None = None

    @property
    def finished(self) -> bool:
        """Whether the engine gave the whole answer."""
        return self._finish is not None

    @property
    def is_acked(self) -> bool:
        """Whether the entry holds the whole answer; its end counts as one more token."""
        return self.finished and self._acked > self._kept_from + len(self._kept)

    def begin(self, offset: int, note: Callable[[int], None]) -> None:
        """Enter the running state; output goes on from *offset*, *note* takes its length."""
        self._begun = True
        self._note = note
        self._base = self._kept_from = offset
        self.forget()

    def take_tokens(self, offset: int, tokens: list[str], finish: FinishReason | None) -> None:
        """Take the engine's next tokens, keep them and send them on."""
        if self.on_first is not None:
            self.on_first()
            self.on_first = None
        self._kept += tokens
        self._finish = finish
        self._note(offset + len(tokens))
        self._send(self._base + offset, tokens)

    def drop_before(self, offset: int) -> None:
        """Forget output that the entry holds."""
        self._acked = max(self._acked, offset)
        dropped = min(max(0, offset - self._kept_from), len(self._kept))
        del self._kept[:dropped]
        self._kept_from += dropped

    def resume(self, link: Link, offset: int) -> bool:
        """Go on over *link* from *offset*; return whether that output is still kept."""
        if not self._begun or offset < self._kept_from:
            return False
        self.link = link
        self.forget()
        self.drop_before(offset)
        self._send(self._kept_from, list(self._kept))
        return True

    def expect(
        self, clock: Clock, delay: timedelta, call: Callable[..., None], *args: object
    ) -> None:
        """Run *call* after *delay* unless the job moves on before."""
        self.forget()
        self._timer = clock.call_later(delay, call, *args)

    def forget(self) -> None:
        """Cancel what :meth:`expect` planned."""
        if self._timer is not None:
            self._timer.cancel()

    def _send(self, offset: int, tokens: list[str]) -> None:
        if tokens or self._finish is not None:
            key = (self.order.request, self.order.attempt)
            self.link.send(Frame(*key, offset, tokens, self._finish, self.imported))
            self.imported = None


def _ignore(_tokens: int) -> None:
    """Take a length that nobody asked for."""
