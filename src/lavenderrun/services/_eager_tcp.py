"""TCP connections that write to their socket at once."""

from __future__ import annotations

from typing import Any

from twisted.internet.tcp import Port, Server


class EagerServer(Server):
    """Writes to the socket at once; the event loop sends only what the socket did not accept.

    A frame with a token is small and its caller usually reads promptly, so that registering the
    socket for writing and removing it again costs more than the write itself.
    """

    _is_registered = False

    def startWriting(self) -> None:  # noqa: N802
        """Write the buffer; register for writing if it is empty or the socket is full."""
        if (
            not self._is_registered
            and self._tempDataLen
            and self.doWrite() is None
            and not self._has_unsent_data()
        ):
            return
        self._is_registered = True
        super().startWriting()

    def stopWriting(self) -> None:  # noqa: N802
        """Stop waiting for the socket to become writable."""
        self._is_registered = False
        super().stopWriting()

    def _has_unsent_data(self) -> bool:
        return bool(self._tempDataLen or self.dataBuffer)


class EagerPort(Port):
    """A listening port whose connections write at once."""

    transport: Any = EagerServer
