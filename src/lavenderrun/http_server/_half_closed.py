"""Callers that closed their writing side: they may still read, or be gone."""

from __future__ import annotations

import socket
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Final

from lavenderrun.kernel import Clock, Timer

FIRST_CHECK: Final = timedelta(milliseconds=10)
MAX_CHECK_INTERVAL: Final = timedelta(milliseconds=250)
"""Bounds of the time between two checks, which doubles: the first are for a caller that was gone
when it closed, the others for one that goes later."""

PROBE_INTERVAL: Final = timedelta(seconds=1)
MAX_PROBES: Final = 4
"""Probes of one connection; the time between two doubles. Clients accept few interim answers."""


class HalfClosedWatch:
    """Finds out whether a caller that closed its writing side is gone.

    A caller that is gone sends nothing more, but its host answers a probe by a reset.

    :param send_probe: sends bytes that change no answer, if there are such bytes now.
    :param on_gone: called once when the connection is broken.
    """

    def __init__(
        self,
        clock: Clock,
        transport: Any,
        send_probe: Callable[[], None],
        on_gone: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._transport = transport
        self._send_probe = send_probe
        self._on_gone = on_gone
        self._interval = FIRST_CHECK
        self._probes = 0
        self._probe_due = clock.now()
        self._timer: Timer | None = None

    def start(self) -> None:
        """Send the first probe and check for its result from now on."""
        now = self._clock.now()
        if self._probes < MAX_PROBES and now >= self._probe_due:
            self._probe_due = now + PROBE_INTERVAL * 2**self._probes
            self._probes += 1
            self._send_probe()
        self._timer = self._clock.call_later(self._interval, self._check)
        self._interval = min(self._interval * 2, MAX_CHECK_INTERVAL)

    def stop(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        handle = self._transport.getHandle()
        if handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._on_gone()
        else:
            self.start()
