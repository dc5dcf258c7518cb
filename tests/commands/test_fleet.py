from __future__ import annotations

import json
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from threading import Thread

import pytest
from processes import CALLER_KEY, OPERATOR_KEY, SmallFleet, digest

READY_SECONDS = 10.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SmallFleet]:
    fleet = SmallFleet(tmp_path_factory.mktemp("fleet"))
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()


def wait_ready(fleet: SmallFleet) -> None:
    end = time.monotonic() + READY_SECONDS
    while (answer := fleet.fetch(f"{fleet.entry['admin']}/readyz"))[0] != 200:
        assert time.monotonic() < end, answer
        time.sleep(0.05)


def complete(fleet: SmallFleet, key: str, *, tokens: int = 20, stream: bool = True) -> str:
    body = {"model": "acta", "prompt": "a b c", "max_tokens": tokens, "stream": stream}
    answer = fleet.fetch(f"{fleet.entry['url']}/v1/completions", key, json.dumps(body).encode())
    return f"{answer[0]} {answer[1]}"


def test_small_fleet_from_first_document_to_planned_stop(fleet: SmallFleet) -> None:
    admin = fleet.entry["admin"]
    status, body, _ = fleet.fetch(f"{admin}/readyz")
    assert status == 503
    assert "document" in json.loads(body)["missing"]

    submitted = fleet.operate("submit", "fleet.toml", "--version", "0")
    assert submitted.returncode == 0, submitted.stderr
    wait_ready(fleet)
    answer = complete(fleet, CALLER_KEY)
    assert answer.startswith("200 data: ")
    assert answer.endswith("data: [DONE]\n\n")
    assert fleet.fetch(f"{fleet.entry['url']}/orders/7", CALLER_KEY)[0] in {200, 404}

    assert 'outcome="finished"' in fleet.fetch(f"{admin}/metrics")[1]
    pages = [fleet.fetch(f"http://{agent['metrics']}/metrics")[1] for agent in fleet.agents]
    assert "lavenderrun_backend_runs_total" in pages[1]

    _check_commands(fleet)
    _check_keys(fleet)
    _check_no_secret(fleet, pages)
    _check_planned_stop(fleet)


def _check_commands(fleet: SmallFleet) -> None:
    text = (fleet.folder / "fleet.toml").read_text()
    (fleet.folder / "other.toml").write_text(f"retry_share = 0.2\n{text}")
    (fleet.folder / "bad.toml").write_text("retry_share = 7\n")
    with ThreadPoolExecutor() as pool:
        late, bad, shown = pool.map(
            lambda arguments: fleet.operate(*arguments),
            [
                ("submit", "other.toml", "--version", "0"),
                ("submit", "bad.toml", "--version", "1"),
                ("status", "--section", "backends"),
            ],
        )
    assert late.returncode == 1
    assert "version 1 by ana" in late.stderr
    assert bad.returncode == 2
    assert "bad.toml: line 1: retry_share: " in bad.stderr
    assert {each["state"] for each in json.loads(shown.stdout)} == {"live"}


def _check_keys(fleet: SmallFleet) -> None:
    keys = f"{fleet.entry['admin']}/admin/accounts/talleres/keys"
    assert fleet.fetch(keys, "other-key", b"")[0] == 401
    status, body, _ = fleet.fetch(keys, OPERATOR_KEY, b"")
    granted = json.loads(body)
    assert status == 201
    assert complete(fleet, granted["key"]).startswith("200")
    withdrawn = fleet.fetch(f"{keys}/{granted['digest']}", OPERATOR_KEY, method="DELETE")
    assert withdrawn[0] == 200
    assert complete(fleet, granted["key"]).startswith("401")
    again = fleet.fetch(f"{keys}/{granted['digest']}", OPERATOR_KEY, method="DELETE")
    assert again[0] == 404


def _check_no_secret(fleet: SmallFleet, pages: list[str]) -> None:
    admin = fleet.entry["admin"]
    for path in ("/admin/document", "/admin/status", "/admin/quarantine", "/metrics", "/nope"):
        pages += fleet.fetch(f"{admin}{path}", OPERATOR_KEY)[1:]
    pages += [each.log.read_text() for each in fleet.processes]
    text = "\n".join(pages)
    assert "router: request finished" in text
    assert "marker" not in text
    for tap in fleet.taps:
        assert tap.seen
        assert b"marker" not in b"".join(tap.seen)
    assert digest(CALLER_KEY) not in fleet.fetch(f"{admin}/metrics")[1]


def _check_planned_stop(fleet: SmallFleet) -> None:
    answers: list[str] = []
    caller = Thread(target=lambda: answers.append(complete(fleet, CALLER_KEY, tokens=60)))
    caller.start()
    time.sleep(0.3)
    standins, *agents, entry = fleet.processes
    assert entry.terminate() == 0
    caller.join(10)
    assert answers[0].endswith("data: [DONE]\n\n"), answers
    assert [agent.terminate() for agent in agents] == [0, 0, 0]
    assert standins.terminate() == 0
