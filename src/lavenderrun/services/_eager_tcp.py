"""TCP connections that send at once what the socket takes."""

from __future__ import annotations

from typing import Any

from twisted.internet.tcp import Port, Server


class EagerServer(Server):
    """Writes without a turn of the loop; the loop is asked only for what is left.

    A token frame is small and its caller reads: to ask the loop for a writable socket, and then
    no longer, costs more than the write itself.
    """

    _asked = False

    def startWriting(self) -> None:  # noqa: N802
        """Send what is buffered, or ask the loop when nothing is, or the socket is full."""
        if not self._asked and self._tempDataLen and self.doWrite() is None and not self._is_left():
            return
        self._asked = True
        super().startWriting()

    def stopWriting(self) -> None:  # noqa: N802
        """Ask the loop no longer."""
        self._asked = False
        super().stopWriting()

    def _is_left(self) -> bool:
        return bool(self._tempDataLen or self.dataBuffer)


class EagerPort(Port):
    """A listening port whose connections are eager."""

    transport: Any = EagerServer
