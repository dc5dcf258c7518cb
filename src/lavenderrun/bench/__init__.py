"""Benchmark scenarios, which run the real services of several hosts on a fake clock."""

from __future__ import annotations

from lavenderrun.bench import _scenarios_faults as _scenarios_faults
from lavenderrun.bench import _scenarios_load as _scenarios_load
from lavenderrun.bench import _scenarios_notices as _scenarios_notices
from lavenderrun.bench import _scenarios_operators as _scenarios_operators
from lavenderrun.bench import _scenarios_silences as _scenarios_silences
from lavenderrun.bench._deployments import DEPLOYMENTS, Deployment, make_key_digest
from lavenderrun.bench._loopback import LoopbackFigures, run_loopback
from lavenderrun.bench._loopback_hosts import EntryProcess, OutsideProcess
from lavenderrun.bench._measures import Measures, encode
from lavenderrun.bench._report import write_report
from lavenderrun.bench._scenarios import SCENARIOS, Plan, Result, run_scenario
from lavenderrun.bench._slopes import Slope, measure_slopes

__all__ = [
    "DEPLOYMENTS",
    "SCENARIOS",
    "Deployment",
    "EntryProcess",
    "LoopbackFigures",
    "Measures",
    "OutsideProcess",
    "Plan",
    "Result",
    "Slope",
    "encode",
    "make_key_digest",
    "measure_slopes",
    "run_loopback",
    "run_scenario",
    "write_report",
]
