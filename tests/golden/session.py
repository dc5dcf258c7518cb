"""Records a session on a small fleet as the caller, agents, engines and store observe it.

Times are seconds from the start of the session; ids and seeds are fixed, so the text is stable.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec

from lavenderrun.bench._deployments import Deployment, make_key, make_key_digest, make_wire
from lavenderrun.bench._fleet import Fleet
from lavenderrun.bench._hosts import BenchHost
from lavenderrun.codecs import WireCodec
from lavenderrun.decisions import check_record
from lavenderrun.types import (
    AccountId,
    Ack,
    AttemptFailed,
    BackendRole,
    Call,
    CallBody,
    CallerFinished,
    CallerGone,
    CallerRefused,
    CallerSent,
    Cancel,
    FinishReason,
    Frame,
    HostId,
    IdempotencyKey,
    ModelName,
    ModelRequest,
    PlainRequest,
    Prefill,
    Prefilled,
    Refused,
    Repeatability,
    ReplyBody,
    ReplyHead,
    RequestId,
    Reserve,
    Resume,
    Revoke,
    Revoked,
    SeatPromised,
    Start,
)

ACCOUNT = AccountId("teniente")
# heartbeats, rate limits, orders and document distribution are left out
SEEN_MESSAGES = (
    *(Reserve, SeatPromised, Prefill, Prefilled, Start, Frame, Ack, Resume, Cancel),
    *(Call, CallBody, ReplyHead, ReplyBody, Revoke, Revoked, AttemptFailed),
)
SEEN_TABLES = ("claims", "document", "quarantine")
# fields with time estimates, which change with every tuning and are covered by the benchmarks
ESTIMATES = "lead patience urgency weight start_in ready_in took imported".split()  # noqa: SIM905
MAX_CHARACTERS = 60


def make_small() -> Deployment:
    wire = make_wire()
    return replace(wire, roles=(BackendRole.PREFILL, BackendRole.DECODE), plain_backends=1)


class CallerView:
    """A caller that logs what it receives."""

    def __init__(self, session: Session, request: RequestId) -> None:
        self._session = session
        self._request = request

    def put_tokens(self, tokens: list[str]) -> None:
        self._note(f"gets {len(tokens)} tokens: {shorten(''.join(tokens))}")

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._note(f"gets status {status} and {headers}")

    def put_body(self, data: bytes) -> None:
        self._note(f"gets body {shorten(data.decode())}")

    def finish(self, reason: FinishReason | None = None) -> None:
        self._note("gets the end" + (f": {reason.value}" if reason else ""))
        self._session.emit(CallerFinished(self._request))

    def refuse(self, refused: Refused) -> None:
        self._note(f"is refused: {show(refused)}")
        self._session.emit(CallerRefused(self._request, refused))

    def _note(self, text: str) -> None:
        self._session.note("caller", f"{self._request} {text}")


class Session:
    """A small fleet that logs what every party observes."""

    def __init__(self) -> None:
        self.fleet = Fleet(make_small(), 1)
        # each message draws a random jitter, so one more message would change all later times
        self.fleet.network.jitter = 0.0
        self._parties: dict[str, list[str]] = {"caller": []}
        self._codec = WireCodec()
        self._requests = 0
        self.fleet.start()
        self._tap_network()
        self._tap_store()
        for name, engine in self.fleet.engines.items():
            self._tap(engine, f"engine {name}", ("prefill", "decode", "release", "crash"))
        for name, server in self.fleet.plain_servers.items():
            self._tap(server, f"backend server {name}", ("call",))

    @property
    def entry(self) -> BenchHost:
        return self.fleet.entries[0]

    def host(self, name: str) -> BenchHost:
        return self.fleet.hosts[HostId(name)]

    def note(self, party: str, text: str) -> None:
        # a document is confirmed after a random pause, so operators' times are rounded to seconds
        digits = 0 if party == "operator" else 2
        self._parties.setdefault(party, []).append(f"{self.fleet.seconds:6.{digits}f}  {text}")

    def emit(self, what: Any) -> None:
        self.fleet.emit(HostId("callers"), what)

    def ask(
        self,
        prompt: str = "heat record 17",
        *,
        tokens: int = 12,
        key: str | None = make_key(ACCOUNT),
        model: str = "summary",
        entry: int = 0,
    ) -> Any:
        request = self._next()
        self.note("caller", f"{request} asks for {tokens} tokens: {shorten(prompt)}")
        self._send(request, key)
        order = ModelRequest(request, key, ModelName(model), prompt, tokens, self.fleet.clock.now())
        router = self.fleet.entries[entry].find("router")
        return router.submit_model(order, CallerView(self, request))

    def call(
        self,
        method: str,
        path: str,
        *,
        idempotency: str | None = None,
        key: str | None = make_key(ACCOUNT),
        entry: int = 0,
    ) -> Any:
        request = self._next()
        self.note("caller", f"{request} calls {method} {path} {idempotency or ''}".rstrip())
        name = IdempotencyKey(idempotency) if idempotency else None
        once = method == "POST"
        self._send(request, key, name, once=once)
        call = PlainRequest(
            request, key, method, path, [], b"1 coil" * once, self.fleet.clock.now(), name
        )
        router = self.fleet.entries[entry].find("router")
        return router.submit_plain(call, CallerView(self, request))

    def hang_up(self, handle: Any) -> None:
        self.note("caller", f"r{self._requests} hangs up")
        handle.cancel()
        self.emit(CallerGone(RequestId(f"r{self._requests}")))

    def run(self, seconds: float) -> None:
        self.fleet.reactor.advance(seconds)

    def write(self) -> str:
        """Finish the session, check the record, and return the log of each party."""
        self.run(15)
        lines = dict(self._parties)
        self.fleet.finish(15)
        assert check_record(self.fleet.record.events) == []
        assert self.fleet.failures == []
        return "".join(
            f"== {party}\n" + "".join(f"{line}\n" for line in seen) + "\n"
            for party, seen in sorted(lines.items(), key=lambda item: (item[0] != "caller", item))
        )

    def _next(self) -> RequestId:
        self._requests += 1
        return RequestId(f"r{self._requests}")

    def _send(
        self,
        request: RequestId,
        key: str | None,
        name: IdempotencyKey | None = None,
        *,
        once: bool = False,
    ) -> None:
        digest = make_key_digest(key) if key else None
        again = Repeatability.AT_MOST_ONCE if once else Repeatability.IDEMPOTENT
        self.emit(CallerSent(request, ACCOUNT if key else None, "", digest, name, again))

    def _tap_network(self) -> None:
        network = self.fleet.network
        later = network.deliver_later
        names = {host.address: host.host for host in self.fleet.hosts.values()}

        def tap(pipe: Any, call: Callable[..., None], *args: Any) -> None:
            end: Any = call.__self__  # type: ignore[attr-defined]
            if call.__name__ == "receive":
                sender, target = names[end.target], names[end.source]
                for message in self._codec.decode(args[0]).messages:
                    self._note_message(sender, target, message)
            later(pipe, call, *args)

        network.deliver_later = tap  # type: ignore[method-assign, assignment]

    def _note_message(self, sender: str, target: str, message: Any) -> None:
        if not isinstance(message, SEEN_MESSAGES):
            return
        text = f"{type(message).__name__} {show(message)}"
        for party, line in ((target, f"from {sender}: {text}"), (sender, f"to {target}: {text}")):
            if party.startswith("agent"):
                self.note(party, line)

    def _tap_store(self) -> None:
        names = ("get", "put", "delete")
        self._tap(self.fleet.table, "store", names, keep=lambda args: args[0] in SEEN_TABLES)

    def _tap(
        self,
        target: Any,
        party: str,
        names: tuple[str, ...],
        keep: Callable[[tuple[Any, ...]], bool] = lambda args: True,
    ) -> None:
        for name in names:
            setattr(target, name, self._wrap(getattr(target, name), party, keep))

    def _wrap(
        self, inner: Callable[..., Any], party: str, keep: Callable[[tuple[Any, ...]], bool]
    ) -> Callable[..., Any]:
        def tap(*args: Any, **kwargs: Any) -> Any:
            # every host polls the document, so these reads are left out
            if keep(args) and (inner.__name__, *args[:1]) != ("get", "document"):
                shown = [shorten(arg) for arg in args if isinstance(arg, str)]
                self.note(party, " ".join([inner.__name__, *shown]))
            return inner(*args, **kwargs)

        return tap


def show(message: Any) -> str:
    """Return a struct's fields in one line, with long texts shortened."""
    fields = (
        f"{name}={shorten(plain(getattr(message, name)))}"
        for name in message.__struct_fields__
        if name not in ESTIMATES
    )
    return " ".join(fields)


def plain(value: Any) -> Any:
    built = msgspec.to_builtins(value)
    return built.decode(errors="replace") if isinstance(built, bytes) else built


def shorten(value: Any) -> str:
    text = value if isinstance(value, str) else repr(value)
    return (
        text
        if len(text) <= MAX_CHARACTERS
        else f"{text[:MAX_CHARACTERS]}... ({len(text)} characters)"
    )
