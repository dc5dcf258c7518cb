"""Metrics that are read from the state of services at each scrape."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict

from lavenderrun.http_server import RequestAccount
from lavenderrun.kernel import Kernel
from lavenderrun.metrics import MetricKind
from lavenderrun.services._front import FrontService
from lavenderrun.services._links import LinksService
from lavenderrun.services._metrics import MetricsService, Readings, register_reader
from lavenderrun.services._store import StoreClient
from lavenderrun.types import (
    DocumentKeeper,
    Hello,
    Links,
    LoadReport,
    QuarantineKeeper,
    QuarantineVerdict,
)

NONE_LABEL = "none"


@register_reader("lavenderrun_document_version", "Version of the document in force on this host.")
def read_version(kernel: Kernel) -> Readings:
    """Return the version of the document, 0 before the first."""
    return {(): kernel.find("document", DocumentKeeper).version}


@register_reader(
    "lavenderrun_document_age_seconds",
    "Time since the document in force is known to have been the newest.",
)
def read_age(kernel: Kernel) -> Readings:
    """Return the age in seconds; no value until the document was once known to be the newest."""
    age = kernel.find("document", DocumentKeeper).age
    return {} if age is None else {(): age.total_seconds()}


@register_reader(
    "lavenderrun_requests_running", "Requests accepted by this host that have not ended."
)
def read_running(kernel: Kernel) -> Readings:
    """Return the number of requests that have not ended."""
    return {(): len(kernel.find("metrics", MetricsService).running)}


@register_reader("lavenderrun_links", "Live links to other daemons, by their role.", ("role",))
def read_links(kernel: Kernel) -> Readings:
    """Return the number of live links by the peer's role."""
    links = kernel.find("links", Links)
    roles = Counter(link.peer.role.value for link in links.list_live())
    return {(role,): number for role, number in roles.items()}


@register_reader(
    "lavenderrun_failed_messages_total",
    "Messages of other daemons whose handling ended by an unexpected error.",
    kind=MetricKind.COUNTER,
)
def read_failed_messages(kernel: Kernel) -> Readings:
    """Return the number of messages whose handling failed."""
    return {(): kernel.find("links", LinksService).failed_messages}


@register_reader(
    "lavenderrun_seats",
    "Seats of backend servers, own or as last heard: all, taken, and requests queued.",
    ("group", "role", "state"),
)
def read_decode_slots(kernel: Kernel) -> Readings:
    """Return all and taken decode slots and queued requests, by group and role."""
    found: Counter[tuple[str, ...]] = Counter()
    for labels, load in _list_loads(kernel):
        found[(*labels, "all")] += load.slots
        found[(*labels, "taken")] += load.taken
        found[(*labels, "queued")] += load.queued
    return dict(found)


@register_reader(
    "lavenderrun_cache_pieces_free",
    "Free pieces of KV cache of the linked backend servers as last heard.",
    ("group", "role"),
)
def read_free_kv_blocks(kernel: Kernel) -> Readings:
    """Return the free KV blocks by group and role."""
    found: Counter[tuple[str, ...]] = Counter()
    for labels, load in _list_loads(kernel):
        found[labels] += load.free_kv_blocks
    return dict(found)


@register_reader(
    "lavenderrun_store_attempts_total",
    "Attempts at the table service by what they were or how they ended.",
    ("kind",),
    MetricKind.COUNTER,
)
def read_store_attempts(kernel: Kernel) -> Readings:
    """Return the counters of the store client; agents have no store client."""
    if not kernel.has("store"):
        return {}
    counters = kernel.find("store", StoreClient).counters
    return {(name,): value for name, value in asdict(counters).items()}


@register_reader(
    "lavenderrun_quarantine_fingerprints", "Fingerprints under suspicion.", ("verdict",)
)
def read_quarantine(kernel: Kernel) -> Readings:
    """Return the number of fingerprints by verdict; agents have no quarantine service."""
    if not kernel.has("quarantine"):
        return {}
    suspects = kernel.find("quarantine", QuarantineKeeper).list_suspects()
    found = Counter(suspect.verdict for suspect in suspects)
    return {
        (each.value,): found[each] for each in (QuarantineVerdict.SUSPECT, QuarantineVerdict.GUILTY)
    }


@register_reader(
    "lavenderrun_requests_ended_total",
    "Callers' requests that were read whole, by how they ended.",
    ("end",),
    MetricKind.COUNTER,
)
def read_request_ends(kernel: Kernel) -> Readings:
    """Return the number of requests by their end; agents have no front."""
    account = _find_account(kernel)
    return account.read_ends() if account is not None else {}


@register_reader(
    "lavenderrun_unanswered_requests_total",
    "Callers' requests that were read whole and ended without an answer, by who closed.",
    ("closed_by",),
    MetricKind.COUNTER,
)
def read_unanswered(kernel: Kernel) -> Readings:
    """Return the number of requests without an answer; agents have no front."""
    account = _find_account(kernel)
    return account.read_unanswered() if account is not None else {}


@register_reader(
    "lavenderrun_partial_requests_total",
    "Callers' requests whose connection closed before they were read whole, by who closed.",
    ("closed_by",),
    MetricKind.COUNTER,
)
def read_partial(kernel: Kernel) -> Readings:
    """Return the number of requests that were not read whole; agents have no front."""
    account = _find_account(kernel)
    return account.read_partial() if account is not None else {}


def _find_account(kernel: Kernel) -> RequestAccount | None:
    return kernel.find("front", FrontService).account if kernel.has("front") else None


def _list_loads(kernel: Kernel) -> Iterator[tuple[tuple[str, str], LoadReport]]:
    """Yield group, role and load of this host's backend server and of those of linked hosts."""
    links = kernel.find("links", LinksService)
    own = links.find_own_load()
    if own is not None:
        yield _make_labels(kernel.settings.hello()), own
    for link in links.list_live():
        load = links.find_load(link.peer.host)
        if load is not None:
            yield _make_labels(link.peer), load


def _make_labels(peer: Hello) -> tuple[str, str]:
    role = peer.backend_role.value if peer.backend_role is not None else NONE_LABEL
    return peer.group or NONE_LABEL, role
