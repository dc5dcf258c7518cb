"""Encodes calls to the platform's backend servers and decodes their answers."""

from __future__ import annotations

import re
from datetime import timedelta
from typing import Any, Final
from urllib.parse import quote

import msgspec

from lavenderrun.decoding import Count, decode_json, is_token
from lavenderrun.gateway import (
    GATEWAY_SERVICES,
    EngineReport,
    HoldAnswer,
    HoldResult,
    HttpRequest,
    OrderResult,
)
from lavenderrun.kernel import Kernel
from lavenderrun.platform import _headers as header_names
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
    HoldId,
    HostId,
    Member,
    RequestId,
)

LOAD_PATTERN: Final = re.compile(r"(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(.*))?", re.ASCII)
PACE_PATTERN: Final = re.compile(r"\d{1,6}", re.ASCII)
USUAL_PACE: Final = 100
MIN_PACE, MAX_PACE = 10, 1000
"""Bounds of a believed pace: a machine that stalls says more, which is as bad as the upper one."""

KEEP_ALIVE_PATTERN: Final = re.compile(r"timeout=(\d{1,6})", re.ASCII)
MAX_RANK: Final = 9
TRUE: Final = "1"
REST_PATTERN: Final = re.compile(r"\d{1,9}(\.\d{1,6})?", re.ASCII)
COLD_PATTERN: Final = re.compile(r"\d{1,9}(\.\d{1,6})?", re.ASCII)
UNAVAILABLE: Final = 503
MISDIRECTED: Final = 421
FIRST_SUCCESS, FIRST_REDIRECT = 200, 300
DENYING_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its call has not run and never will."""

GATEWAY_ONLY_HEADERS: Final = frozenset(
    {
        header_names.SERVER,
        header_names.LOAD,
        header_names.LEAVING,
        header_names.COLD,
        header_names.NOT_RUN,
    }
)
"""Headers of an answer that are meant for the gateway and not passed on."""


OK: Final = 200
ORDER_RESULTS: Final = {
    200: OrderResult.ACCEPTED,
    202: OrderResult.ACCEPTED,
    400: OrderResult.REJECTED,
    409: OrderResult.REJECTED,
    412: OrderResult.FENCED,
    421: OrderResult.REJECTED,
}
"""Result of an order by HTTP status; with any other status the order may have taken effect."""


class _EngineState(msgspec.Struct):
    stage: str
    busy: bool
    seq: Count  # number of orders; in a server's row the same name is the number of heartbeats


class _HoldAnswer(msgspec.Struct):
    hold: str


class _ExportAnswer(msgspec.Struct, rename="kebab"):
    kv_handle: str


class PlatformBackends:
    """Implements ``BackendDialect`` for the platform's backend servers."""

    def encode_call(self, call: GatewayCall, dispatch: CallContext) -> HttpRequest:
        """Return a caller's call as an HTTP request to a backend server."""
        remaining_ms = max(1, int(dispatch.patience / timedelta(milliseconds=1)))
        headers = [
            *call.headers,
            ("X-Deadline-Ms", str(remaining_ms)),
            ("X-Expect-Instance", str(dispatch.member)),
        ]
        if dispatch.account is not None:
            headers.append(("X-Tenant", str(dispatch.account)))
        if dispatch.rank is not None and call.size is not None:
            headers.append(("X-Request-Priority", str(min(MAX_RANK, max(0, dispatch.rank)))))
        if dispatch.prefill_only:
            headers.append(("X-Stage", "prefill"))
        elif dispatch.resume_after is not None:
            headers.append(("Last-Event-Id", dispatch.resume_after))
        if dispatch.cache is not None:
            source = f"{dispatch.cache.source}/{dispatch.cache.handle}"
            headers.append(("X-Kv-Source", source))
        if dispatch.hold is not None:
            headers.append(("X-Kv-Hold", dispatch.hold))
        if call.body or call.method not in {"GET", "HEAD", "DELETE"}:
            headers.append(("Content-Length", str(len(call.body))))
        return HttpRequest(call.method, call.target, headers, call.body)

    def decode_head(self, request: RequestId, status: int, headers: Headers) -> AnswerHead:
        """Return the decoded head of a backend server's answer."""
        forwarded = [
            (n, v)
            for n, v in header_names.strip_hop_by_hop(headers)
            if n.lower() not in GATEWAY_ONLY_HEADERS
        ]
        return AnswerHead(
            status,
            _classify_answer(request, status, headers),
            forwarded,
            _read_load(header_names.find_value(headers, header_names.LOAD)),
            _read_idle_timeout(header_names.find_value(headers, header_names.KEEP_ALIVE)),
            signed=header_names.find_value(headers, header_names.SIGNATURE) is not None,
            leaving=header_names.find_value(headers, header_names.LEAVING) == TRUE,
            names_call=header_names.find_value(headers, header_names.REQUEST_ID) == request,
            rest=_read_rest(status, header_names.find_value(headers, header_names.RETRY_AFTER)),
            cold=_read_cold(header_names.find_value(headers, header_names.COLD)),
            denies_run=status in DENYING_STATUSES,
        )

    def decode_export(self, source: str, body: bytes) -> HeldCache | None:
        """Return the KV cache that a prefill exported, ``None`` when the answer is malformed.

        :param source: address of the engine that holds it.
        """
        try:
            export = decode_json(body, _ExportAnswer)
        except ValueError:
            return None
        if not is_token(export.kv_handle) or "/" in export.kv_handle:
            return None
        return HeldCache(source, ExportHandle(export.kv_handle))

    def encode_release(self, cache: HeldCache) -> HttpRequest:
        """Return the request that frees KV cache at the engine that holds it."""
        headers = [("Host", cache.source)]
        return HttpRequest("DELETE", f"/api/kv-handle/{cache.handle}", headers)

    def encode_hold(self, member: Member, tokens: int, lifetime: timedelta) -> HttpRequest:
        """Return the request that has a decode engine reserve capacity for a call."""
        lifetime_ms = max(1, int(lifetime / timedelta(milliseconds=1)))
        body = msgspec.json.encode({"tokens": tokens, "ttl-ms": lifetime_ms})
        headers = [
            *_make_target_headers(member),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        return HttpRequest("POST", "/api/hold-take", headers, body)

    def decode_hold(self, status: int, body: bytes) -> HoldAnswer:
        """Return the result of a request for a hold, with the hold if it was granted."""
        if status in {UNAVAILABLE, MISDIRECTED}:
            is_refused = status == UNAVAILABLE
            return HoldAnswer(HoldResult.REFUSED if is_refused else HoldResult.WRONG_SERVER)
        try:
            hold = decode_json(body, _HoldAnswer).hold if status == OK else ""
        except ValueError:
            hold = ""
        if not is_token(hold):
            return HoldAnswer(HoldResult.UNREADABLE)
        return HoldAnswer(HoldResult.TAKEN, HoldId(hold))

    def encode_hold_release(self, member: Member, hold: HoldId) -> HttpRequest:
        """Return the request that frees a hold that no call has used."""
        return HttpRequest(
            "DELETE", f"/api/hold-drop/{quote(hold, safe='')}", _make_target_headers(member)
        )

    def encode_report(self, member: Member) -> HttpRequest:
        """Return the request for an engine's state."""
        return HttpRequest("GET", "/api/report", _make_target_headers(member))

    def decode_report(self, status: int, body: bytes) -> EngineReport | None:
        """Return an engine's state, ``None`` when the answer is malformed or not a success."""
        if status != OK:
            return None
        try:
            state = decode_json(body, _EngineState)
        except ValueError:
            return None
        role = ROLES.get(state.stage)
        return None if role is None else EngineReport(role, state.busy, state.seq)

    def encode_order(
        self,
        member: Member,
        role: BackendRole,
        holder: HostId,
        fencing: FencingNumber,
        sequence: int,
    ) -> HttpRequest:
        """Return the request that orders an engine to take another role.

        :param holder: host that holds the lease under which it orders.
        :param sequence: number of orders that the engine must have taken so far.
        """
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
            *_make_target_headers(member),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        return HttpRequest("POST", "/api/order", headers, body)

    def decode_order(self, status: int) -> OrderResult:
        """Return the result of an order by the status of its answer."""
        return ORDER_RESULTS.get(status, OrderResult.UNKNOWN)


def _make_target_headers(member: Member) -> Headers:
    return [("Host", member.address), ("X-Expect-Instance", str(member.id))]


def _classify_answer(request: RequestId, status: int, headers: Headers) -> AnswerKind:
    echoed = header_names.find_value(headers, header_names.REQUEST_ID)
    if echoed is not None and echoed != request:
        return AnswerKind.FOREIGN
    if header_names.find_value(headers, header_names.CONTENT_ENCODING) is not None:
        return AnswerKind.FOREIGN
    if status == MISDIRECTED:
        return AnswerKind.WRONG_SERVER
    if header_names.find_value(headers, header_names.NOT_RUN) is not None:
        return AnswerKind.NOT_RUN
    return AnswerKind.SERVED if FIRST_SUCCESS <= status < FIRST_REDIRECT else AnswerKind.FAILED


def _read_load(value: str | None) -> BackendLoad | None:
    match = LOAD_PATTERN.fullmatch(value) if value is not None else None
    if match is None:
        return None
    return BackendLoad(int(match[1]), int(match[2]), int(match[3]), _read_pace(match[4]))


def _read_pace(value: str | None) -> float | None:
    """Return the pace, ``None`` without a valid one, which leaves the rest of the load valid."""
    if value is None or not PACE_PATTERN.fullmatch(value) or not int(value):
        return None
    return min(MAX_PACE, max(MIN_PACE, int(value))) / USUAL_PACE


def _read_idle_timeout(value: str | None) -> timedelta | None:
    match = KEEP_ALIVE_PATTERN.search(value) if value is not None else None
    return timedelta(seconds=int(match[1])) if match else None


def _read_rest(status: int, value: str | None) -> timedelta | None:
    """Return the rest that a rejection asks for; a date, or anything but seconds, asks for none."""
    if status != UNAVAILABLE or value is None or not REST_PATTERN.fullmatch(value):
        return None
    return timedelta(seconds=float(value)) or None


def _read_cold(value: str | None) -> timedelta | None:
    """Return how long the server says it stays cold, ``None`` when it does not say."""
    if value is None or not COLD_PATTERN.fullmatch(value):
        return None
    return timedelta(milliseconds=float(value))


@GATEWAY_SERVICES.register("backend_dialect")
def make_backend_dialect(kernel: Kernel) -> Any:
    """Make the service ``backend_dialect``."""
    return kernel.wrap(PlatformBackends())
