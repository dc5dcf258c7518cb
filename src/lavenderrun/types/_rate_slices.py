"""Rows of the limit slots: who holds which part of all accounts' rates."""

from __future__ import annotations

from datetime import timedelta
from typing import NewType

import msgspec

from lavenderrun.types._ids import BootId, HostId

RateSliceId = NewType("RateSliceId", str)

NO_HOST = HostId("")
NO_BOOT = BootId("")


class RateSliceRow(msgspec.Struct, frozen=True):
    """One slot of a group of accounts, as the table service keeps it.

    :param holder: the host that may spend the slot; empty when the slot is free.
    :param boot: the life of the holder's process.
    :param standby: the host that may take the slot over once it no longer vouches for the holder.
    :param quiet: how long a freed slot must rest, for loans out of it may still be in use.
    """

    holder: HostId = NO_HOST
    boot: BootId = NO_BOOT
    standby: HostId = NO_HOST
    standby_boot: BootId = NO_BOOT
    quiet: timedelta = timedelta(0)
