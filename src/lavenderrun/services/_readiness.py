"""Checks that tell whether the balancer may send callers to an entry."""

from __future__ import annotations

from collections.abc import Callable

from lavenderrun.codecs import Readiness
from lavenderrun.kernel import Kernel, Registry
from lavenderrun.services._limits import LimitsService
from lavenderrun.types import DocumentKeeper, Links, ServiceGroup

Check = Callable[[Kernel], str]

READINESS_CHECKS: Registry[Check] = Registry("readiness check")
"""Each returns why the host is not ready, empty when it is."""


def check_readiness(kernel: Kernel) -> Readiness:
    """Run all checks."""
    missing = {name: reason for name, check in READINESS_CHECKS if (reason := check(kernel))}
    return Readiness(not missing, missing)


@READINESS_CHECKS.register("document")
def check_document_fresh(kernel: Kernel) -> str:
    """The document is fresh, so that keyed routes are served."""
    keeper = kernel.find("document", DocumentKeeper)
    if keeper.stored is None:
        return "no document is in force"
    return "" if keeper.is_fresh else "the document may be out of date"


@READINESS_CHECKS.register("links")
def check_group_linked(kernel: Kernel) -> str:
    """Some group of the document can be reached in each of its roles.

    A group that is down everywhere is no fault of this host and takes no entry out of balance.
    """
    document = kernel.find("document", DocumentKeeper).current
    backends = document.backends if document is not None else []
    peers = [link.peer for link in kernel.find("links", Links).list_live()]
    linked = {(peer.group, peer.backend_role) for peer in peers}
    wanted: dict[ServiceGroup, bool] = {}
    for backend in backends:
        whole = (backend.group, backend.role) in linked
        wanted[backend.group] = wanted.get(backend.group, True) and whole
    return "" if any(wanted.values()) or not wanted else "no group has its agents linked"


@READINESS_CHECKS.register("limits")
def check_accounts_chargeable(kernel: Kernel) -> str:
    """Every account can be charged here or from a host that lends."""
    document = kernel.find("document", DocumentKeeper).current
    limits = kernel.find("limits", LimitsService)
    accounts = document.accounts if document is not None else []
    waiting = [account.id for account in accounts if not limits.can_charge(account.id)]
    return f"no part of the rate of {len(waiting)} accounts is held" if waiting else ""


@READINESS_CHECKS.register("leaving")
def check_not_leaving(kernel: Kernel) -> str:
    """The host is not about to stop."""
    return "the host is leaving" if kernel.find("links", Links).is_stopping() else ""
