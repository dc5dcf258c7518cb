from __future__ import annotations

from collections import Counter
from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.decisions import QUEUE_POLICIES, FairQueue, Job
from lavenderrun.types import AccountId, AttemptId, RequestId

START = datetime(2026, 1, 1, tzinfo=UTC)


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def make_job(
    name: str,
    account: str = "a",
    cost: float = 1.0,
    *,
    arrived: float = 0.0,
    urgency: float = 1e4,
    patience: float = 1e5,
    weight: float = 1.0,
) -> Job:
    return Job(
        RequestId(name),
        AttemptId(1),
        AccountId(account),
        cost,
        weight,
        timedelta(seconds=urgency),
        at(arrived + urgency),
        at(arrived + patience),
    )


def drain(queue: FairQueue, count: int, now: float = 0.0) -> list[Job]:
    return [job for _ in range(count) if (job := queue.pop(at(now))) is not None]


def test_account_with_five_times_the_load_gets_only_its_share() -> None:
    queue = FairQueue(1.0)
    for number in range(500):
        queue.push(make_job(f"greedy{number}", "greedy"), at(0))
    for number in range(100):
        queue.push(make_job(f"b{number}", "b"), at(0))
    served = Counter(job.account for job in drain(queue, 200))
    assert abs(served[AccountId("b")] - 100) <= 3


def test_weights_set_the_shares() -> None:
    queue = FairQueue(1.0)
    for number in range(300):
        queue.push(make_job(f"x{number}", "x", weight=3.0), at(0))
        queue.push(make_job(f"y{number}", "y", weight=1.0), at(0))
    served = Counter(job.account for job in drain(queue, 200))
    assert abs(served[AccountId("x")] - 150) <= 6


def test_urgent_job_overtakes_a_patient_job_of_another_account() -> None:
    queue = FairQueue(1.0)
    queue.push(make_job("patient", "a", urgency=30), at(0))
    queue.push(make_job("urgent", "b", urgency=0.5, arrived=1), at(1))
    assert [job.request for job in drain(queue, 2, 1.0)] == ["urgent", "patient"]


def test_job_arriving_later_by_more_than_its_target_does_not_overtake() -> None:
    queue = FairQueue(1.0)
    queue.push(make_job("patient", urgency=10), at(0))
    queue.push(make_job("early", "b", urgency=0.5, arrived=9.45), at(9.45))
    queue.push(make_job("late", "c", urgency=0.5, arrived=9.9), at(9.9))
    assert [job.request for job in drain(queue, 3, 9.9)] == ["early", "patient", "late"]


def test_late_jobs_get_turns_under_constant_on_time_load() -> None:
    queue = FairQueue(20.0)
    queue.push(make_job("late", urgency=0.1), at(0))
    served = []
    for number in range(100):
        now = 1.0 + number
        queue.push(make_job(f"t{number}", urgency=10, arrived=now), at(now))
        served += drain(queue, 1, now)
    assert "late" in [job.request for job in served]


def test_late_jobs_that_cannot_meet_their_deadline_expire_early() -> None:
    queue = FairQueue(1.0)
    for number in range(100):
        queue.push(make_job(f"r{number}", urgency=1, patience=10), at(0))
    expired = queue.expire(at(1.5))
    assert 80 <= len(expired) <= 99
    assert len(queue) == 100 - len(expired)


def test_work_ahead_counts_only_the_fair_share_of_other_accounts() -> None:
    queue = FairQueue(1.0)
    for number in range(100):
        queue.push(make_job(f"greedy{number}", "greedy"), at(0))
    assert queue.work_ahead(make_job("next", "greedy")) == pytest.approx(100)
    assert queue.work_ahead(make_job("other", "b")) <= 3


def test_peek_and_pop_agree_when_a_parked_account_returns_with_overdue_jobs() -> None:
    queue = FairQueue(1.0)
    for number in range(9):
        queue.push(make_job(f"greedy{number}", "greedy", urgency=5), at(0))
    queue.push(make_job("b0", "b", urgency=9), at(0))
    queue.push(make_job("b1", "b", urgency=9), at(0))
    served = drain(queue, 4, 1.0)
    assert {job.account for job in served} == {"greedy", "b"}
    while (seen := queue.peek(at(7))) is not None:
        assert queue.pop(at(7)) == seen


@pytest.mark.parametrize("policy", QUEUE_POLICIES.names())
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["push", "push", "pop", "remove", "expire"]),
            st.integers(0, 30),
            st.integers(0, 3),
            st.floats(0, 2),
        ),
        max_size=80,
    )
)
def test_every_job_leaves_exactly_once(
    policy: str, steps: list[tuple[str, int, int, float]]
) -> None:
    queue = QUEUE_POLICIES.find(policy)(2.0)
    waiting: dict[RequestId, Job] = {}
    now = 0.0
    for action, number, account, wait in steps:
        now += wait
        left: list[Job] = []
        if action == "push":
            job = make_job(f"r{number}", f"{account}", wait, arrived=now, urgency=2, patience=5)
            queue.push(job, at(now))
            waiting.setdefault(job.request, job)
        elif action == "pop":
            seen = queue.peek(at(now))
            job_or_none = queue.pop(at(now))
            assert seen == job_or_none
            assert (job_or_none is None) == (not waiting)
            left = [job_or_none] if job_or_none else []
        elif action == "remove":
            key = (RequestId(f"r{number}"), AttemptId(1))
            removed = queue.remove(key)
            assert (removed is not None) == (key[0] in waiting)
            left = [removed] if removed else []
        else:
            left = queue.expire(at(now))
            assert all(job.deadline > at(now) for job in waiting.values() if job not in left)
        for job in left:
            assert waiting.pop(job.request) == job
        assert len(queue) == len(waiting)
        assert queue.work == pytest.approx(sum(job.cost for job in waiting.values()), abs=1e-6)
    while queue.pop(at(now)):
        pass
    assert len(queue) == 0
    if isinstance(queue, FairQueue):
        assert queue.accounts == 0
