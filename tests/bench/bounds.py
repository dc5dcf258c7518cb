"""Reads the bounds of bench/bounds.toml and the known failures in KNOWN-RED.txt."""

from __future__ import annotations

import re
import tomllib
from functools import cache
from pathlib import Path
from typing import Any, NamedTuple

from lavenderrun.bench import SCENARIOS, Measures, run_scenario

ROOT = Path(__file__).parents[2]
KNOWN_RED = re.compile(
    r"^bound (?P<scenario>\S+) (?P<measure>\S+) seed (?P<seed>\d+) \| "
    r"(?P<command>[^|]+) \| (?P<seen>[^|]+) \| issue (?P<issue>\d+)$"
)


class Case(NamedTuple):
    scenario: str
    measure: str
    seed: int
    at_least: float | None
    at_most: float | None
    target: str

    def holds(self, figure: float) -> bool:
        low, high = self.at_least, self.at_most
        return (low is None or figure >= low) and (high is None or figure <= high)


def read_cases() -> list[Case]:
    table = tomllib.loads((ROOT / "bench" / "bounds.toml").read_text())
    return [
        Case(
            scenario,
            bound["measure"],
            seed,
            bound.get("at_least"),
            bound.get("at_most"),
            bound["target"],
        )
        for bound in table["bound"]
        for scenario in (SCENARIOS.names() if bound["scenarios"] == "all" else bound["scenarios"])
        for seed in (*table["seeds"], *table["failed_seeds"].get(scenario, ()))
    ]


def read_known_red(text: str) -> set[tuple[str, str, int]]:
    """Return the recorded failures; fail on an incomplete line that begins with ``bound``."""
    known = set()
    for line in text.splitlines():
        found = KNOWN_RED.match(line)
        if found is not None:
            known.add((found["scenario"], found["measure"], int(found["seed"])))
        else:
            assert not line.startswith("bound"), f"KNOWN-RED.txt: not readable: {line}"
    return known


def load_known_red() -> set[tuple[str, str, int]]:
    path = ROOT / "KNOWN-RED.txt"
    return read_known_red(path.read_text()) if path.exists() else set()


def find_figure(measures: Measures, name: str) -> float:
    figure: Any = measures
    for part in name.split("."):
        figure = figure[part] if isinstance(figure, dict) else getattr(figure, part)
    return float(sum(figure.values()) if isinstance(figure, dict) else figure)


@cache
def run_once(scenario: str, seed: int) -> Measures:
    return run_scenario(scenario, seed).measures


def check_bound(case: Case, figure: float, known: set[tuple[str, str, int]]) -> str | None:
    """Return the text of a known failure, ``None`` if the bound holds; fail otherwise.

    A bound that holds although it is listed in KNOWN-RED.txt fails too.
    """
    listed = (case.scenario, case.measure, case.seed) in known
    if case.holds(figure):
        assert not listed, f"{case.scenario} seed {case.seed}: {case.measure} holds; unlist it"
        return None
    text = f"{case.scenario} seed {case.seed}: {case.measure} = {figure}; {case.target}"
    assert listed, text
    return f"known red: {text}"
