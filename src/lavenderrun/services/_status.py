"""Sections of ``GET /admin/status``."""

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
    """A host as this one holds it."""

    host: HostId
    boot: BootId
    role: HostRole
    data_centre: DataCentre
    state: HostState
    address: str
    backend: BackendId | None


class BackendStatus(msgspec.Struct, frozen=True):
    """A backend server as its agent's last heartbeat told; figures are ``None`` without one.

    :param backlog: seconds of work ahead of a new request.
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
    """What this host holds of the accounts' rates.

    :param slots: held now; *waiting* are requests that wait for their account's rate.
    """

    slots: list[str]
    waiting: dict[AccountId, int]


class DocumentStatus(msgspec.Struct, frozen=True):
    """The document in force on this host.

    :param age: seconds since it is known to have been the newest.
    """

    version: DocumentVersion
    fresh: bool
    age: float | None
    digest: str = ""
    author: str = ""
    at: datetime | None = None
    history: tuple[Revision, ...] = ()


def read_status(kernel: Kernel) -> dict[str, Any]:
    """Return all sections by name."""
    return {name: section(kernel) for name, section in STATUS_SECTIONS}


@STATUS_SECTIONS.register("hosts")
def show_hosts(kernel: Kernel) -> list[HostStatus]:
    """Return this host first, then the linked ones."""
    links = kernel.find("links", Links)
    mine = HostState.LEAVING if links.is_stopping() else HostState.LIVE
    others = sorted((link.peer for link in links.list_live()), key=lambda peer: peer.host)
    return [
        _show_host(kernel.settings.hello(), mine),
        *(_show_host(peer, _find_state(links, peer.host)) for peer in others),
    ]


@STATUS_SECTIONS.register("backends")
def show_backends(kernel: Kernel) -> list[BackendStatus]:
    """Return every backend server of the document."""
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
def show_limits(kernel: Kernel) -> LimitsStatus:
    """Return slots held and requests that wait."""
    limits = kernel.find("limits", LimitsService)
    return LimitsStatus(sorted(limits.limiter.slice_keeper.held), limits.count_waiting())


@STATUS_SECTIONS.register("document")
def show_document(kernel: Kernel) -> DocumentStatus:
    """Return the version in force and who wrote it and those before."""
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
def show_store(kernel: Kernel) -> dict[str, int]:
    """Return the counters of the store client."""
    return asdict(kernel.find("store", StoreClient).counters)


@STATUS_SECTIONS.register("quarantine")
def show_quarantine(kernel: Kernel) -> list[Suspect]:
    """Return the fingerprints under suspicion."""
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


def _show_host(peer: Hello, state: HostState) -> HostStatus:
    return HostStatus(
        peer.host, peer.boot, peer.role, peer.data_centre, state, peer.address, peer.backend
    )
