"""Sections of the answer to ``GET /admin/status``."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict
from datetime import datetime
from typing import Any

import msgspec

from lavenderrun.kernel import Kernel, Registry
from lavenderrun.services._limits import LimitsService
from lavenderrun.services._store import StoreClient
from lavenderrun.types import (
    AccountId,
    BackendId,
    BackendRole,
    BootId,
    DataCentre,
    DocumentKeeper,
    DocumentVersion,
    Hello,
    HostId,
    HostRole,
    HostState,
    Links,
    LoadReport,
    QuarantineKeeper,
    Revision,
    ServiceGroup,
    Suspect,
)

STATUS_SECTIONS: Registry[Callable[[Kernel], Any]] = Registry("status section")


class HostStatus(msgspec.Struct, frozen=True):
    """A host as this host knows it."""

    host: HostId
    boot: BootId
    role: HostRole
    data_centre: DataCentre
    state: HostState
    address: str
    backend: BackendId | None


class BackendStatus(msgspec.Struct, frozen=True):
    """A backend server as its agent's last heartbeat reports it; without one, numbers are ``None``.

    :param seats: decode slots in all.
    :param taken: decode slots in use.
    :param queued: requests in the queue.
    :param backlog: seconds of work ahead of a new request.
    :param pieces_free: free KV blocks.
    """

    backend: BackendId
    group: ServiceGroup
    role: BackendRole
    data_centre: DataCentre
    state: HostState
    seats: int | None = None
    taken: int | None = None
    queued: int | None = None
    backlog: float | None = None
    pieces_free: int | None = None


class LimitsStatus(msgspec.Struct, frozen=True):
    """The rate slices that this host holds, and the requests that wait for rate.

    :param slots: ids of the rate slices held now.
    :param waiting: requests that wait for their account's rate.
    """

    slots: list[str]
    waiting: dict[AccountId, int]


class DocumentStatus(msgspec.Struct, frozen=True):
    """The document in force on this host.

    :param age: seconds since it was last known to be the newest.
    """

    version: DocumentVersion
    fresh: bool
    age: float | None
    digest: str = ""
    author: str = ""
    at: datetime | None = None
    history: tuple[Revision, ...] = ()


def read_status(kernel: Kernel) -> dict[str, Any]:
    """Return all sections of the status by name."""
    return {name: section(kernel) for name, section in STATUS_SECTIONS}


@STATUS_SECTIONS.register("hosts")
def list_hosts(kernel: Kernel) -> list[HostStatus]:
    """Return this host, then the linked hosts by name."""
    links = kernel.find("links", Links)
    own_state = HostState.LEAVING if links.is_stopping() else HostState.LIVE
    others = sorted((link.peer for link in links.list_live()), key=lambda peer: peer.host)
    return [
        _make_host_status(kernel.settings.hello(), own_state),
        *(_make_host_status(peer, _find_state(links, peer.host)) for peer in others),
    ]


@STATUS_SECTIONS.register("backends")
def list_backends(kernel: Kernel) -> list[BackendStatus]:
    """Return all backend servers of the document."""
    document = kernel.find("document", DocumentKeeper).current
    links = kernel.find("links", Links)
    hosts = {link.peer.backend: link.peer.host for link in links.list_live()}
    found = []
    for backend in document.backends if document is not None else []:
        host = hosts.get(backend.id)
        state = HostState.LOST if host is None else _find_state(links, host)
        load = None if host is None else links.find_load(host)
        status = BackendStatus(backend.id, backend.group, backend.role, backend.data_centre, state)
        found.append(status if load is None else _add_load(status, load))
    return found


@STATUS_SECTIONS.register("limits")
def read_limits_status(kernel: Kernel) -> LimitsStatus:
    """Return the rate slices held and the number of waiting requests by account."""
    limits = kernel.find("limits", LimitsService)
    return LimitsStatus(sorted(limits.limiter.slice_keeper.held), limits.count_waiting())


@STATUS_SECTIONS.register("document")
def read_document_status(kernel: Kernel) -> DocumentStatus:
    """Return the version in force, its author, and the versions before it."""
    keeper = kernel.find("document", DocumentKeeper)
    stored = keeper.stored
    age = keeper.age.total_seconds() if keeper.age is not None else None
    if stored is None:
        return DocumentStatus(keeper.version, keeper.is_fresh, age)
    revision = stored.revision
    return DocumentStatus(
        revision.version,
        keeper.is_fresh,
        age,
        stored.digest,
        revision.author,
        revision.at,
        stored.history,
    )


@STATUS_SECTIONS.register("store")
def list_store_counters(kernel: Kernel) -> dict[str, int]:
    """Return the counters of the store client."""
    return asdict(kernel.find("store", StoreClient).counters)


@STATUS_SECTIONS.register("quarantine")
def list_quarantine(kernel: Kernel) -> list[Suspect]:
    """Return the fingerprints that are suspected or quarantined."""
    return list(kernel.find("quarantine", QuarantineKeeper).list_suspects())


def _add_load(status: BackendStatus, load: LoadReport) -> BackendStatus:
    return msgspec.structs.replace(
        status,
        seats=load.slots,
        taken=load.taken,
        queued=load.queued,
        backlog=load.backlog.total_seconds(),
        pieces_free=load.free_kv_blocks,
    )


def _find_state(links: Links, host: HostId) -> HostState:
    return HostState.LEAVING if links.is_leaving(host) else HostState.LIVE


def _make_host_status(peer: Hello, state: HostState) -> HostStatus:
    return HostStatus(
        peer.host, peer.boot, peer.role, peer.data_centre, state, peer.address, peer.backend
    )
