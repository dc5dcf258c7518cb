"""Sections of a daemon's settings that services read."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated
from uuid import uuid4

from pydantic import BaseModel, ConfigDict, Field

from lavenderrun.types._ids import (
    BackendId,
    BootId,
    DataCentre,
    HostId,
    KeyDigest,
    ServiceGroup,
)
from lavenderrun.types._messages import Hello
from lavenderrun.types._states import BackendRole, HostRole

Size = Annotated[int, Field(gt=0)]
Wait = Annotated[timedelta, Field(gt=timedelta(0), le=timedelta(days=1))]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")]


class FrontSettings(BaseModel):
    """Section of the callers' HTTP front.

    :param listen: IP number and port; port zero takes a free one.
    :param certificate: PEM file with the certificate chain; plain HTTP without it.
    :param private_key: PEM file with the certificate's key.
    :param max_body: largest body of a model request in bytes.
    :param max_plain_body: largest body of a plain call in bytes; routes may ask for less.
    :param buffer: bytes kept for a caller that reads slowly before its connection is dropped.
    :param idle: how long a connection without a request stays open.
    :param stall: how long a caller may take no byte of its answer.
    :param drain: how long a stop waits for running requests.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    listen: Address = "127.0.0.1:0"
    certificate: str | None = None
    private_key: str | None = None
    max_body: Size = 1 << 20
    max_plain_body: Size = 8 << 20
    buffer: Size = 1 << 18
    idle: Wait = timedelta(seconds=60)
    stall: Wait = timedelta(seconds=30)
    drain: Wait = timedelta(seconds=120)


class AdminSettings(BaseModel):
    """Section of the operators' HTTP front.

    :param listen: IP number and port; port zero takes a free one.
    :param certificate: PEM file with the certificate chain; plain HTTP without it.
    :param private_key: PEM file with the certificate's key.
    :param operators: SHA-256 digests of operators' keys by the name that their changes carry;
        without any, only the pages that need no key are served.
    :param max_body: largest body in bytes.
    :param idle: how long a connection without a request stays open.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    listen: Address = "127.0.0.1:0"
    certificate: str | None = None
    private_key: str | None = None
    operators: dict[Name, Annotated[KeyDigest, Field(pattern=r"^sha256:[0-9a-f]{64}$")]] = {}
    max_body: Size = 4 << 20
    idle: Wait = timedelta(seconds=60)


class MetricsSettings(BaseModel):
    """Section of an agent's page of metrics.

    :param listen: IP number and port; no page without it.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    listen: Address | None = None


class BackendSettings(BaseModel):
    """Section of the backend server beside an agent.

    :param address: IP number and port of the backend server.
    :param connections: idle connections kept to it.
    :param silence: how long a call to a plain service may bring no byte.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    address: Address
    connections: Annotated[int, Field(gt=0)] = 32
    silence: Wait = timedelta(seconds=30)


class StoreSettings(BaseModel):
    """Section of the platform's table service.

    :param dialect: name of the protocol it speaks.
    :param url: of the table service.
    :param attempt_timeout: longest wait for one reply.
    :param deadline: longest time for a call with its retries.
    :param backoff_first: bound of the first jittered pause between attempts.
    :param backoff_most: largest bound of a pause.
    :param in_flight: most attempts at once.
    :param queue: most calls that wait for their turn.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    dialect: str = "http"
    url: str = ""
    attempt_timeout: Wait = timedelta(seconds=1)
    deadline: Wait = timedelta(seconds=5)
    backoff_first: Wait = timedelta(milliseconds=50)
    backoff_most: Wait = timedelta(seconds=2)
    in_flight: Size = 16
    queue: Size = 256


class HostSettings(BaseModel):
    """Section of the host itself.

    :param id: name of this host, unique in the fleet.
    :param listen: IP number and port for the other daemons; they must reach it.
    :param authority: PEM file of the certificate authority for links between daemons; plain TCP
        without it.
    :param certificate: PEM file with this host's certificate chain for links.
    :param private_key: PEM file with the certificate's key.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    id: Name
    data_centre: Name
    listen: Address
    authority: str | None = None
    certificate: str | None = None
    private_key: str | None = None


class ServedSettings(BaseModel):
    """Section of what the backend server beside an agent serves.

    :param id: the backend server's id in the document.
    :param group: the model or plain service.
    :param seats: requests that it runs at once.
    :param pieces: pieces of KV cache, about a thousand tokens each.
    :param checks_fencing: refuses orders that carry an old fencing number.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    id: Name
    group: Name
    role: BackendRole
    seats: Size = 20
    pieces: Size = 640
    checks_fencing: bool = False


class DaemonSettings(BaseModel):
    """Settings that every daemon has.

    :param boot: identity of this life of the process; never read from a file.
    :param policies: names of policies other than the defaults, by part.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    host: HostSettings
    policies: dict[str, str] = {}
    boot: BootId = Field(default_factory=lambda: BootId(uuid4().hex), init=False, exclude=True)


class EntrySettings(DaemonSettings):
    """Settings of an entry."""

    store: StoreSettings
    front: FrontSettings = FrontSettings()
    admin: AdminSettings = AdminSettings()

    def hello(self) -> Hello:
        """Return this host's greeting to its peers."""
        host = self.host
        return Hello(
            HostId(host.id),
            self.boot,
            HostRole.ENTRY,
            DataCentre(host.data_centre),
            address=host.listen,
        )


class AgentSettings(DaemonSettings):
    """Settings of an agent.

    :param serves: what the backend server beside it serves.
    :param backend: how the backend server is reached.
    :param metrics: where its metrics are read.
    """

    serves: ServedSettings
    backend: BackendSettings
    metrics: MetricsSettings = MetricsSettings()

    def hello(self) -> Hello:
        """Return this host's greeting to its peers."""
        host, serves = self.host, self.serves
        return Hello(
            HostId(host.id),
            self.boot,
            HostRole.AGENT,
            DataCentre(host.data_centre),
            BackendId(serves.id),
            serves.role,
            ServiceGroup(serves.group),
            host.listen,
        )

    def slots(self) -> int:
        """Return the requests that the backend server runs at once."""
        return self.serves.seats

    def kv_blocks(self) -> int:
        """Return the pieces of KV cache that the backend server has."""
        return self.serves.pieces
