"""Checks whether the load balancer may send callers to an entry."""

from __future__ import annotations

from collections.abc import Callable

from lavenderrun.codecs import Readiness
from lavenderrun.kernel import Kernel, Registry
from lavenderrun.services._limits import LimitsService
from lavenderrun.types import DocumentKeeper, Links, ServiceGroup

ReadinessCheck = Callable[[Kernel], str]

READINESS_CHECKS: Registry[ReadinessCheck] = Registry("readiness check")
"""Each check returns why the host is not ready, empty when it is."""


def check_readiness(kernel: Kernel) -> Readiness:
    """Run all checks and return the reasons of those that fail."""
    missing = {name: reason for name, check in READINESS_CHECKS if (reason := check(kernel))}
    return Readiness(not missing, missing)


@READINESS_CHECKS.register("document")
def check_document_fresh(kernel: Kernel) -> str:
    """Check that the document is fresh; otherwise keyed routes are refused."""
    keeper = kernel.find("document", DocumentKeeper)
    if keeper.stored is None:
        return "no document is in force"
    return "" if keeper.is_fresh else "the document may be out of date"


@READINESS_CHECKS.register("links")
def check_group_linked(kernel: Kernel) -> str:
    """Check that this host is linked to at least one group of the document in each of its roles.

    One group is enough: a group that is down for all hosts must not make each entry unready.
    """
    document = kernel.find("document", DocumentKeeper).current
    backends = document.backends if document is not None else []
    peers = [link.peer for link in kernel.find("links", Links).list_live()]
    linked = {(peer.group, peer.backend_role) for peer in peers}
    reachable: dict[ServiceGroup, bool] = {}
    for backend in backends:
        is_linked = (backend.group, backend.role) in linked
        reachable[backend.group] = reachable.get(backend.group, True) and is_linked
    return "" if any(reachable.values()) or not reachable else "no group has its agents linked"


@READINESS_CHECKS.register("limits")
def check_accounts_chargeable(kernel: Kernel) -> str:
    """Check that each account can be charged on this host or by a loan from another one."""
    document = kernel.find("document", DocumentKeeper).current
    limits = kernel.find("limits", LimitsService)
    accounts = document.accounts if document is not None else []
    unchargeable = [account.id for account in accounts if not limits.can_charge(account.id)]
    return f"no part of the rate of {len(unchargeable)} accounts is held" if unchargeable else ""


@READINESS_CHECKS.register("leaving")
def check_not_leaving(kernel: Kernel) -> str:
    """Check that this host is not about to stop."""
    return "the host is leaving" if kernel.find("links", Links).is_stopping() else ""
