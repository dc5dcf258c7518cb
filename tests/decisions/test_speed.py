from __future__ import annotations

from datetime import UTC, datetime, timedelta
from random import Random
from typing import Any

import pytest

from lavenderrun.decisions import (
    PLACEMENTS,
    PREFILL_PLACEMENTS,
    PROMISE_POLICIES,
    QUEUE_POLICIES,
    Candidate,
    CandidatePool,
    DecodeScheduler,
    DecodeSlotRequest,
    Job,
    LinkBudget,
    PlacementRequirements,
    PrefillRequirements,
    PrefixIndex,
    RecentSends,
)
from lavenderrun.types import (
    AccountId,
    AttemptId,
    DataCentre,
    HostId,
    LoadReport,
    RequestId,
    RouteName,
)

NOW = datetime(2026, 1, 1, tzinfo=UTC)
DATA_CENTRE = DataCentre("talca")


def make_pool(size: int) -> CandidatePool:
    sends = RecentSends()
    random = Random(1)
    loads = {
        HostId(f"h{n}"): LoadReport(20, random.randrange(20), 0, timedelta(0), 600)
        for n in range(size)
    }

    def look(host: HostId, centre: DataCentre) -> Candidate:
        sent, work = sends.find_unreported(host, loads[host], NOW)
        return Candidate(host, centre, loads[host], sent=sent, work=work)

    pool = CandidatePool(look)
    for host in loads:
        pool.add(host, DATA_CENTRE)
        sends.note(host, 1.0, NOW)
    return pool


@pytest.mark.parametrize("size", [6, 60, 600])
def test_placement(benchmark: Any, size: int) -> None:
    pool, random = make_pool(size), Random(2)
    choice = benchmark(PLACEMENTS.find("power"), pool, PlacementRequirements(4), random)
    assert choice.chosen is not None


@pytest.mark.parametrize("size", [6, 60, 600])
def test_prefill_placement(benchmark: Any, size: int) -> None:
    pool, random, budget, index = make_pool(size), Random(2), LinkBudget({}), PrefixIndex()
    blocks = [f"b{n}" for n in range(16)]
    for n in range(0, size, 3):
        index.store(HostId(f"h{n}"), blocks[: n % 16], NOW)

    def choose() -> Any:
        def look(candidate: Candidate) -> tuple[timedelta, timedelta]:
            direction = (candidate.data_centre, DATA_CENTRE)
            return budget.estimate_wait(direction, NOW), budget.estimate_duration(
                direction, 16000, NOW
            )

        cached = index.estimate_cached(blocks, NOW)
        need = PrefillRequirements(
            16000, cached, lambda tokens, spared: (tokens - spared) * 5e-5, look
        )
        return PREFILL_PLACEMENTS.find("affinity")(pool, need, random)

    assert benchmark(choose).chosen is not None


def make_job(number: int, accounts: int) -> Job:
    account = AccountId(f"a{number % accounts}")
    urgency = timedelta(seconds=1 + number % 3)
    due = NOW + urgency + timedelta(milliseconds=number % 700)
    deadline = NOW + timedelta(seconds=30)
    return Job(RequestId(f"r{number}"), AttemptId(1), account, 2.0, 1.0, urgency, due, deadline)


@pytest.mark.parametrize("accounts", [5, 210])
def test_fair_queue(benchmark: Any, accounts: int) -> None:
    queue = QUEUE_POLICIES.find("fair")(20.0)
    for number in range(1000):
        queue.push(make_job(number, accounts), NOW)
    numbers = iter(range(1000, 100_000_000))

    def run_turn() -> None:
        job = make_job(next(numbers), accounts)
        queue.work_ahead(job)
        queue.push(job, NOW)
        queue.pop(NOW)

    benchmark(run_turn)
    assert len(queue) == 1000


@pytest.mark.parametrize("accounts", [5, 210])
def test_decode_scheduler(benchmark: Any, accounts: int) -> None:
    scheduler = DecodeScheduler(
        20, 640, QUEUE_POLICIES.find("fair"), PROMISE_POLICIES.find("ahead")
    )
    numbers = iter(range(100_000_000))

    def make_request() -> DecodeSlotRequest:
        job = make_job(next(numbers), accounts)
        lead = timedelta(seconds=0.2)
        return DecodeSlotRequest(job, RouteName("r"), 900, 100, lead, cohort=0, holder=HostId("e"))

    first = [make_request() for _ in range(100)]
    for request in first:
        scheduler.reserve(request, NOW)
        scheduler.start(request.job.key, NOW)

    def run_turn() -> None:
        request = make_request()
        scheduler.reserve(request, NOW)
        scheduler.tick(NOW)
        scheduler.cancel(request.job.key, NOW)

    benchmark(run_turn)
    assert len(scheduler.list_attempts()) <= 100
