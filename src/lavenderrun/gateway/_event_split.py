"""Splits a stream of server-sent events into whole events."""

from __future__ import annotations

import re
from typing import Final

END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
ID_LINE: Final = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Gives whole events and keeps the id of the last one.

    :ivar last_id: id of the last whole event, ``None`` before the first.
    """

    def __init__(self) -> None:
        self._rest = b""
        self.last_id: str | None = None

    @property
    def is_between(self) -> bool:
        """Whether no part of an event is kept back."""
        return not self._rest

    def take(self, data: bytes) -> bytes:
        """Return the whole events that *data* completes."""
        self._rest += data
        end = 0
        for match in END.finditer(self._rest):
            end = match.end()
        whole, self._rest = self._rest[:end], self._rest[end:]
        ids = ID_LINE.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    def reset(self) -> None:
        """Drop a part of an event whose end will not come."""
        self._rest = b""
