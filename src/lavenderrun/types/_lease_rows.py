"""Rows of leases, each of which one host at a time holds."""

from __future__ import annotations

from typing import NewType

import msgspec

from lavenderrun.types._ids import BootId, FencingNumber, HostId

LeaseName = NewType("LeaseName", str)


class LeaseRow(msgspec.Struct, frozen=True):
    """A lease as stored in the table service.

    :param holder: host that holds the lease, empty when it was given up.
    :param fencing: number that grows with each change of holder.
    """

    holder: HostId
    boot: BootId
    fencing: FencingNumber
