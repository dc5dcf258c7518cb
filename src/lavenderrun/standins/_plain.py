"""Stand-in for the plain service (orders and layouts), in memory and over HTTP."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from lavenderrun.kernel import Clock, Timer
from lavenderrun.types import Outcome, Refusal, Refused, ReplySink, RequestId, Step

JSON_HEADERS = [("Content-Type", "application/json")]

LEAVING_HEADER = "Standin-Leaving"
REST_HEADER = "Standin-Rest"
REJECTED = 503

_ORDER = re.compile(r"/orders/(?P<name>[^/?]+)(?P<confirm>/confirm)?")
_LAYOUT = re.compile(r"/layouts/(?P<name>[^/?]+)(?P<publish>/publish)?")


@dataclass
class PlainFaults:
    """Faults that a test injects; a count applies to that many of the next calls.

    :param delay: time before a call runs.
    :param reply_delay: time between the execution of a call and its reply.
    :param die_before: number of calls whose connection breaks before they run.
    :param die_after: number of calls whose connection breaks after they ran.
    :param die_midway: number of calls whose connection breaks in the middle of the body.
    :param refuse: number of calls whose connection is refused.
    :param hang: number of calls that never run and never end.
    :param leaving: each answer says that the server leaves.
    :param rest: each call is rejected, and the answer asks for none for this long.
    """

    delay: timedelta = timedelta(milliseconds=2)
    reply_delay: timedelta = timedelta(0)
    die_before: int = 0
    die_after: int = 0
    die_midway: int = 0
    refuse: int = 0
    hang: int = 0
    leaving: bool = False
    rest: timedelta | None = None

    def take(self, name: str) -> bool:
        """Tell whether the fault *name* applies to the current call, and count it down."""
        remaining: int = getattr(self, name)
        if remaining <= 0:
            return False
        setattr(self, name, remaining - 1)
        return True


@dataclass(frozen=True)
class PlainReply:
    """Status and body of a reply of the service."""

    status: int
    body: bytes


@dataclass
class PlainCore:
    """State of the service, shared by all its backend servers.

    :ivar runs: number of executions by request id.
    :ivar calls: number of executions by method and path.
    :ivar header_values: values of all received headers, in which tests look for keys.
    :ivar confirmed: number of confirmations by order.
    :ivar published: number of publications by layout.
    :ivar on_run: called with the request id at each execution.
    """

    runs: Counter[RequestId] = field(default_factory=Counter)
    calls: Counter[str] = field(default_factory=Counter)
    header_values: list[str] = field(default_factory=list)
    confirmed: Counter[str] = field(default_factory=Counter)
    published: Counter[str] = field(default_factory=Counter)
    on_run: Callable[[RequestId], None] = lambda request: None

    def run(
        self,
        request: RequestId,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> PlainReply:
        """Execute one call and return its reply."""
        path = target.partition("?")[0]
        self.runs[request] += 1
        self.calls[f"{method} {path}"] += 1
        self.header_values += [value for _, value in headers]
        self.on_run(request)
        return self._serve(method, path, body)

    def _serve(self, method: str, path: str, body: bytes) -> PlainReply:
        order = _ORDER.fullmatch(path)
        if order is not None:
            name = order["name"]
            if order["confirm"] and method == "POST":
                self.confirmed[name] += 1
            return _reply(200, {"order": name, "confirmed": self.confirmed[name]})
        layout = _LAYOUT.fullmatch(path)
        if layout is not None:
            name = layout["name"]
            if layout["publish"] and method == "POST":
                self.published[name] += 1
            return _reply(200, {"layout": name, "published": self.published[name]})
        if path == "/layouts":
            return _reply(200, {"layouts": sorted(self.published)})
        if path == "/echo":
            return PlainReply(200, body)
        return _reply(404, {"error": "not found"})


class MemoryPlain:
    """One backend server of the plain service without a network; implements ``PlainBackend``.

    :ivar running: number of calls that have not ended.
    """

    def __init__(
        self, clock: Clock, core: PlainCore | None = None, faults: PlainFaults | None = None
    ) -> None:
        self.core = core or PlainCore()
        self.faults = faults or PlainFaults()
        self.running = 0
        self.clock = clock
        self._frozen: list[Callable[[], None]] | None = None

    def freeze(self) -> None:
        """Stop all progress until :meth:`thaw`."""
        if self._frozen is None:
            self._frozen = []

    def thaw(self) -> None:
        """Resume after :meth:`freeze` with the calls that were due meanwhile."""
        backlog, self._frozen = self._frozen or [], None
        for call in backlog:
            call()

    def run_or_hold(self, call: Callable[[], None]) -> None:
        """Run a due call, or keep it while the server is frozen."""
        if self._frozen is None:
            call()
        else:
            self._frozen.append(call)

    def call(
        self,
        request: RequestId,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        sink: ReplySink,
    ) -> MemoryCall:
        """Start a call whose reply goes to *sink*."""

        def run() -> PlainReply:
            return self.core.run(request, method, target, headers, body)

        return MemoryCall(self, run, sink)


class MemoryCall:
    """A running call of a :class:`MemoryPlain`; implements ``BackendTask``."""

    def __init__(
        self, backend: MemoryPlain, run: Callable[[], PlainReply], sink: ReplySink
    ) -> None:
        self._backend = backend
        self._run = run
        self._sink = sink
        self._done: Deferred[None] = Deferred()
        self._slow = False
        self._held: Callable[[], None] | None = None
        # whether a call is rejected is decided when it arrives
        self._rest = backend.faults.rest
        backend.running += 1
        self._schedule(backend.faults.delay, self._execute)

    @property
    def done(self) -> Deferred[None]:
        """Fires when the call has ended."""
        return self._done

    def cancel(self) -> None:
        """Cancel the call; an execution that has begun keeps its effect."""
        self._timer.cancel()
        self._end()

    def _schedule(self, delay: timedelta, call: Callable[[], None]) -> None:
        def run_unless_ended() -> None:
            if not self._done.called:
                call()

        hold = self._backend.run_or_hold
        self._timer: Timer = self._backend.clock.call_later(delay, hold, run_unless_ended)

    def pace(self, *, slow: bool) -> None:
        """Hold back the rest of the reply while *slow*."""
        self._slow = slow
        held, self._held = self._held, None
        if not slow and held is not None:
            held()

    def _execute(self) -> None:
        faults = self._backend.faults
        if self._rest is not None:
            self._reply(PlainReply(REJECTED, b""))
            return
        if faults.take("hang"):
            return
        if faults.take("refuse"):
            self._refuse(Outcome.NOT_RUN)
            return
        if faults.take("die_before"):
            self._refuse(Outcome.UNKNOWN)
            return
        reply = self._run()
        if faults.take("die_after"):
            self._refuse(Outcome.UNKNOWN)
            return
        self._schedule(faults.reply_delay, lambda: self._reply(reply))

    def _reply(self, reply: PlainReply) -> None:
        size = len(reply.body)
        headers = [*JSON_HEADERS, ("Content-Length", str(size)), *self._make_notices()]
        self._sink.put_head(reply.status, headers)
        midway = self._backend.faults.take("die_midway")
        if size:
            self._sink.put_body(reply.body[: size // 2])
        if midway:
            self._refuse(Outcome.UNKNOWN)
        elif self._slow:
            self._held = lambda: self._finish(reply)
        else:
            self._finish(reply)

    def _make_notices(self) -> list[tuple[str, str]]:
        """Return the headers by which an answer says what the server wants."""
        notices = [(LEAVING_HEADER, "1")] if self._backend.faults.leaving else []
        if self._rest is not None:
            notices.append((REST_HEADER, str(self._rest.total_seconds())))
        return notices

    def _finish(self, reply: PlainReply) -> None:
        if reply.body:
            self._sink.put_body(reply.body[len(reply.body) // 2 :])
        self._sink.finish()
        self._end()

    def _refuse(self, outcome: Outcome) -> None:
        self._sink.refuse(Refused(Refusal.BACKEND_LOST, outcome, Step.CALL, "plain"))
        self._end()

    def _end(self) -> None:
        if not self._done.called:
            self._backend.running -= 1
            self._done.callback(None)


class PlainResource(Resource):
    """The plain service over HTTP."""

    isLeaf = True  # noqa: N815

    def __init__(
        self, clock: Clock, core: PlainCore | None = None, faults: PlainFaults | None = None
    ) -> None:
        super().__init__()
        self.core = core or PlainCore()
        self.faults = faults or PlainFaults()
        self._clock = clock

    def render(self, request: Request) -> Any:
        """Answer one call, or apply an injected fault."""
        disconnects: list[Any] = []
        request.notifyFinish().addErrback(disconnects.append)
        if not self.faults.take("hang"):
            self._clock.call_later(self.faults.delay, self._run, request, disconnects)
        return NOT_DONE_YET

    def _run(self, request: Request, disconnects: list[Any]) -> None:
        if disconnects:
            return
        if self.faults.take("die_before"):
            request.loseConnection()
            return
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, values in request.requestHeaders.getAllRawHeaders()
            for value in values
        ]
        reply = self.core.run(
            RequestId(request.getHeader("X-Request-Id") or ""),
            request.method.decode("latin-1"),
            request.uri.decode("latin-1"),
            headers,
            request.content.read() if request.content else b"",
        )
        if self.faults.take("die_after"):
            request.loseConnection()
            return
        self._clock.call_later(self.faults.reply_delay, self._reply, request, disconnects, reply)

    def _reply(self, request: Request, disconnects: list[Any], reply: PlainReply) -> None:
        if disconnects:
            return
        request.setResponseCode(reply.status)
        for name, value in JSON_HEADERS:
            request.responseHeaders.setRawHeaders(name, [value])
        request.responseHeaders.setRawHeaders("Content-Length", [str(len(reply.body))])
        if self.faults.take("die_midway"):
            request.write(reply.body[: len(reply.body) // 2])
            request.loseConnection()
            return
        request.write(reply.body)
        request.finish()


def _reply(status: int, body: dict[str, Any]) -> PlainReply:
    return PlainReply(status, msgspec.json.encode(body))
