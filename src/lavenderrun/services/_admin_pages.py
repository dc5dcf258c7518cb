"""Endpoints of the operators' API: status, quarantine, health, readiness and metrics."""

from __future__ import annotations

from twisted.internet.defer import Deferred, ensureDeferred

from lavenderrun.codecs import encode_admin
from lavenderrun.kernel import Kernel
from lavenderrun.services._admin_endpoints import (
    AdminCall,
    AdminCallError,
    AdminReply,
    register_endpoint,
)
from lavenderrun.services._metrics import MetricsService
from lavenderrun.services._readiness import check_readiness
from lavenderrun.services._status import read_status
from lavenderrun.types import Fingerprint, QuarantineKeeper


@register_endpoint("GET /admin/status")
def get_status(kernel: Kernel, _call: AdminCall) -> AdminReply:
    """Return all sections of this host's status."""
    return AdminReply(200, encode_admin(read_status(kernel)))


@register_endpoint("GET /admin/quarantine")
def get_quarantine(kernel: Kernel, _call: AdminCall) -> AdminReply:
    """Return the fingerprints that are suspected or quarantined."""
    suspects = kernel.find("quarantine", QuarantineKeeper).list_suspects()
    return AdminReply(200, encode_admin(list(suspects)))


@register_endpoint("DELETE /admin/quarantine/FINGERPRINT")
def delete_quarantine(kernel: Kernel, call: AdminCall) -> Deferred[AdminReply]:
    """Release a fingerprint from quarantine."""
    return ensureDeferred(_release_fingerprint(kernel, Fingerprint(call.parts[0])))


async def _release_fingerprint(kernel: Kernel, fingerprint: Fingerprint) -> AdminReply:
    keeper = kernel.find("quarantine", QuarantineKeeper)
    if all(suspect.fingerprint != fingerprint for suspect in keeper.list_suspects()):
        raise AdminCallError(404, "unknown_fingerprint", "The fingerprint is not in quarantine.")
    await keeper.release(fingerprint)
    return AdminReply(204, b"")


@register_endpoint("GET /healthz", is_public=True)
def get_health(_kernel: Kernel, _call: AdminCall) -> AdminReply:
    """Report that the process answers."""
    return AdminReply(200, encode_admin({"healthy": True}))


@register_endpoint("GET /readyz", is_public=True)
def get_readiness(kernel: Kernel, _call: AdminCall) -> AdminReply:
    """Report whether the load balancer may send callers to this host."""
    readiness = check_readiness(kernel)
    return AdminReply(200 if readiness.ready else 503, encode_admin(readiness))


@register_endpoint("GET /metrics", is_public=True)
def get_metrics(kernel: Kernel, call: AdminCall) -> AdminReply:
    """Return the metrics in a format that the ``Accept`` header allows."""
    body, headers = kernel.find("metrics", MetricsService).render(call.find_headers("Accept"))
    content_type = headers.get("Content-Type", "text/plain")
    return AdminReply(200, body, content_type=content_type)
