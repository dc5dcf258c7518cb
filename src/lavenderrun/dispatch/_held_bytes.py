"""Decides who may hold bytes of requests and answers, within one limit for the whole process.

Room is granted for the most that a holder may come to need, so whoever has it can go on to its end,
and nobody who holds a part waits for somebody who does the same. Answers wait for room, requests
are refused without it.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta
from enum import Enum
from typing import Final

SMALL_BYTES: Final = 64 << 10
"""Bytes that each holder may have without room; most requests and answers are smaller."""

REQUEST_SHARE: Final = 0.5
"""Share of the limit for requests, so that answers to those that are held find room. A single
request may take more."""

STALL_TIME: Final = timedelta(seconds=2)
"""Time without progress after which a caller does not read the answer that is held for it."""


class HolderKind(Enum):
    """What bytes are held for."""

    REQUEST = "request"
    ANSWER = "answer"
    EVENT = "event"
    OUTPUT = "output"


class ByteHolder:
    """Bytes of one request, answer or unfinished event.

    :ivar group: whom the bytes come from, or wait for; room goes to the group that holds least.
    :ivar need: the most that the holder may come to hold.
    :ivar held: bytes that it holds now.
    :ivar has_room: whether it may hold all that it needs.
    :ivar progressed: when a caller last took a part of its answer, which is held to its end.
    """

    def __init__(self, kind: HolderKind, group: str, need: int, now: datetime) -> None:
        self.kind = kind
        self.group = group
        self.need = need
        self.held = 0
        self.has_room = False
        self.progressed = now

    @property
    def reserved(self) -> int:
        """Bytes that count against the limit."""
        return max(self.need, self.held) if self.has_room else self.held


class HeldBytes:
    """Grants room to holders.

    :param limit: bytes that all holders together may have.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._holders: dict[ByteHolder, None] = {}
        self._waiting: dict[ByteHolder, None] = {}
        self._reserved = dict.fromkeys(HolderKind, 0)
        self._groups: dict[str, int] = {}

    @property
    def is_awaited(self) -> bool:
        """Whether anybody waits for room."""
        return bool(self._waiting)

    @property
    def held(self) -> dict[HolderKind, int]:
        """Bytes held now, by kind."""
        held = dict.fromkeys(HolderKind, 0)
        for holder in self._holders:
            held[holder.kind] += holder.held
        return held

    def begin(self, kind: HolderKind, group: str, need: int, now: datetime) -> ByteHolder:
        """Return a new holder, which has nothing yet."""
        holder = ByteHolder(kind, group, need, now)
        self._holders[holder] = None
        return holder

    def add(self, holder: ByteHolder, size: int) -> None:
        """Count bytes that a holder has taken."""
        self._change(holder, holder.held + size, has_room=holder.has_room)

    def request_room(self, holder: ByteHolder) -> bool:
        """Grant room for all that a holder needs, if there is enough; return whether it has it."""
        if not holder.has_room and self._fits(holder):
            self._change(holder, holder.held, has_room=True)
        return holder.has_room

    def wait(self, holder: ByteHolder) -> None:
        """Let a holder wait until :meth:`grant_waiting` returns it."""
        self._waiting[holder] = None

    def hold_output(self, group: str, size: int, now: datetime) -> ByteHolder:
        """Return a holder of an answer that is whole; its bytes are there, so it has room."""
        holder = self.begin(HolderKind.OUTPUT, group, size, now)
        self._change(holder, size, has_room=True)
        return holder

    def end(self, holder: ByteHolder) -> None:
        """Give back all that a holder has; a second call does nothing."""
        if holder in self._holders:
            self._change(holder, 0, has_room=False)
            del self._holders[holder]
            self._waiting.pop(holder, None)

    def grant_waiting(self) -> list[ByteHolder]:
        """Return those who waited and have room now: of the group that holds least, then in order.

        Those behind one who lacks room wait too, so that large answers have their turn.
        """
        granted: list[ByteHolder] = []
        while self._waiting:
            holder = min(self._waiting, key=lambda each: self._groups.get(each.group, 0))
            if not self.request_room(holder):
                break
            del self._waiting[holder]
            granted.append(holder)
        return granted

    def find_stalled(self, now: datetime) -> ByteHolder | None:
        """Return the largest answer whose caller does not read, while others wait for room."""
        stalled: Iterable[ByteHolder] = (
            holder
            for holder in self._holders
            if holder.kind is HolderKind.OUTPUT and now - holder.progressed >= STALL_TIME
        )
        return max(stalled, key=lambda each: each.held, default=None) if self._waiting else None

    def _fits(self, holder: ByteHolder) -> bool:
        more = max(0, holder.need - holder.held)
        if sum(self._reserved.values()) + more > self.limit:
            return False
        others = self._reserved[HolderKind.REQUEST] - holder.reserved
        if holder.kind is not HolderKind.REQUEST or not others:
            return True
        return others + holder.need <= self.limit * REQUEST_SHARE

    def _change(self, holder: ByteHolder, held: int, *, has_room: bool) -> None:
        before, held_before = holder.reserved, holder.held
        holder.held, holder.has_room = held, has_room
        self._reserved[holder.kind] += holder.reserved - before
        group = self._groups.get(holder.group, 0) + held - held_before
        if group:
            self._groups[holder.group] = group
        else:
            self._groups.pop(holder.group, None)
