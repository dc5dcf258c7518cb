"""Scenarios that drive the real services of several hosts on a fake clock, and their measures."""

from __future__ import annotations

from lavenderrun.bench import _scenarios_faults as _scenarios_faults
from lavenderrun.bench import _scenarios_load as _scenarios_load
from lavenderrun.bench import _scenarios_operators as _scenarios_operators
from lavenderrun.bench._deployments import DEPLOYMENTS, Deployment, digest_of
from lavenderrun.bench._loopback import Figures, run_loopback
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
    "Figures",
    "Measures",
    "OutsideProcess",
    "Plan",
    "Result",
    "Slope",
    "digest_of",
    "encode",
    "measure_slopes",
    "run_loopback",
    "run_scenario",
    "write_report",
]
