"""Compares whole sessions over real sockets with recordings of what each side received."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from gateway_process import Answer, Gateway, StandinPlatform
from misbehaviour import break_after, reject, run_and_reset
from platform_standin import (
    KEY,
    ORDERS,
    OTHER_KEY,
    PLAIN,
    RESUMED,
    STREAM,
    SeenRequest,
    StandinServer,
)
from pytest_regressions.file_regression import FileRegressionFixture

from lavenderrun.kernel import Registry

Script = Callable[["Session"], None]

SESSIONS: Registry[Script] = Registry("adapter session")
VARYING_HEADERS = {
    "date",
    "retry-after",
    "x-deadline-ms",
    "server",
    "connection",
    "accept-encoding",
}
"""Headers whose values differ between runs or are set by the client library."""


class Session:
    """Calls one gateway and records its answers and what the backend servers received."""

    def __init__(self, platform: StandinPlatform, gateway: Gateway) -> None:
        self.platform = platform
        self.gateway = gateway
        self._lines: list[str] = []
        self._reported = dict.fromkeys(platform.servers, 0)
        self._calls = 0

    def call(self, path: str, method: str = "GET", *, key: str | None = KEY, **given: str) -> None:
        body = given.get("body", "").encode()
        self._lines.append(f"caller: {method} {path} {body.decode()}".rstrip())
        self._record_answer(
            self.gateway.call(path, method, key=key, body=body, request=self._make_request_id())
        )

    def generate(self, path: str) -> None:
        self._lines.append(f"caller: POST {path} 100 tokens, 50 at most")
        self._record_answer(self.gateway.generate(path, request=self._make_request_id()))

    def _make_request_id(self) -> str:
        self._calls += 1
        return f"call-{self._calls}"

    def _record_answer(self, answer: Answer) -> None:
        for name, seen in self._list_seen():
            self._lines.append(f"  at {name}: {seen.method} {seen.path}")
            self._lines += self._list_headers(seen.headers)
            self._lines += [f"    | {seen.body.decode()}"] if seen.body else []
        end = "" if answer.whole else ", cut"
        self._lines.append(f"  answer: {answer.status}{end}")
        self._lines += self._list_headers(answer.headers)
        self._lines += [f"    | {line}" for line in answer.body.decode().splitlines()]

    def _list_seen(self) -> list[tuple[str, SeenRequest]]:
        found = []
        for name, server in self.platform.servers.items():
            new_requests = server.seen[self._reported[name] :]
            self._reported[name] += len(new_requests)
            found += [(name, seen) for seen in new_requests if seen.path != "/api/report"]
        # servers record no times: list a resumed stream after the broken one
        return sorted(found, key=lambda pair: pair[1].headers.get("last-event-id", ""))

    @staticmethod
    def _list_headers(headers: dict[str, str]) -> list[str]:
        return [
            f"    {name}: {'...' if name in VARYING_HEADERS else value}"
            for name, value in sorted(headers.items())
        ]

    def render(self) -> str:
        text = "\n".join(self._lines) + "\n"
        for name, server in self.platform.servers.items():
            text = text.replace(server.address, f"address of {name}")
        text = text.replace(f"127.0.0.1:{self.gateway.front}", "the gateway")
        # which of the two engines is chosen first is random
        text = re.sub(r"dec-[12]", "dec-N", text)
        return re.sub(r"(handle/|/)h\d+", r"\1HANDLE", text)


@SESSIONS.register("plain")
def play_plain(session: Session) -> None:
    session.call(PLAIN + "x?of=1")
    session.call(ORDERS + "x", "POST", body="an order")


@SESSIONS.register("denied")
def play_denied(session: Session) -> None:
    session.call(PLAIN + "x", key="nobody's")
    session.call(PLAIN + "x", key=None)
    session.call("/nowhere/x")
    session.call("/open/x", key=None)


@SESSIONS.register("over-quota")
def play_over_quota(session: Session) -> None:
    for _ in range(3):
        session.call(PLAIN + "x", key=OTHER_KEY)


@SESSIONS.register("model")
def play_model(session: Session) -> None:
    session.generate(STREAM + "x")


@SESSIONS.register("resumed")
def play_resumed(session: Session) -> None:
    broken = break_after(3)
    for name in ("dec-1", "dec-2"):
        session.platform.servers[name].behave = broken
    session.generate(RESUMED + "x")


@SESSIONS.register("cut")
def play_cut(session: Session) -> None:
    for name in ("dec-1", "dec-2"):
        session.platform.servers[name].behave = break_after(3)
    session.generate(STREAM + "x")


@SESSIONS.register("rejected")
def play_rejected(session: Session) -> None:
    session.platform.servers["app-1"].behave = reject
    session.call(ORDERS + "x", "POST", body="an order")


@SESSIONS.register("answer-lost")
def play_answer_lost(session: Session) -> None:
    session.platform.servers["app-1"].behave = run_and_reset
    session.call(ORDERS + "x", "POST", body="an order")


@pytest.fixture
def session(tmp_path: Path) -> Iterator[Session]:
    platform = StandinPlatform(tmp_path)
    platform.configure()
    platform.add(StandinServer("app-1", "apps"))
    platform.add(StandinServer("pre-1", "llm", "prefill"))
    for name in ("dec-1", "dec-2"):
        platform.add(StandinServer(name, "llm", "decode"))
    yield Session(platform, platform.wait_known(platform.add_gateway()))
    platform.close()


@pytest.mark.parametrize("name", [name for name, _ in SESSIONS])
def test_a_session_matches_its_recording(
    name: str, session: Session, file_regression: FileRegressionFixture
) -> None:
    SESSIONS.find(name)(session)
    file_regression.check(session.render(), basename=name, extension=".txt")
