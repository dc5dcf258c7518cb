"""Backend servers as they announce themselves to gateways."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from hashlib import sha256

from lavenderrun.types._ids import BackendId, DataCentre, Incarnation, ServiceGroup
from lavenderrun.types._states import BackendRole


class MemberState(Enum):
    """Whether a backend server takes new work.

    ``EVACUATED`` is one that takes none because an operator evacuates its data centre.
    """

    READY = "ready"
    LEAVING = "leaving"
    EVACUATED = "evacuated"


@dataclass(frozen=True)
class Member:
    """A backend server as it last announced itself.

    :param address: IP address and port.
    :param slots: calls that it runs at once.
    :param warmup: how much longer it stays slow after its start.
    :param started: start time in milliseconds since 1970; distinguishes two runs with the same id.
    """

    id: BackendId
    service: ServiceGroup
    address: str
    data_centre: DataCentre
    role: BackendRole
    slots: int
    state: MemberState
    warmup: timedelta
    started: int

    @property
    def incarnation(self) -> Incarnation:
        """Return a short id of this run of the server, the same on every host."""
        return Incarnation(sha256(f"{self.id}@{self.started}".encode()).hexdigest()[:8])
