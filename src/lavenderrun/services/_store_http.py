"""Store dialect ``http``: one HTTP request per attempt; see ``docs/design/store-protocol.md``."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.http_headers import Headers

from lavenderrun.kernel import Kernel
from lavenderrun.services._http_client import BytesBody, make_pooled_http_agent, read_response_body
from lavenderrun.services._store import STORE_DIALECTS
from lavenderrun.types import (
    StoreConflictError,
    StoredRow,
    StoreSettings,
    StoreThrottledError,
    StoreUnavailableError,
)

EXPECTED_VERSION_HEADER = "If-Match"
DEFAULT_RETRY_AFTER = timedelta(seconds=1)
THROTTLED_STATUSES = {HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE}


class HttpStore:
    """Implements ``Store`` with one attempt per call, over persistent connections."""

    def __init__(self, url: str, reactor: Any, connections: int) -> None:
        self._agent = make_pooled_http_agent(reactor, connections)
        self._url = url.rstrip("/")

    def get(self, table: str, key: str) -> Deferred[StoredRow | None]:
        """Read one row, ``None`` when it is absent."""
        return self._call("GET", _make_path(table, key), _decode_row, may_be_absent=True)

    def scan(self, table: str) -> Deferred[list[StoredRow]]:
        """Read all rows of a table."""
        return self._call("GET", _make_path(table), _decode_rows)

    def put(self, table: str, key: str, value: bytes, *, expect: int) -> Deferred[StoredRow]:
        """Write when the row's version is *expect*; fails with :class:`StoreConflictError`."""
        return self._call("PUT", _make_path(table, key), _decode_row, expect, value)

    def delete(self, table: str, key: str, *, expect: int) -> Deferred[None]:
        """Delete when the row's version is *expect*; fails with :class:`StoreConflictError`."""
        return self._call("DELETE", _make_path(table, key), lambda _: None, expect)

    def _call(
        self,
        method: str,
        path: str,
        decode: Callable[[bytes], Any],
        expect: int | None = None,
        value: bytes | None = None,
        *,
        may_be_absent: bool = False,
    ) -> Deferred[Any]:
        headers = Headers()
        if expect is not None:
            headers.addRawHeader(EXPECTED_VERSION_HEADER, str(expect))
        body = None if value is None else BytesBody(value)
        url = (self._url + path).encode("ascii")
        response: Deferred[Any] = self._agent.request(method.encode("ascii"), url, headers, body)
        response.addCallback(_read_response, decode, may_be_absent=may_be_absent)
        response.addErrback(_translate_failure)
        return response


def _make_path(table: str, key: str | None = None) -> str:
    rows = f"/tables/{quote(table, safe='')}/rows"
    return rows if key is None else f"{rows}/{quote(key, safe='')}"


def _read_response(
    response: Any, decode: Callable[[bytes], Any], *, may_be_absent: bool
) -> Deferred[Any]:
    body = read_response_body(response)
    return body.addCallback(_decode_response, response, decode, may_be_absent=may_be_absent)


def _decode_response(
    body: bytes, response: Any, decode: Callable[[bytes], Any], *, may_be_absent: bool
) -> Any:
    code: int = response.code
    if code == HTTPStatus.OK:
        return decode(body)
    if code == HTTPStatus.NOT_FOUND and may_be_absent:
        return None
    if code == HTTPStatus.PRECONDITION_FAILED:
        raise StoreConflictError(_decode_row(body))
    if code in THROTTLED_STATUSES:
        raise StoreThrottledError(f"status {code}", retry_after=_find_retry_after(response))
    msg = f"status {code}"
    raise StoreUnavailableError(msg)


def _find_retry_after(response: Any) -> timedelta:
    values = response.headers.getRawHeaders("Retry-After") or [""]
    try:
        return timedelta(seconds=float(values[0]))
    except ValueError:
        return DEFAULT_RETRY_AFTER


def _decode_row(body: bytes) -> StoredRow | None:
    return msgspec.json.decode(body, type=StoredRow | None)


def _decode_rows(body: bytes) -> list[StoredRow]:
    return msgspec.json.decode(body, type=list[StoredRow])


def _translate_failure(failure: Failure) -> Failure:
    if isinstance(failure.value, StoreConflictError | StoreUnavailableError):
        return failure
    raise StoreUnavailableError(type(failure.value).__name__)


@STORE_DIALECTS.register("http")
def make_http_store(_kernel: Kernel, settings: StoreSettings) -> HttpStore:
    """Make the dialect on the running reactor."""
    from twisted.internet import reactor

    return HttpStore(settings.url, reactor, settings.in_flight)
