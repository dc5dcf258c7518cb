"""Operators' endpoints for state: status, quarantine, health, readiness and metrics."""

from __future__ import annotations

from twisted.internet.defer import Deferred, ensureDeferred

from lavenderrun.codecs import encode_admin
from lavenderrun.kernel import Kernel
from lavenderrun.services._admin_endpoints import AdminCall, AdminCallError, Reply, serve
from lavenderrun.services._metrics import MetricsService
from lavenderrun.services._readiness import check_readiness
from lavenderrun.services._status import read_status
from lavenderrun.types import Fingerprint, QuarantineKeeper


@serve("GET /admin/status")
def get_status(kernel: Kernel, _call: AdminCall) -> Reply:
    """Return every section of the status."""
    return Reply(200, encode_admin(read_status(kernel)))


@serve("GET /admin/quarantine")
def get_quarantine(kernel: Kernel, _call: AdminCall) -> Reply:
    """Return the fingerprints under suspicion."""
    suspects = kernel.find("quarantine", QuarantineKeeper).suspects()
    return Reply(200, encode_admin(list(suspects)))


@serve("DELETE /admin/quarantine/FINGERPRINT")
def delete_quarantine(kernel: Kernel, call: AdminCall) -> Deferred[Reply]:
    """Release a fingerprint."""
    return ensureDeferred(_release(kernel, Fingerprint(call.parts[0])))


async def _release(kernel: Kernel, fingerprint: Fingerprint) -> Reply:
    keeper = kernel.find("quarantine", QuarantineKeeper)
    if all(suspect.fingerprint != fingerprint for suspect in keeper.suspects()):
        raise AdminCallError(404, "unknown_fingerprint", "The fingerprint is not in quarantine.")
    await keeper.release(fingerprint)
    return Reply(204, b"")


@serve("GET /healthz", is_open=True)
def get_health(_kernel: Kernel, _call: AdminCall) -> Reply:
    """Tell that the loop answers."""
    return Reply(200, encode_admin({"healthy": True}))


@serve("GET /readyz", is_open=True)
def get_readiness(kernel: Kernel, _call: AdminCall) -> Reply:
    """Tell whether the balancer may send callers here."""
    found = check_readiness(kernel)
    return Reply(200 if found.ready else 503, encode_admin(found))


@serve("GET /metrics", is_open=True)
def get_metrics(kernel: Kernel, call: AdminCall) -> Reply:
    """Return the metrics in the form that the caller accepts."""
    body, headers = kernel.find("metrics", MetricsService).render(call.find_headers("Accept"))
    content_type = headers.get("Content-Type", "text/plain")
    return Reply(200, body, content_type=content_type)
