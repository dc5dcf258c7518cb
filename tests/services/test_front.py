from __future__ import annotations

import json
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace
from typing import Any, ClassVar

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.task import Clock as FakeReactor
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from lavenderrun.kernel import Kernel, ReactorClock
from lavenderrun.services import FrontService
from lavenderrun.types import (
    Document,
    FinishReason,
    FrontSettings,
    ModelRequest,
    Outcome,
    PlainRequest,
    Refusal,
    Refused,
    Step,
)

KEY = "marker-key-5150"
AUTH = f"Authorization: Bearer {KEY}"
COMPLETION = json.dumps({"model": "mill", "prompt": "summarise"})
STREAMED = json.dumps({"model": "mill", "prompt": "summarise", "stream": True})


class FakeHandle:
    def __init__(self) -> None:
        self.cancelled = 0
        self.paces: list[bool] = []
        self.outcome = Outcome.UNKNOWN

    def find_outcome(self) -> Outcome:
        return self.outcome

    def cancel(self) -> None:
        self.cancelled += 1

    def pace(self, *, slow: bool) -> None:
        self.paces.append(slow)


class FakeRouter:
    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self) -> None:
        self.requests: list[Any] = []
        self.sinks: list[Any] = []
        self.handles: list[FakeHandle] = []
        self.on_submit: Callable[[Any], None] = lambda sink: None

    def start(self) -> None: ...

    def stop(self) -> None: ...

    def submit_model(self, request: ModelRequest, sink: Any) -> FakeHandle:
        return self._submit(request, sink)

    def submit_plain(self, request: PlainRequest, sink: Any) -> FakeHandle:
        return self._submit(request, sink)

    def _submit(self, request: Any, sink: Any) -> FakeHandle:
        self.requests.append(request)
        self.sinks.append(sink)
        self.handles.append(FakeHandle())
        self.on_submit(sink)
        return self.handles[-1]


class FakeDocument:
    needs: ClassVar[tuple[str, ...]] = ()
    version = 1

    def __init__(self, document: Document | None) -> None:
        self.current = document

    def start(self) -> None: ...

    def stop(self) -> None: ...


class FakeAdmission:
    needs: ClassVar[tuple[str, ...]] = ()

    def start(self) -> None: ...

    def stop(self) -> None: ...

    def admit_model(self, request: ModelRequest) -> Any:
        if request.key != KEY:
            return refusal(Refusal.UNKNOWN_KEY)
        return refusal(Refusal.ROUTE_NOT_ALLOWED) if request.model == "closed" else None


class Caller:
    """One caller's connection to the front service, over a string transport."""

    def __init__(self, *, document: Document | None = None, **settings: Any) -> None:
        self.unread = b""
        self.reactor = FakeReactor()
        self.clock = ReactorClock(self.reactor, datetime(2026, 1, 1, tzinfo=UTC), zero=0.0)
        kernel = Kernel(self.clock, SimpleNamespace(front=FrontSettings(**settings)))
        self.router = FakeRouter()
        kernel.add("router", self.router)
        kernel.add("document", FakeDocument(document))
        kernel.add("admission", FakeAdmission())
        self.front = FrontService(kernel)
        self.factory = self.front.make_factory(self.reactor)  # type: ignore[arg-type]
        self.connect()

    def connect(self) -> None:
        self.channel: Any = self.factory.buildProtocol(None)
        transport: Any = StringTransport()
        self.transport = transport
        transport.getHandle = self.make_socket
        transport.abortConnection = self.abort
        transport.loseWriteConnection = lambda: None
        self.aborted = False
        self.channel.makeConnection(self.transport)

    def make_socket(self) -> Any:
        def recv(*_: int) -> bytes:
            if not self.unread:
                raise BlockingIOError
            return self.unread

        return SimpleNamespace(recv=recv)

    def abort(self) -> None:
        self.aborted = True
        self.channel.connectionLost(Failure(ConnectionLost()))

    def send(
        self, method: str, path: str, body: str | bytes = b"", headers: tuple[str, ...] = ()
    ) -> bytes:
        raw = body.encode() if isinstance(body, str) else body
        lines = [f"{method} {path} HTTP/1.1", "Host: front", f"Content-Length: {len(raw)}"]
        head = "\r\n".join([*lines, *headers]) + "\r\n\r\n"
        return self.send_raw(head.encode("latin-1") + raw)

    def send_raw(self, data: bytes) -> bytes:
        self.transport.clear()
        self.channel.dataReceived(data)
        value: bytes = self.transport.value()
        return value


def read_error(answer: bytes) -> tuple[int, dict[str, Any], bytes]:
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)["error"], head


def refusal(kind: Refusal, outcome: Outcome = Outcome.NOT_RUN) -> Refused:
    return Refused(kind, outcome, Step.SEAT, retry_after=timedelta(milliseconds=1500))


def test_whole_answer_and_request_id_on_a_persistent_connection() -> None:
    caller = Caller()
    for _ in range(2):
        caller.send("POST", "/v1/completions", COMPLETION, (AUTH,))
        sink = caller.router.sinks[-1]
        sink.put_tokens(["wire ", "sum"])
        sink.put_tokens(["mary"])
        sink.finish(FinishReason.STOP)
        head, _, body = caller.transport.value().partition(b"\r\n\r\n")
        answer = json.loads(body)
        assert answer["choices"][0] == {
            "text": "wire summary",
            "finish_reason": "stop",
            "index": 0,
            "logprobs": None,
        }
        assert answer["usage"] == {"prompt_tokens": 3, "completion_tokens": 3, "total_tokens": 6}
        request = caller.router.requests[-1]
        assert f"X-Request-Id: {request.request}".encode() in head
        assert request.key == KEY
    assert not caller.transport.disconnecting


def test_stream_ends_with_done_and_a_broken_one_with_an_error_event() -> None:
    caller = Caller()
    caller.send(
        "POST",
        "/v1/chat/completions",
        json.dumps(
            {"model": "mill", "messages": [{"role": "user", "content": "hi"}], "stream": True}
        ),
        (AUTH,),
    )
    caller.router.sinks[-1].put_tokens(['a"', "b"])
    assert b'"delta":{"content":"a\\"b"},"finish_reason":null' in caller.transport.value()
    caller.router.sinks[-1].finish(FinishReason.LENGTH)
    assert b'"finish_reason":"length"' in caller.transport.value()
    assert b"data: [DONE]\n\n" in caller.transport.value()
    caller.send("POST", "/v1/completions", STREAMED, (AUTH,))
    caller.router.sinks[-1].put_tokens(["a"])
    caller.router.sinks[-1].refuse(refusal(Refusal.BACKEND_LOST, Outcome.UNKNOWN))
    value = caller.transport.value()
    assert b'"code":"backend_lost","outcome":"unknown"' in value
    assert b"[DONE]" not in value
    assert caller.transport.disconnecting


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "status", "code", "param"),
    [
        ("POST", "/v1/completions", COMPLETION, (), 401, "no_key", "Authorization"),
        ("POST", "/v1/completions", COMPLETION, ("Authorization: x y z",), 401, "no_key", None),
        ("POST", "/v1/completions", b"{", (AUTH,), 400, "bad_request", "body"),
        ("POST", "/v1/completions", b'{"model":"\xff"}', (AUTH,), 400, "bad_request", "body"),
        ("POST", "/v1/completions", b"[" * 9999, (AUTH,), 400, "bad_request", "body"),
        ("POST", "/v1/completions", b'{"model":"m"}', (AUTH,), 400, "bad_request", "prompt"),
        (
            "POST",
            "/v1/completions",
            b'{"model":"m","prompt":"p","max_tokens":"9"}',
            (AUTH,),
            400,
            "bad_request",
            "max_tokens",
        ),
        (
            "POST",
            "/v1/chat/completions",
            b'{"model":"m","messages":[{"role":"user","content":5}]}',
            (AUTH,),
            400,
            "bad_request",
            "messages[0].content",
        ),
        (
            "POST",
            "/v1/completions",
            COMPLETION,
            (AUTH, "Idempotency-Key: a b"),
            400,
            "bad_request",
            "Idempotency-Key",
        ),
        ("POST", "/v1/completions", b"x" * 20000, (AUTH,), 413, "too_large", "body"),
        ("GET", "/v1/models", b"", (AUTH,), 503, "not_ready", None),
    ],
)
def test_bad_input_gets_a_clear_answer(
    method: str,
    path: str,
    body: str | bytes,
    headers: tuple[str, ...],
    status: int,
    code: str,
    param: str | None,
) -> None:
    caller = Caller(max_body=10_000, max_plain_body=100_000)
    answer = caller.send(method, path, body, headers)
    found, error, head = read_error(answer)
    assert (found, error["code"], error["outcome"]) == (status, code, "not-run")
    assert b"Lavenderrun-Outcome: not-run" in head
    assert b"X-Request-Id: " in head
    if param is not None:
        assert error["param"] == param
        assert error["message"].startswith(param)
    assert KEY.encode() not in answer
    assert not caller.router.requests


@pytest.mark.parametrize(
    ("refused", "status"),
    [
        (refusal(Refusal.UNKNOWN_KEY), 401),
        (refusal(Refusal.ROUTE_NOT_ALLOWED), 403),
        (refusal(Refusal.UNKNOWN_MODEL), 404),
        (refusal(Refusal.IDEMPOTENCY_CONFLICT), 409),
        (refusal(Refusal.OVER_RATE), 429),
        (refusal(Refusal.BACKEND_LOST, Outcome.UNKNOWN), 502),
        (refusal(Refusal.NO_ROOM), 503),
        (refusal(Refusal.DEADLINE), 504),
    ],
)
def test_refusals_carry_status_outcome_and_retry_after(refused: Refused, status: int) -> None:
    caller = Caller()
    caller.router.on_submit = lambda sink: sink.refuse(refused)
    found, error, head = read_error(caller.send("POST", "/v1/completions", STREAMED, (AUTH,)))
    assert (found, error["code"]) == (status, refused.refusal.value)
    assert f"Lavenderrun-Outcome: {refused.outcome.value}".encode() in head
    assert b"Retry-After: 2" in head


def test_every_refusal_has_a_status() -> None:
    for kind in Refusal:
        caller = Caller()
        caller.router.on_submit = lambda sink, kind=kind: sink.refuse(refusal(kind))  # type: ignore[misc]
        status, error, _ = read_error(caller.send("POST", "/v1/completions", COMPLETION, (AUTH,)))
        assert status >= 400
        assert error["message"]


def test_declared_body_over_the_bound_is_refused_before_it_is_read() -> None:
    caller = Caller(max_body=10, max_plain_body=10)
    head = b"POST /v1/completions HTTP/1.1\r\nContent-Length: 25\r\nExpect: 100-continue\r\n\r\n"
    status, error, raw = read_error(caller.send_raw(head))
    assert (status, error["code"]) == (413, "too_large")
    assert b"100 Continue" not in raw
    caller.channel.dataReceived(b"x" * 25)
    assert caller.transport.disconnecting


def test_endless_chunked_body_is_refused_and_its_connection_aborted() -> None:
    caller = Caller(max_body=10, max_plain_body=10)
    caller.send_raw(b"POST /orders HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
    status, _, _ = read_error(caller.send_raw(b"14\r\n" + b"x" * 20 + b"\r\n"))
    assert status == 413
    caller.channel.dataReceived(b"14\r\n" + b"x" * 20 + b"\r\n")
    caller.channel.dataReceived(b"14\r\n" + b"x" * 20 + b"\r\n")
    assert caller.aborted


def test_malformed_http_gets_a_json_answer() -> None:
    caller = Caller()
    status, error, _ = read_error(caller.send_raw(b"NONSENSE\r\n\r\n"))
    assert (status, error["code"]) == (400, "bad_request")
    assert caller.transport.disconnecting


# a long line ended its connection without any answer, more lines got a 400 that named no size
@pytest.mark.parametrize(
    "lines",
    [b"X: " + b"x" * 20_000, b"X: xx\r\n" * 4000, b"X: " + b"x" * 9000 + b"\r\nY: " + b"y" * 9000],
    ids=["one line", "many lines", "two lines"],
)
def test_a_head_that_is_too_large_is_refused_with_the_limit(lines: bytes) -> None:
    caller = Caller()
    status, error, _ = read_error(caller.send_raw(b"GET / HTTP/1.1\r\n" + lines + b"\r\n\r\n"))
    assert (status, error["code"], error["outcome"]) == (431, "head_too_large", "not-run")
    assert "16384" in error["message"]


def test_unexpected_error_is_answered_as_unknown_without_a_traceback() -> None:
    caller = Caller()

    def fail(sink: Any) -> None:
        raise RuntimeError(KEY)

    caller.router.on_submit = fail
    status, error, raw = read_error(caller.send("POST", "/v1/completions", COMPLETION, (AUTH,)))
    assert (status, error["outcome"]) == (502, "unknown")
    assert KEY.encode() not in raw
    assert b"Traceback" not in raw


# the connection was closed without an answer, since only the router's errors were caught
def test_an_unexpected_error_before_the_router_is_answered_and_harms_no_later_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_: Any) -> None:
        raise RuntimeError(KEY)

    caller = Caller()
    with monkeypatch.context() as patched:
        patched.setattr(caller.front, "_find_endpoint", fail)
        status, error, raw = read_error(caller.send("GET", "/v1/models", headers=(AUTH,)))
    assert (status, error["outcome"]) == (502, "unknown")
    assert KEY.encode() not in raw
    assert caller.front.account is not None
    assert not sum(caller.front.account.unanswered.values())
    caller.send("POST", "/v1/completions", COMPLETION, (AUTH,))
    assert len(caller.router.requests) == 1


def test_caller_that_disconnects_cancels_its_request_once() -> None:
    caller = Caller()
    caller.send("POST", "/v1/completions", STREAMED, (AUTH,))
    caller.router.sinks[0].put_tokens(["a"])
    caller.channel.connectionLost(Failure(ConnectionLost()))
    assert caller.router.handles[0].cancelled == 1
    caller.router.sinks[0].put_tokens(["late"])
    caller.router.sinks[0].finish(FinishReason.STOP)
    caller.router.sinks[0].refuse(refusal(Refusal.DEADLINE))


def test_slow_caller_is_buffered_and_paused_and_dropped_over_the_bound() -> None:
    caller = Caller(buffer=2000)
    caller.send("POST", "/v1/completions", STREAMED, (AUTH,))
    sink, handle = caller.router.sinks[0], caller.router.handles[0]
    sink.put_tokens(["a"])
    caller.transport.producer.pauseProducing()
    size = len(caller.transport.value())
    sink.put_tokens(["kept"])
    assert len(caller.transport.value()) == size
    sink.put_tokens([" too"])
    caller.transport.producer.resumeProducing()
    assert caller.transport.value().count(b"data: ") == 2
    assert b'"kept too"' in caller.transport.value()
    caller.transport.producer.pauseProducing()
    assert handle.paces == [True, False, True]
    for _ in range(21):
        sink.put_tokens(["x" * 100])
    assert caller.aborted
    assert handle.cancelled == 1


def test_caller_that_reads_nothing_is_dropped_after_the_stall_time() -> None:
    caller = Caller(stall=timedelta(seconds=5))
    caller.send("POST", "/v1/completions", STREAMED, (AUTH,))
    caller.router.sinks[0].put_tokens(["a"])
    caller.transport.producer.pauseProducing()
    caller.router.sinks[0].finish(FinishReason.STOP)
    caller.reactor.advance(5)
    assert caller.aborted


def test_silent_connection_is_closed_after_the_idle_time_but_not_a_waiting_caller() -> None:
    caller = Caller(idle=timedelta(seconds=5))
    caller.send("POST", "/v1/completions", COMPLETION, (AUTH,))
    caller.reactor.advance(60)
    assert not caller.transport.disconnecting
    caller.router.sinks[0].finish(FinishReason.STOP)
    caller.reactor.advance(6)
    assert caller.transport.disconnecting


def test_half_a_request_is_closed_after_the_idle_time() -> None:
    caller = Caller(idle=timedelta(seconds=5))
    caller.send_raw(b"POST /v1/completions HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc")
    caller.reactor.advance(6)
    assert caller.transport.disconnecting


def test_plain_call_passes_method_and_headers_but_neither_key_nor_hop_headers() -> None:
    caller = Caller()
    headers = (AUTH, "Connection: keep-alive, X-Hop", "X-Hop: 1", "X-Kept: 2", "TE: trailers")
    caller.send("PATCH", "/orders/7?full=1", b"\x00\xff", headers)
    request = caller.router.requests[0]
    assert (request.method, request.path, request.body) == (
        "PATCH",
        "/orders/7?full=1",
        b"\x00\xff",
    )
    assert {name.lower() for name, _ in request.headers} == {"host", "x-kept"}
    assert request.key == KEY
    assert KEY not in repr(request)
    sink = caller.router.sinks[0]
    sink.put_head(201, [("Content-Type", "text/plain"), ("Content-Length", "2")])
    sink.put_body(b"ok")
    sink.finish()
    assert caller.transport.value().startswith(b"HTTP/1.1 201 Created\r\n")
    assert caller.transport.value().endswith(b"\r\n\r\nok")


def test_plain_reply_that_breaks_is_cut_and_not_ended() -> None:
    caller = Caller()
    caller.send("GET", "/orders/7", b"", (AUTH,))
    sink = caller.router.sinks[0]
    sink.put_head(200, [])
    sink.put_body(b"half")
    sink.refuse(refusal(Refusal.BACKEND_LOST, Outcome.UNKNOWN))
    assert not caller.transport.value().endswith(b"0\r\n\r\n")
    assert caller.transport.disconnecting


def test_plain_reply_that_breaks_before_its_first_byte_gets_an_error_answer() -> None:
    caller = Caller()
    caller.send("GET", "/orders/7", b"", (AUTH,))
    sink = caller.router.sinks[0]
    sink.put_head(200, [("Content-Length", "4"), ("X-Own", "1")])
    sink.refuse(refusal(Refusal.BACKEND_LOST, Outcome.UNKNOWN))
    status, error, head = read_error(caller.transport.value())
    assert (status, error["code"]) == (502, "backend_lost")
    assert b"X-Own" not in head
    assert not caller.transport.disconnecting


def test_malformed_key_is_ignored_only_on_an_open_route() -> None:
    route = {"name": "browse", "prefix": "/layouts", "service": "editor", "open": True}
    document = Document.model_validate({"plain_routes": [route]})
    caller = Caller(document=document)
    caller.send("GET", "/layouts/3", b"", ("Authorization: Basic abc",))
    assert caller.router.requests[0].key is None
    caller.connect()
    status, error, _ = read_error(caller.send("GET", "/other", b"", ("Authorization: Basic abc",)))
    assert (status, error["code"]) == (401, "no_key")


# the body was examined first: 400 or 413, and its field, for a caller without a valid key
@pytest.mark.parametrize("body", [b"{}", b"[", b"x" * 200])
def test_a_caller_with_an_unknown_key_learns_nothing_about_its_body(body: bytes) -> None:
    caller = Caller(max_body=100)
    unknown = "Authorization: Bearer other"
    status, error, _ = read_error(caller.send("POST", "/v1/completions", body, (unknown,)))
    assert (status, error["code"]) == (401, "unknown_key")
    caller.connect()
    status, _, _ = read_error(caller.send("POST", "/v1/completions", body, (AUTH,)))
    assert status in {400, 413}


def test_models_are_listed_for_a_known_key_and_its_routes_only() -> None:
    routes = [{"name": name, "model": name} for name in ("mill", "closed")]
    caller = Caller(document=Document.model_validate({"model_routes": routes}))
    answer = caller.send("GET", "/v1/models", b"", (AUTH,))
    models = json.loads(answer.partition(b"\r\n\r\n")[2])
    assert [model["id"] for model in models["data"]] == ["mill"]
    status, error, _ = read_error(
        caller.send("GET", "/v1/models", b"", ("Authorization: Bearer other",))
    )
    assert (status, error["code"]) == (401, "unknown_key")


def test_stop_finishes_what_runs_and_closes_idle_connections() -> None:
    caller = Caller()
    idle, idle_channel = caller.transport, caller.channel
    caller.connect()
    caller.send("POST", "/v1/completions", COMPLETION, (AUTH,))
    fired: list[Any] = []
    caller.front.stop().addCallback(fired.append)
    assert idle.disconnecting
    idle_channel.connectionLost(Failure(ConnectionDone()))
    caller.router.sinks[0].finish(FinishReason.STOP)
    assert b"text_completion" in caller.transport.value()
    assert caller.transport.disconnecting
    assert not fired
    caller.channel.connectionLost(Failure(ConnectionDone()))
    assert fired


@given(st.binary(max_size=200))
def test_any_body_is_served_or_refused_by_name(body: bytes) -> None:
    caller = Caller()
    for path in ("/v1/completions", "/v1/chat/completions"):
        caller.connect()
        answer = caller.send("POST", path, body, (AUTH,))
        if answer:
            assert read_error(answer)[0] == 400


WORDS = st.text("ab", max_size=5)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | WORDS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(WORDS, inner),
    max_leaves=8,
)
FIELDS = st.sampled_from(["model", "prompt", "messages", "max_tokens", "stream", "n", "role"])


@given(st.dictionaries(FIELDS, JSON_VALUES))
def test_any_json_object_is_served_or_refused_by_name(body: dict[str, Any]) -> None:
    caller = Caller()
    for path in ("/v1/completions", "/v1/chat/completions"):
        caller.connect()
        answer = caller.send("POST", path, json.dumps(body), (AUTH,))
        if answer:
            status, error, _ = read_error(answer)
            assert (status, bool(error["param"])) == (400, True)


@given(st.binary(max_size=60), st.binary(max_size=60))
def test_any_header_value_is_served_or_answered(key: bytes, idempotency_key: bytes) -> None:
    caller = Caller()
    head = b"POST /v1/completions HTTP/1.1\r\nAuthorization: " + key
    head += b"\r\nIdempotency-Key: " + idempotency_key
    head += b"\r\nContent-Length: %d\r\n\r\n" % len(COMPLETION)
    answer = caller.send_raw(head + COMPLETION.encode())
    if not caller.router.requests and answer:
        assert int(answer.split()[1]) in (400, 401)


# requests that outlasted the drain had their connections aborted, and counted as callers gone
@pytest.mark.parametrize(
    ("outcome", "status"), [(Outcome.UNKNOWN, 502), (Outcome.NOT_RUN, 503)], ids=str
)
def test_a_request_that_outlasts_the_drain_is_answered_with_its_outcome(
    outcome: Outcome, status: int
) -> None:
    caller = Caller()
    caller.send("POST", "/v1/completions", COMPLETION, (AUTH,))
    caller.router.handles[0].outcome = outcome
    caller.front.stop()
    caller.reactor.advance(120.5)
    answered, error, head = read_error(caller.transport.value())
    assert (answered, error["code"], error["outcome"]) == (status, "leaving", outcome.value)
    assert b"connection: close" in head.lower()
    assert caller.transport.disconnecting
    assert not caller.aborted
    assert caller.router.handles[0].cancelled == 1


# the events of a stream that was cut by the end of the drain just ceased
def test_a_stream_that_outlasts_the_drain_ends_with_an_error_event() -> None:
    caller = Caller()
    caller.send("POST", "/v1/completions", STREAMED, (AUTH,))
    caller.router.sinks[0].put_tokens(["wire"])
    caller.front.stop()
    caller.reactor.advance(120.5)
    assert b'"leaving"' in caller.transport.value()
    assert b"[DONE]" not in caller.transport.value()
    assert caller.transport.disconnecting


def test_a_caller_that_does_not_read_does_not_hold_up_the_end_of_the_drain() -> None:
    caller = Caller()
    caller.send("POST", "/v1/completions", COMPLETION, (AUTH,))
    fired: list[Any] = []
    caller.front.stop().addCallback(fired.append)
    caller.reactor.advance(120)
    assert not fired
    caller.reactor.advance(2)
    assert caller.aborted
    assert fired


GET = f"GET /orders/7 HTTP/1.1\r\nHost: front\r\n{AUTH}\r\n\r\n".encode()
POST = GET.replace(b"GET", b"POST").replace(b"\r\n\r\n", b"\r\nContent-Length: 3\r\n\r\nabc")
SIZED = [("Content-Length", "2")]


def answer_plain(sink: Any) -> None:
    sink.put_head(200, SIZED)
    sink.put_body(b"ok")
    sink.finish()


# the entry closed the connection after the answer under way and dropped what had come behind it
@pytest.mark.parametrize("request_", [GET, POST], ids=["get", "post"])
@pytest.mark.parametrize("comes_late", [False, True], ids=["before the stop", "after it"])
def test_a_stopping_entry_answers_a_request_that_came_behind_the_one_under_way(
    request_: bytes, comes_late: bool
) -> None:
    caller = Caller()
    caller.send_raw(request_ if comes_late else request_ + request_)
    caller.front.stop()
    if comes_late:
        caller.channel.dataReceived(request_)
    for number in range(2):
        answer_plain(caller.router.sinks[number])
    value = caller.transport.value()
    assert value.count(b"HTTP/1.1 200 OK") == 2
    assert value.lower().count(b"connection: close") == 1
    assert value.lower().rindex(b"connection: close") > value.index(b"ok")
    assert caller.transport.disconnecting


# the request behind was dropped, or was passed on and cut when its connection was aborted
def test_at_the_end_of_the_drain_a_request_behind_the_one_under_way_is_refused_as_not_run() -> None:
    caller = Caller()
    caller.send_raw(GET + GET)
    caller.front.stop()
    caller.reactor.advance(120.1)
    first, second = caller.transport.value().split(b"HTTP/1.1 ")[1:]
    assert b'"leaving","outcome":"unknown"' in first
    assert b"connection: close" not in first.lower()
    assert b'"leaving","outcome":"not-run"' in second
    assert b"connection: close" in second.lower()
    assert len(caller.router.requests) == 1
    assert caller.transport.disconnecting
    assert caller.front.account is not None
    assert not caller.front.account.partial.total()


# a connection with a part of a request, in this process or in its socket, counted as idle
@pytest.mark.parametrize("in_socket", [False, True])
def test_a_stopping_entry_answers_a_request_that_has_arrived_in_part(in_socket: bool) -> None:
    caller = Caller()
    if in_socket:
        caller.unread = GET
    else:
        caller.send_raw(GET[:9])
    caller.front.stop()
    assert not caller.transport.disconnecting
    caller.channel.dataReceived(GET if in_socket else GET[9:])
    answer_plain(caller.router.sinks[0])
    assert b"connection: close" in caller.transport.value().lower()
    assert caller.transport.disconnecting
