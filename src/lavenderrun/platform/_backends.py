"""Calls as the platform's backend servers take them, and their answers."""

from __future__ import annotations

import re
from datetime import timedelta
from typing import Any, Final

import msgspec

from lavenderrun.gateway import GATEWAY_SERVICES, EngineReport, HttpRequest, OrderResult
from lavenderrun.kernel import Kernel
from lavenderrun.platform import _headers as names
from lavenderrun.platform._members import ROLES, STAGES
from lavenderrun.types import (
    AnswerHead,
    AnswerKind,
    BackendLoad,
    BackendRole,
    CallContext,
    ExportHandle,
    FencingNumber,
    GatewayCall,
    Headers,
    HeldCache,
    HostId,
    Member,
    RequestId,
)

LOAD: Final = re.compile(r"(\d{1,6}),(\d{1,6}),(\d{1,6})")
KEEP: Final = re.compile(r"timeout=(\d{1,6})")
RANK_MOST: Final = 9
MISDIRECTED: Final = 421
SERVED_FROM, SERVED_BELOW = 200, 300
KEPT_OUT: Final = frozenset({names.SERVER, names.LOAD, names.NOT_RUN})
"""Headers of an answer that are meant for this host."""


OK: Final = 200
ORDER_RESULTS: Final = {
    200: OrderResult.ACCEPTED,
    202: OrderResult.ACCEPTED,
    400: OrderResult.REJECTED,
    409: OrderResult.REJECTED,
    412: OrderResult.FENCED,
    421: OrderResult.REJECTED,
}
"""A result that stands for no answer of an engine may have taken effect."""


class _Report(msgspec.Struct):
    stage: str
    busy: bool
    seq: int  # counts orders here; in a server's row the same name counts heartbeats


class _Export(msgspec.Struct, rename="kebab"):
    kv_handle: str


class PlatformBackends:
    """Encodes calls to backend servers; see ``BackendDialect``."""

    def encode_call(self, call: GatewayCall, dispatch: CallContext) -> HttpRequest:
        """Return the call as a backend server takes it."""
        left = max(1, int(dispatch.patience / timedelta(milliseconds=1)))
        headers = [
            *call.headers,
            ("X-Deadline-Ms", str(left)),
            ("X-Expect-Instance", str(dispatch.member)),
        ]
        if dispatch.account is not None:
            headers.append(("X-Tenant", str(dispatch.account)))
        if dispatch.rank is not None and call.size is not None:
            headers.append(("X-Request-Priority", str(min(RANK_MOST, max(0, dispatch.rank)))))
        if dispatch.prefill_only:
            headers.append(("X-Stage", "prefill"))
        elif dispatch.resume_after is not None:
            headers.append(("Last-Event-Id", dispatch.resume_after))
        if dispatch.cache is not None:
            source = f"{dispatch.cache.source}/{dispatch.cache.handle}"
            headers.append(("X-Kv-Source", source))
        if call.body or call.method not in {"GET", "HEAD", "DELETE"}:
            headers.append(("Content-Length", str(len(call.body))))
        return HttpRequest(call.method, call.target, headers, call.body)

    def decode_head(self, request: RequestId, status: int, headers: Headers) -> AnswerHead:
        """Return what the head of an answer says."""
        passed = [(n, v) for n, v in names.strip_hops(headers) if n.lower() not in KEPT_OUT]
        return AnswerHead(
            status,
            _find_standing(request, status, headers),
            passed,
            _read_load(names.find_value(headers, names.LOAD)),
            _read_idle(names.find_value(headers, names.KEEP_ALIVE)),
            signed=names.find_value(headers, names.SIGNATURE) is not None,
        )

    def decode_export(self, source: str, body: bytes) -> HeldCache | None:
        """Return the KV cache that a prefill left, ``None`` when the answer can't be read."""
        try:
            found = msgspec.json.decode(body, type=_Export)
        except msgspec.DecodeError:
            return None
        return HeldCache(source, ExportHandle(found.kv_handle))

    def encode_release(self, cache: HeldCache) -> HttpRequest:
        """Return the call that frees KV cache at its holder."""
        headers = [("Host", cache.source)]
        return HttpRequest("DELETE", f"/api/kv-handle/{cache.handle}", headers)

    def encode_report(self, member: Member) -> HttpRequest:
        """Return the call that asks an engine for its state."""
        return HttpRequest("GET", "/api/report", _head(member))

    def decode_report(self, status: int, body: bytes) -> EngineReport | None:
        """Return an engine's state, ``None`` when the answer can't be read."""
        if status != OK:
            return None
        try:
            found = msgspec.json.decode(body, type=_Report)
        except msgspec.DecodeError:
            return None
        role = ROLES.get(found.stage)
        return None if role is None else EngineReport(role, found.busy, found.seq)

    def encode_order(
        self,
        member: Member,
        role: BackendRole,
        holder: HostId,
        fencing: FencingNumber,
        sequence: int,
    ) -> HttpRequest:
        """Return the order to take another role."""
        body = msgspec.json.encode(
            {
                "op": "stage",
                "stage": STAGES[role],
                "holder": holder,
                "fence": fencing,
                "expected": sequence,
            }
        )
        headers = [
            *_head(member),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        return HttpRequest("POST", "/api/order", headers, body)

    def decode_order(self, status: int) -> OrderResult:
        """Return what the answer to an order says."""
        return ORDER_RESULTS.get(status, OrderResult.UNKNOWN)


def _head(member: Member) -> Headers:
    return [("Host", member.address), ("X-Expect-Instance", str(member.id))]


def _find_standing(request: RequestId, status: int, headers: Headers) -> AnswerKind:
    echoed = names.find_value(headers, names.REQUEST_ID)
    if echoed is not None and echoed != request:
        return AnswerKind.FOREIGN
    if names.find_value(headers, names.CONTENT_ENCODING) is not None:
        return AnswerKind.FOREIGN
    if status == MISDIRECTED:
        return AnswerKind.WRONG_SERVER
    if names.find_value(headers, names.NOT_RUN) is not None:
        return AnswerKind.NOT_RUN
    return AnswerKind.SERVED if SERVED_FROM <= status < SERVED_BELOW else AnswerKind.FAILED


def _read_load(value: str | None) -> BackendLoad | None:
    found = LOAD.fullmatch(value) if value is not None else None
    return BackendLoad(int(found[1]), int(found[2]), int(found[3])) if found else None


def _read_idle(value: str | None) -> timedelta | None:
    found = KEEP.search(value) if value is not None else None
    return timedelta(seconds=int(found[1])) if found else None


@GATEWAY_SERVICES.register("backend_dialect")
def make_backend_dialect(kernel: Kernel) -> Any:
    """Make the service."""
    return kernel.wrap(PlatformBackends())
