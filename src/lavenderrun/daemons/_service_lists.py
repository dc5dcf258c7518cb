"""Names of each daemon's services, in the order in which they are built."""

from __future__ import annotations

from lavenderrun.types import BackendRole

ENTRY_SERVICES = (
    "wakes",
    "transport",
    "links",
    "record",
    "store",
    "document",
    "admission",
    "limits",
    "quarantine",
    "crashing_texts",
    "membership",
    "model_router",
    "plain_router",
    "router",
    "front",
    "departure",
)

ENTRY_PAGES = ("metrics", "admin")
"""Services for operators, which a benchmark does not run."""

AGENT_PAGES = ("metrics", "metrics_page")

AGENT_ROLES = {
    BackendRole.PREFILL: ("engine", "prefill_agent"),
    BackendRole.DECODE: ("engine", "decode_agent"),
    BackendRole.PLAIN: ("plain", "plain_agent"),
}

AGENT_SERVICES = ("wakes", "transport", "links", "record", "document")


def list_agent_services(role: BackendRole) -> tuple[str, ...]:
    """Return the services of an agent beside a backend server in *role*."""
    return (*AGENT_SERVICES, *AGENT_ROLES[role], "departure")
