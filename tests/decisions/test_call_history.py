from __future__ import annotations

from datetime import UTC, datetime, timedelta

from lavenderrun.decisions import CallHistory, JobKey
from lavenderrun.types import AttemptId, RequestId

NOW = datetime(2026, 1, 1, tzinfo=UTC)
AGE = timedelta(seconds=100)


def make_key(number: int) -> JobKey:
    return (RequestId(f"r{number}"), AttemptId(1))


def test_call_begins_once_and_never_after_it_was_revoked() -> None:
    history = CallHistory(age=AGE)
    assert history.begin(make_key(1), NOW)
    assert not history.begin(make_key(1), NOW)
    assert history.revoke(make_key(1), NOW)
    assert not history.revoke(make_key(2), NOW)
    assert not history.begin(make_key(2), NOW)


def test_call_that_its_backend_server_never_saw_counts_as_not_begun() -> None:
    history = CallHistory(age=AGE)
    history.begin(make_key(1), NOW)
    history.mark_not_started(make_key(1), NOW)
    assert not history.revoke(make_key(1), NOW)
    assert not history.begin(make_key(1), NOW)


def test_records_are_kept_for_their_age_after_the_call_ended() -> None:
    history = CallHistory(age=AGE)
    history.begin(make_key(1), NOW)
    history.end(make_key(1), NOW + AGE / 2)
    history.revoke(make_key(2), NOW + AGE)
    assert history.revoke(make_key(1), NOW + AGE)
    history.revoke(make_key(3), NOW + 3 * AGE)
    assert len(history) == 1


def test_full_history_counts_an_unknown_call_as_begun_while_records_may_be_missing() -> None:
    history = CallHistory(maximum=2, age=AGE)
    for number in range(3):
        history.begin(make_key(number), NOW)
    assert history.revoke(make_key(0), NOW + AGE / 2)
    assert history.revoke(make_key(9), NOW + AGE / 2)
    assert not history.revoke(make_key(9), NOW + AGE)


# the record of a running call expired, and a call that had begun was reported as never started
def test_a_running_call_counts_as_begun_however_long_it_runs() -> None:
    history = CallHistory(maximum=2, age=AGE)
    history.begin(make_key(1), NOW)
    history.revoke(make_key(2), NOW + 3 * AGE)
    history.revoke(make_key(3), NOW + 3 * AGE)
    history.revoke(make_key(4), NOW + 3 * AGE)
    assert len(history) == 2
    assert history.revoke(make_key(1), NOW + 3 * AGE)
    assert not history.begin(make_key(1), NOW + 3 * AGE)
    history.end(make_key(1), NOW + 3 * AGE)
    history.revoke(make_key(5), NOW + 3.5 * AGE)
    assert history.revoke(make_key(1), NOW + 3.5 * AGE)
    history.revoke(make_key(6), NOW + 5 * AGE)
    assert len(history) == 1
