from __future__ import annotations

from datetime import UTC, datetime, timedelta

from lavenderrun.decisions import CallHistory, JobKey
from lavenderrun.types import AttemptId, RequestId

NOW = datetime(2026, 1, 1, tzinfo=UTC)
AGE = timedelta(seconds=100)


def make_key(number: int) -> JobKey:
    return (RequestId(f"r{number}"), AttemptId(1))


def test_call_begins_once_and_never_after_a_revoke() -> None:
    ledger = CallHistory(age=AGE)
    assert ledger.begin(make_key(1), NOW)
    assert not ledger.begin(make_key(1), NOW)
    assert ledger.revoke(make_key(1), NOW)
    assert not ledger.revoke(make_key(2), NOW)
    assert not ledger.begin(make_key(2), NOW)


def test_call_that_its_backend_server_never_saw_counts_as_not_begun() -> None:
    ledger = CallHistory(age=AGE)
    ledger.begin(make_key(1), NOW)
    ledger.mark_not_started(make_key(1), NOW)
    assert not ledger.revoke(make_key(1), NOW)
    assert not ledger.begin(make_key(1), NOW)


def test_marks_live_for_their_age_from_the_call_s_end() -> None:
    ledger = CallHistory(age=AGE)
    ledger.begin(make_key(1), NOW)
    ledger.refresh(make_key(1), NOW + AGE / 2)
    ledger.revoke(make_key(2), NOW + AGE)
    assert ledger.revoke(make_key(1), NOW + AGE)
    ledger.revoke(make_key(3), NOW + 3 * AGE)
    assert len(ledger) == 1


def test_a_full_ledger_calls_nothing_never_begun_that_it_may_have_forgotten() -> None:
    ledger = CallHistory(maximum=2, age=AGE)
    for number in range(3):
        ledger.begin(make_key(number), NOW)
    assert ledger.revoke(make_key(0), NOW + AGE / 2)
    assert ledger.revoke(make_key(9), NOW + AGE / 2)
    assert not ledger.revoke(make_key(9), NOW + AGE)
