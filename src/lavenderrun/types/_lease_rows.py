"""Rows of the leases that one host at a time holds."""

from __future__ import annotations

from typing import NewType

import msgspec

from lavenderrun.types._ids import BootId, FencingNumber, HostId

LeaseName = NewType("LeaseName", str)


class LeaseRow(msgspec.Struct, frozen=True):
    """A lease as the table service keeps it.

    :param holder: empty when it was given up.
    :param fencing: grows with each change of holder.
    """

    holder: HostId
    boot: BootId
    fencing: FencingNumber
