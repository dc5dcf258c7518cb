"""The scenarios of leaving and resting servers find gateways that ignore what servers say."""

from __future__ import annotations

import pytest

from lavenderrun.bench import run_scenario
from lavenderrun.dispatch import DepartureNotices, ServerRests
from lavenderrun.types import BackendRejected, BackendStarted, Invariant, LeavingPassedOn


def test_a_gateway_that_ignores_that_servers_leave_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(DepartureNotices, "apply", lambda _self, row: row)
    result = run_scenario("leaving-notices", 1)
    assert {LeavingPassedOn, BackendStarted} <= {type(e.data) for e in result.fleet.record.events}
    violations = result.measures.violations
    assert violations.pop(Invariant.LEAVING_SERVER_LEFT_ALONE.value) > 0
    assert not any(violations.values())


def test_a_gateway_that_ignores_that_servers_want_no_calls_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ServerRests, "is_resting", lambda *_: False)
    monkeypatch.setattr(ServerRests, "forbids", lambda *_: False)
    violations = run_scenario("resting-service", 1).measures.violations
    assert violations.pop(Invariant.REST_KEPT.value) > 0
    assert not any(violations.values())


def test_a_gateway_that_advises_a_return_before_the_earliest_end_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ServerRests, "find_return", lambda *_: None)
    extra = run_scenario("resting-service", 1).measures.extra
    assert extra["advised_too_early"] > 0


def test_a_run_is_repeated_exactly_and_each_server_asks_for_rests() -> None:
    first, again = (run_scenario("resting-server", 5).fleet.record.events for _ in range(2))
    assert first == again
    asked = {event.data.backend for event in first if isinstance(event.data, BackendRejected)}
    assert len(asked) == 4
