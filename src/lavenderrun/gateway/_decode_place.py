"""A place for a stream at a decode engine: slot, open connection and what the engine holds."""

from __future__ import annotations

from lavenderrun.gateway._connection import Connection
from lavenderrun.gateway._decode_hold import DecodeHold
from lavenderrun.gateway._decode_slot_queue import DecodeSlotReservation
from lavenderrun.types import HoldId, Member


class DecodePlace:
    """A decode slot, a connection to its engine that has carried no call, and a hold there.

    :param connection: ``None`` when the stream needs a new one.
    :param hold: ``None`` when the engine reserves nothing for the stream.
    :ivar member: the engine.
    :ivar reserved_at: when its slot was reserved.
    """

    def __init__(
        self,
        slot: DecodeSlotReservation,
        connection: Connection | None,
        hold: DecodeHold | None = None,
    ) -> None:
        self.member: Member = slot.member
        self.reserved_at = slot.reserved_at
        self._slot = slot
        self._connection = connection
        self._hold = hold

    def take_connection(self) -> Connection | None:
        """Return the connection once, for the first send."""
        self._slot.end_pending()
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.is_kept = False
        return connection

    def use_hold(self) -> HoldId | None:
        """Return the hold once, for the first send, ``None`` without one that is still good."""
        return None if self._hold is None else self._hold.use()

    def free_offered_hold(self) -> None:
        """Free the hold, because the call that named it did not run."""
        if self._hold is not None:
            self._hold.free_offered()

    def release(self) -> None:
        """Free the slot and an unused hold; close the connection if nothing was sent over it."""
        connection = self.take_connection()
        if self._hold is not None:
            self._hold.drop(connection)
        elif connection is not None:
            connection.abort()
        self._slot.free()
