"""Values that rows of the table service hold."""

from __future__ import annotations

import msgspec

from lavenderrun.types._ids import BootId, DataCentre, HostId


class EntryHost(msgspec.Struct, frozen=True):
    """An entry that other entries may link to."""

    host: HostId
    boot: BootId
    data_centre: DataCentre
    address: str
