from __future__ import annotations

import json
import os
import subprocess
import sys
from datetime import timedelta
from pathlib import Path

import pytest

from lavenderrun.bench import SCENARIOS, encode, run_scenario
from lavenderrun.bench._time import EventClock, HostClock
from lavenderrun.commands import main
from lavenderrun.types import Invariant

ISSUE_4 = "wire-peak qene-peak tenant-burst overload mixed-prompts store-outage holder-pause"
ISSUE_5 = "key-withdrawal document-race crashing-request silent-links rolling-restart"
NAMES = [*ISSUE_4.split(), "host-lost", "links-slow", *ISSUE_5.split()]


def test_required_scenarios_are_registered() -> None:
    assert {*NAMES, "data-centre-lost", "two-at-once"} <= set(SCENARIOS.names())


def test_same_seed_gives_the_same_bytes_and_another_seed_others() -> None:
    first, again, other = (run_scenario("host-lost", seed) for seed in (7, 7, 8))
    assert encode(first.measures) == encode(again.measures)
    assert encode(first.measures) != encode(other.measures)
    assert first.fleet.record.events == again.fleet.record.events


def test_bytes_do_not_depend_on_the_hash_seed() -> None:
    command = [sys.executable, "-m", "lavenderrun", "bench", "two-at-once", "--json"]
    outs = [
        subprocess.run(command, env={**os.environ, "PYTHONHASHSEED": seed}, capture_output=True)
        for seed in ("1", "2")
    ]
    assert outs[0].stdout == outs[1].stdout != b""


def test_command_prints_the_measures_as_json(capsys: pytest.CaptureFixture[str]) -> None:
    main(["bench", "data-centre-lost", "--json", "--policy", "queue=fifo"])
    figures = json.loads(capsys.readouterr().out)
    assert figures["policies"] == {"queue": "fifo"}
    assert set(figures["violations"]) == {invariant.value for invariant in Invariant}
    assert {"goodput", "wasted_prefill", "worst_account", "in_rate_refusals", "held"} <= set(
        figures
    )


def test_report_is_a_table_and_a_plot(tmp_path: Path) -> None:
    main(["bench", "two-at-once", "--compare", "queue=fifo", "--report", str(tmp_path)])
    assert (tmp_path / "bench.md").read_text().count("two-at-once") == 2
    assert "<svg" in (tmp_path / "bench.svg").read_text()


def test_paused_host_runs_due_calls_on_resume_and_dead_host_drops_them() -> None:
    base, seen = EventClock(), list[str]()
    paused, dead = HostClock(base), HostClock(base)
    for clock, name in ((paused, "paused"), (dead, "dead")):
        clock.call_later(timedelta(seconds=1), seen.append, name)
    paused.pause()
    dead.die()
    base.advance(2)
    assert seen == []
    paused.resume()
    assert seen == ["paused"]
