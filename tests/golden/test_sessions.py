from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from pytest_regressions.file_regression import FileRegressionFixture
from session import ACCOUNT, Session

from lavenderrun.bench._deployments import make_key
from lavenderrun.kernel import Registry
from lavenderrun.types import DocumentVersion

Play = Callable[[Session], None]

SESSIONS: Registry[Play] = Registry("session")
LONG = 60
OTHER_KEY = "marker-key-of-nobody"


@SESSIONS.register("model-request")
def play_model_request(session: Session) -> None:
    session.ask(tokens=3)


@SESSIONS.register("streamed")
def play_streamed(session: Session) -> None:
    session.ask("tensile certificate 4", tokens=40)


@SESSIONS.register("caller-gone")
def play_caller_gone(session: Session) -> None:
    handle = session.ask("tensile certificate 9", tokens=LONG)
    session.run(0.3)
    session.hang_up(handle)


@SESSIONS.register("resumed-stream")
def play_resumed_stream(session: Session) -> None:
    session.ask("heat record 4711", tokens=LONG)
    session.run(0.4)
    for pipe in session.fleet.network.pipes:
        if session.host("agent-summary-1").address in (pipe.source, pipe.target):
            pipe.silent = True
    session.run(6)


@SESSIONS.register("decode-server-lost")
def play_decode_server_lost(session: Session) -> None:
    session.ask("heat record 4711", tokens=LONG)
    session.run(0.4)
    next(reversed(session.fleet.engines.values())).crash()
    session.run(8)


@SESSIONS.register("plain-call")
def play_plain_call(session: Session) -> None:
    session.call("GET", "/orders/17")


@SESSIONS.register("lost-reply")
def play_lost_reply(session: Session) -> None:
    next(iter(session.fleet.plain_servers.values())).faults.die_after = 1
    session.call("POST", "/orders/17/confirm", idempotency="coil-17")
    session.run(10)
    session.call("POST", "/orders/17/confirm", idempotency="coil-17", entry=1)


@SESSIONS.register("repeated-call")
def play_repeated_call(session: Session) -> None:
    session.call("POST", "/orders/17/confirm", idempotency="coil-17")
    session.run(2)
    session.call("POST", "/orders/17/confirm", idempotency="coil-17", entry=1)


@SESSIONS.register("withdrawn-key")
def play_withdrawn_key(session: Session) -> None:
    session.ask(tokens=3)
    session.run(1)
    submit(session, accounts=[])
    session.run(1)
    session.ask(tokens=3)
    session.call("GET", "/orders/17", entry=1)


@SESSIONS.register("accepted-document")
def play_accepted_document(session: Session) -> None:
    submit(session, retry_share=0.2)
    session.run(1)
    session.note(
        "operator", f"entry-2 works by {session.fleet.entries[2].find('document').version}"
    )


@SESSIONS.register("document-conflict")
def play_document_conflict(session: Session) -> None:
    submit(session, retry_share=0.2)
    submit(session, entry=1, retry_share=0.3)


@SESSIONS.register("planned-stop")
def play_planned_stop(session: Session) -> None:
    session.ask("heat record 4711", tokens=LONG)
    session.run(0.4)
    session.entry.stop().addCallback(lambda _: session.note("operator", "entry-0 has stopped"))
    session.ask("too late")
    session.run(10)


def submit(session: Session, *, entry: int = 0, **changes: Any) -> None:
    keeper = session.fleet.entries[entry].find("document")
    document = session.fleet.document.model_copy(update=changes)
    session.note("operator", f"submits {sorted(changes)} at entry-{entry}")
    done = keeper.submit(document, "chief", DocumentVersion(1))
    done.addCallback(lambda outcome: session.note("operator", f"hears {type(outcome).__name__}"))


REFUSED: dict[str, Play] = {
    "no_key": lambda session: session.ask(key=None),
    "unknown_key": lambda session: session.ask(key=OTHER_KEY),
    "unknown_model": lambda session: session.ask(model="verse"),
    "unknown_path": lambda session: session.call("GET", "/nowhere"),
    "too_large": lambda session: session.ask("x" * 60_000),
    "over_rate": lambda session: refuse_over_rate(session),
    "not_ready": lambda session: refuse_not_ready(session),
    "claim_unavailable": lambda session: refuse_claim(session),
    "idempotency_conflict": lambda session: refuse_conflict(session),
    "no_room": lambda session: refuse_no_room(session),
}


def refuse_over_rate(session: Session) -> None:
    accounts = session.fleet.document.accounts
    rate = accounts[0].rate.model_copy(update={"token_burst": 50.0, "tokens_per_second": 5.0})
    submit(session, accounts=[accounts[0].model_copy(update={"rate": rate})])
    session.run(6)
    session.ask(tokens=LONG)


def refuse_not_ready(session: Session) -> None:
    session.host("entry-1").kill()
    session.fleet.store_faults.down = True
    for host in session.fleet.agents:
        host.kill()
    session.host("entry-2").kill()
    session.run(30)
    session.ask()


def refuse_claim(session: Session) -> None:
    session.fleet.store_faults.down = True
    session.call("POST", "/orders/17/confirm", idempotency="coil-17")


def refuse_conflict(session: Session) -> None:
    session.call("POST", "/orders/17/confirm", idempotency="coil-17")
    session.run(2)
    session.call("POST", "/orders/18/confirm", idempotency="coil-17")


def refuse_no_room(session: Session) -> None:
    for host in session.fleet.agents:
        host.kill()
    session.run(3)
    session.ask()
    session.call("GET", "/orders/17")
    session.run(40)


@pytest.fixture
def session() -> Session:
    return Session()


@pytest.mark.parametrize("name", SESSIONS.names())
def test_session(session: Session, name: str, file_regression: FileRegressionFixture) -> None:
    SESSIONS.find(name)(session)
    file_regression.check(session.write(), basename=name)


@pytest.mark.parametrize("name", REFUSED)
def test_refusal(session: Session, name: str, file_regression: FileRegressionFixture) -> None:
    REFUSED[name](session)
    text = session.write()
    assert f"refusal={name}" in text
    assert make_key(ACCOUNT) not in text
    file_regression.check(text, basename=f"refused-{name}")
