"""What the gateways of a benchmark speak to its servers and its table service."""

from __future__ import annotations

from collections.abc import Collection
from datetime import timedelta
from typing import Any

import msgspec

from lavenderrun.gateway import HttpRequest, RowChange, RowPage, RowWrite
from lavenderrun.standins import LEAVING_HEADER, REJECTED, REST_HEADER
from lavenderrun.types import (
    AnswerHead,
    AnswerKind,
    BackendLoad,
    CallContext,
    Configuration,
    DataCentre,
    GatewayCall,
    Headers,
    Member,
    RequestId,
    StoreEra,
)

REQUEST_HEADER = "Bench-Request"
SERVED_BY_HEADER = "Bench-Served-By"
"""Id and run of the server that answers."""
RUNNING_HEADER = "Bench-Running"
SLOTS_HEADER = "Bench-Slots"
"""Calls that the server runs, and those that it can run at once."""

HTTP_HOST = "bench"
MEMBERS_TABLE = "members"
CONFIGURATION_TABLE = "configuration"

OK, FIRST_REDIRECT = 200, 300


def find_header(headers: Headers, name: str) -> str | None:
    """Return the value of a header, ``None`` without it."""
    return next((value for given, value in headers if given.lower() == name.lower()), None)


def _read_load(headers: Headers) -> BackendLoad:
    running, slots = (
        int(find_header(headers, name) or 0) for name in (RUNNING_HEADER, SLOTS_HEADER)
    )
    return BackendLoad(running, 0, slots)


class BenchStoreDialect:
    """Implements the part of ``StoreDialect`` that reads; nothing is written in a benchmark.

    :param configuration: the only configuration.
    """

    configuration_table = CONFIGURATION_TABLE
    members_table = MEMBERS_TABLE
    hosts_table = "hosts"
    leases_table = "leases"

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def encode_read(self, table: str, start: str) -> HttpRequest:
        """Return the call that reads a table."""
        del start
        return HttpRequest("GET", f"/{table}", [("Host", HTTP_HOST)])

    def encode_feed(self, table: str, after: int, wait: timedelta) -> HttpRequest:
        """Return the call that waits for changes after a version."""
        target = f"/{table}/{after}/{wait.total_seconds()}"
        return HttpRequest("GET", target, [("Host", HTTP_HOST)])

    def encode_write(self, table: str, writes: Collection[RowWrite]) -> HttpRequest:
        """Fail: gateways of a benchmark write no rows."""
        raise NotImplementedError

    def decode_era(self, headers: Headers) -> StoreEra | None:
        """Return ``None``: the store of a benchmark never goes back."""
        del headers
        return None

    def decode_rows(self, status: int, body: bytes) -> RowPage:
        """Return the rows in an answer."""
        del status
        return msgspec.msgpack.decode(body, type=RowPage)

    def decode_configuration(self, rows: Collection[RowChange]) -> Configuration | None:
        """Return the configuration if there is a row."""
        return self._configuration if rows else None

    def decode_member(self, row: RowChange) -> Member | None:
        """Return the backend server in a row."""
        return None if row.value is None else msgspec.msgpack.decode(row.value, type=Member)

    def decode_evacuation(self, row: RowChange) -> DataCentre | None:
        """Return ``None``: no data centre is evacuated in a benchmark."""
        del row
        return None


class BenchBackendDialect:
    """Implements the part of ``BackendDialect`` that plain calls need."""

    def encode_call(self, call: GatewayCall, dispatch: CallContext) -> HttpRequest:
        """Return the request that has a backend server run the call."""
        del dispatch
        headers = [("Host", HTTP_HOST), (REQUEST_HEADER, call.id)]
        if call.body:
            headers.append(("Content-Length", str(len(call.body))))
        return HttpRequest(call.method, call.target, headers, call.body)

    def decode_head(self, request: RequestId, status: int, headers: Headers) -> AnswerHead:
        """Return the decoded head of an answer."""
        del request
        rest = find_header(headers, REST_HEADER)
        kind = AnswerKind.SERVED if OK <= status < FIRST_REDIRECT else AnswerKind.FAILED
        return AnswerHead(
            status,
            AnswerKind.NOT_RUN if status == REJECTED else kind,
            headers,
            _read_load(headers),
            None,
            signed=True,
            leaving=find_header(headers, LEAVING_HEADER) is not None,
            rest=None if rest is None else timedelta(seconds=float(rest)),
        )

    def __getattr__(self, name: str) -> Any:
        """Fail for what only model calls need."""
        raise NotImplementedError(name)
