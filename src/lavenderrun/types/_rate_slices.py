"""Rows of rate slices: which host holds which part of the client accounts' rates."""

from __future__ import annotations

from datetime import timedelta
from typing import NewType

import msgspec

from lavenderrun.types._ids import BootId, HostId

RateSliceId = NewType("RateSliceId", str)

NO_HOST = HostId("")
NO_BOOT = BootId("")


class RateSliceRow(msgspec.Struct, frozen=True):
    """A rate slice of a group of client accounts, as stored in the table service.

    :param holder: host that may use the slice; empty when the slice is free.
    :param boot: the run of the holder's process.
    :param standby: host that may take over the slice once it no longer renews the holder's lease.
    :param quiet: how long a freed slice stays unused, because loans from it may still be in use.
    """

    holder: HostId = NO_HOST
    boot: BootId = NO_BOOT
    standby: HostId = NO_HOST
    standby_boot: BootId = NO_BOOT
    quiet: timedelta = timedelta(0)
