"""Sections of the daemons' settings."""

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

PositiveInt = Annotated[int, Field(gt=0)]
PositiveDuration = Annotated[timedelta, Field(gt=timedelta(0), le=timedelta(days=1))]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")]


class FrontSettings(BaseModel):
    """Settings of the HTTP front end for callers.

    :param listen: IP address and port; port zero takes a free one.
    :param certificate: PEM file with the certificate chain; plain HTTP without it.
    :param private_key: PEM file with the certificate's key.
    :param max_body: maximum size of a model request's body in bytes.
    :param max_plain_body: maximum size of a plain call's body in bytes; routes may allow less.
    :param buffer: bytes kept for a caller that reads slowly before its connection is dropped.
    :param idle: how long a connection without a request stays open.
    :param stall: how long a caller may read no byte of its answer.
    :param drain: how long a stop waits for running requests.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    listen: Address = "127.0.0.1:0"
    certificate: str | None = None
    private_key: str | None = None
    max_body: PositiveInt = 1 << 20
    max_plain_body: PositiveInt = 8 << 20
    buffer: PositiveInt = 1 << 18
    idle: PositiveDuration = timedelta(seconds=60)
    stall: PositiveDuration = timedelta(seconds=30)
    drain: PositiveDuration = timedelta(seconds=120)


class AdminSettings(BaseModel):
    """Settings of the HTTP front end for operators.

    :param listen: IP address and port; port zero takes a free one.
    :param certificate: PEM file with the certificate chain; plain HTTP without it.
    :param private_key: PEM file with the certificate's key.
    :param operators: SHA-256 digests of operators' keys by the name that is recorded as the author
        of their changes; without any, only the pages that need no key are served.
    :param max_body: maximum size of a body in bytes.
    :param idle: how long a connection without a request stays open.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    listen: Address = "127.0.0.1:0"
    certificate: str | None = None
    private_key: str | None = None
    operators: dict[Name, Annotated[KeyDigest, Field(pattern=r"^sha256:[0-9a-f]{64}$")]] = {}
    max_body: PositiveInt = 4 << 20
    idle: PositiveDuration = timedelta(seconds=60)


class MetricsSettings(BaseModel):
    """Settings of an agent's metrics page.

    :param listen: IP address and port; without it there is no page.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    listen: Address | None = None


class BackendSettings(BaseModel):
    """Settings of the connection between an agent and its backend server.

    :param address: IP address and port of the backend server.
    :param connections: maximum number of idle connections kept open to it.
    :param silence: maximum time without a byte during a call to a plain service.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    address: Address
    connections: Annotated[int, Field(gt=0)] = 32
    silence: PositiveDuration = timedelta(seconds=30)


class StoreSettings(BaseModel):
    """Settings of the client for the platform's table service.

    :param dialect: name of the protocol that the table service speaks.
    :param url: URL of the table service.
    :param attempt_timeout: maximum wait for one reply.
    :param deadline: maximum time for a call with its retries.
    :param backoff_first: bound of the first jittered pause between attempts.
    :param backoff_most: largest bound of a pause.
    :param in_flight: maximum number of concurrent attempts.
    :param queue: maximum number of calls that wait for their turn.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    dialect: str = "http"
    url: str = ""
    attempt_timeout: PositiveDuration = timedelta(seconds=1)
    deadline: PositiveDuration = timedelta(seconds=5)
    backoff_first: PositiveDuration = timedelta(milliseconds=50)
    backoff_most: PositiveDuration = timedelta(seconds=2)
    in_flight: PositiveInt = 16
    queue: PositiveInt = 256


class HostSettings(BaseModel):
    """Settings of the host and of its links to other daemons.

    :param id: name of this host, unique in the fleet.
    :param listen: IP address and port for the other daemons; they must be able to reach it.
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
    """Settings of what the backend server beside an agent serves.

    :param id: the backend server's id in the document.
    :param group: the model or plain service.
    :param seats: requests that it runs at once (decode slots).
    :param pieces: KV blocks, about a thousand tokens each.
    :param checks_fencing: the backend server refuses orders with an old fencing number.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    id: Name
    group: Name
    role: BackendRole
    seats: PositiveInt = 20
    pieces: PositiveInt = 640
    checks_fencing: bool = False


class DaemonSettings(BaseModel):
    """Settings that every daemon has.

    :param boot: id of this run of the process; never read from a file.
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
        """Return the greeting that this host sends to its peers."""
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
    :param metrics: where its metrics are served.
    """

    serves: ServedSettings
    backend: BackendSettings
    metrics: MetricsSettings = MetricsSettings()

    def hello(self) -> Hello:
        """Return the greeting that this host sends to its peers."""
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
        """Return the number of requests that the backend server runs at once."""
        return self.serves.seats

    def kv_blocks(self) -> int:
        """Return the number of KV blocks that the backend server has."""
        return self.serves.pieces
