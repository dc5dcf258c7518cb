"""Bounded output to a caller that may read slowly."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from eliot import log_message
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from lavenderrun.kernel import Clock, Timer
from lavenderrun.types import FrontSettings


@implementer(IPushProducer)
class Output:
    """Writes to one HTTP request and keeps at most ``settings.buffer`` bytes for a slow caller.

    :param lost: called once when the caller is gone or was dropped.
    :param pace: told ``True`` when the caller is slow, ``False`` when it reads again.
    """

    def __init__(
        self,
        request: Any,
        settings: FrontSettings,
        clock: Clock,
        *,
        lost: Callable[[], None],
        pace: Callable[[bool], None],
    ) -> None:
        self._request = request
        self._settings = settings
        self._clock = clock
        self._lost = lost
        self._pace = pace
        self._kept: list[bytes] = []
        self._size = 0
        self._paused = False
        self._ending: Callable[[], None] | None = None
        self._registered = False
        self._closed = False
        self._stall: Timer | None = None
        request.notifyFinish().addErrback(self._drop)

    @property
    def is_paused(self) -> bool:
        """Whether the caller is slow."""
        return self._paused

    def hold(self, size: int) -> None:
        """Count *size* bytes that the user keeps itself; drop the caller over the bound."""
        self._size += size
        if self._size > self._settings.buffer:
            self._abort("front: caller reads too slowly, buffer full")

    def write(self, data: bytes) -> None:
        """Send *data*, or keep it while the caller is slow; drop the caller over the bound."""
        if self._closed:
            return
        if not self._registered:
            self._registered = True
            self._request.registerProducer(self, True)
        if not self._paused:
            self._request.write(data)
            return
        self._kept.append(data)
        self.hold(len(data))

    def finish(self) -> None:
        """End the answer after what is kept."""
        self._end(self._finish)

    def cut(self) -> None:
        """Close the connection after what is kept, so that the caller sees a broken answer."""
        self._end(self._cut)

    def pauseProducing(self) -> None:  # noqa: N802
        """Keep what comes; the caller is slow."""
        if self._closed or self._paused:
            return
        self._paused = True
        text = "front: caller took nothing for too long"
        self._stall = self._clock.call_later(self._settings.stall, self._abort, text)
        self._pace(True)

    def resumeProducing(self) -> None:  # noqa: N802
        """Send what was kept."""
        if self._closed or not self._paused:
            return
        self._paused = False
        self._stop_stall()
        kept, self._kept, self._size = self._kept, [], 0
        if kept:
            self._request.write(b"".join(kept))
        if self._paused:
            return
        if self._ending is not None:
            self._close(self._ending)
        else:
            self._pace(False)

    def stopProducing(self) -> None:  # noqa: N802
        """Take note of the loss; the request's notice does the rest."""

    def _end(self, ending: Callable[[], None]) -> None:
        if self._closed or self._ending is not None:
            return
        self._ending = ending
        if not self._paused:
            self._close(ending)

    def _close(self, ending: Callable[[], None]) -> None:
        self._closed = True
        self._unregister()
        ending()

    def _finish(self) -> None:
        self._request.finish()

    def _cut(self) -> None:
        self._request.channel.loseConnection()

    def _abort(self, text: str) -> None:
        log_message("front:caller_dropped", text=text, request=self._request.id)
        self._request.channel.forceAbortClient()
        self._drop(None)

    def _drop(self, _reason: object) -> None:
        if self._closed:
            return
        self._closed = True
        self._stop_stall()
        self._kept.clear()
        self._lost()

    def _unregister(self) -> None:
        if self._registered:
            self._registered = False
            self._request.unregisterProducer()

    def _stop_stall(self) -> None:
        if self._stall is not None:
            self._stall.cancel()
            self._stall = None
