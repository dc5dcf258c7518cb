"""One decode at an agent: its slot, and its output until the entry acknowledges it."""

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
    """State of one decode attempt, with the output that the entry has not acknowledged yet."""

    def __init__(self, link: Link, reserve: Reserve) -> None:
        self.link = link
        self.reserve = reserve
        self.start: Start | None = None
        self.task: BackendTask | None = None
        self.has_slot = False
        self.on_first_tokens: Callable[[], None] | None = None
        self.import_time: timedelta | None = None
        self._timer: Timer | None = None
        self._has_begun = False
        self._has_output = False
        self._on_progress: Callable[[int], None] = _ignore_progress
        self._start_offset = 0
        self._kept_tokens: list[str] = []
        self._kept_offset = 0
        self._acked_offset = 0
        self._finish: FinishReason | None = None

    @property
    def is_finished(self) -> bool:
        """Whether the engine has generated the whole answer."""
        return self._finish is not None

    @property
    def is_unanswered(self) -> bool:
        """Whether the decode was started and has no output yet."""
        return self._has_begun and not self._has_output

    @property
    def is_acked(self) -> bool:
        """Whether the entry has acknowledged the whole answer; its end counts as one more token."""
        return self.is_finished and self._acked_offset > self._kept_offset + len(self._kept_tokens)

    def begin(self, offset: int, on_progress: Callable[[int], None]) -> None:
        """Mark the decode as started.

        :param offset: tokens that earlier attempts have delivered; output is numbered from there.
        :param on_progress: called with the number of tokens that this attempt has generated.
        """
        self._has_begun = True
        self._on_progress = on_progress
        self._start_offset = self._kept_offset = offset
        self.cancel_timer()

    def take_tokens(self, offset: int, tokens: list[str], finish: FinishReason | None) -> None:
        """Keep the engine's next tokens and send them to the entry."""
        if self.on_first_tokens is not None:
            self.on_first_tokens()
            self.on_first_tokens = None
        self._has_output = True
        self._kept_tokens += tokens
        self._finish = finish
        self._on_progress(offset + len(tokens))
        self._send(self._start_offset + offset, tokens)

    def drop_before(self, offset: int) -> None:
        """Drop the output before *offset*, which the entry has acknowledged."""
        self._acked_offset = max(self._acked_offset, offset)
        dropped = min(max(0, offset - self._kept_offset), len(self._kept_tokens))
        del self._kept_tokens[:dropped]
        self._kept_offset += dropped

    def resume(self, link: Link, offset: int) -> bool:
        """Send output from *offset* on over *link*; return whether it is still kept."""
        if not self._has_begun or offset < self._kept_offset:
            return False
        self.link = link
        self.cancel_timer()
        self.drop_before(offset)
        self._send(self._kept_offset, list(self._kept_tokens))
        return True

    def schedule(
        self, clock: Clock, delay: timedelta, call: Callable[..., None], *args: object
    ) -> None:
        """Run *call* after *delay*, instead of any call scheduled before."""
        self.cancel_timer()
        self._timer = clock.call_later(delay, call, *args)

    def cancel_timer(self) -> None:
        """Cancel the call that :meth:`schedule` set up."""
        if self._timer is not None:
            self._timer.cancel()

    def _send(self, offset: int, tokens: list[str]) -> None:
        if tokens or self._finish is not None:
            key = (self.reserve.request, self.reserve.attempt)
            self.link.send(Frame(*key, offset, tokens, self._finish, self.import_time))
            self.import_time = None


def _ignore_progress(_tokens: int) -> None:
    """Do nothing: the decode has not begun."""
