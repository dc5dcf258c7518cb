"""Loads that made a fleet serve callers badly, each named after its pattern."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from random import Random

import pytest

from lavenderrun.dispatch import (
    PLACEMENTS,
    CallRequirements,
    FleetOccupancy,
    HealthTracker,
    PlacementContext,
    PromptComputations,
    estimate_computation,
)
from lavenderrun.types import (
    BackendId,
    BackendRole,
    DataCentre,
    HostId,
    Member,
    MemberState,
    ServiceGroup,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
HERE = DataCentre("here")


def make_engine(name: str, role: BackendRole = BackendRole.DECODE) -> Member:
    return Member(
        BackendId(name),
        ServiceGroup("s"),
        "127.0.0.1:1",
        HERE,
        role,
        64,
        MemberState.READY,
        timedelta(0),
        1,
    )


def make_context(now: datetime = START, speed: float = 50_000.0) -> PlacementContext:
    return PlacementContext(
        now,
        HERE,
        HealthTracker(),
        FleetOccupancy(),
        Random(1),
        memory_tokens=100_000,
        prefill_speed=speed,
    )


class ComputingFleet:
    """Decode engines that compute prompts themselves, placed by two hosts that report."""

    def __init__(self, engines: int, speed: float, tokens: int) -> None:
        self.engines = [make_engine(f"d{n}") for n in range(engines)]
        self.hosts = [make_context(speed=speed), make_context(speed=speed)]
        self.duration = estimate_computation(tokens, speed)
        self.requirements = CallRequirements(tokens=tokens, computes_prompt=True)

    def place(self, host: int, now: datetime) -> BackendId | None:
        context = self.hosts[host]
        context.now = now
        member = PLACEMENTS.find("decode")(self.engines, self.requirements, context)
        if member is None:
            return None
        context.computations.begin(member.id, self.duration, now)
        self.hosts[1 - host].computations.apply_peer_report(
            HostId(str(host)), context.computations.list_remaining(now), now
        )
        return member.id


@pytest.mark.parametrize(("speed", "tokens"), [(55_000.0, 5200), (33_000.0, 3200)])
def test_many_streams_resumed_after_a_crash_do_not_stall_the_streams_of_other_engines(
    speed: float, tokens: int
) -> None:
    """Pattern: an engine crashes and its streams all go on at the few that are left.

    Each computes its prompt there, and streams of these engines stand still meanwhile.
    """
    fleet = ComputingFleet(2, speed, tokens)
    computed: list[tuple[datetime, BackendId]] = []
    now = START
    while len(computed) < 12 and now < START + timedelta(seconds=10):
        host = len(computed) % 2
        found = fleet.place(host, now)
        if found is not None:
            computed.append((now, found))
        now += timedelta(milliseconds=10)
    assert len(computed) == 12
    window = timedelta(milliseconds=300)
    for at, engine in computed:
        busy = sum(
            (
                min(start + fleet.duration, at + window) - start
                for start, other in computed
                if other == engine and at <= start < at + window
            ),
            timedelta(0),
        )
        assert busy < window, "streams of the engine get no token for a whole gap"


def test_an_engine_takes_the_next_prompt_after_the_rest_even_if_no_end_is_reported() -> None:
    computations = PromptComputations()
    computations.begin(BackendId("d"), timedelta(milliseconds=200), START)
    assert computations.is_busy(BackendId("d"), START + timedelta(milliseconds=390))
    assert not computations.is_busy(BackendId("d"), START + timedelta(milliseconds=400))
    computations.begin(BackendId("d"), timedelta(milliseconds=200), START)
    computations.forget(BackendId("d"))
    assert not computations.is_busy(BackendId("d"), START)


def test_a_burst_queues_at_prefill_engines_while_first_tokens_can_still_be_in_time() -> None:
    """Pattern: a burst fills the prefill queues, and prompts fall back to decode engines.

    There they take twice the time and hold up all running streams; a queue that still meets the
    objective is better.
    """
    engines = [make_engine("p", BackendRole.PREFILL)]
    context = make_context()
    context.occupancy.reserve(BackendId("p"), 30_000)
    place = PLACEMENTS.find("prefill")
    soon = CallRequirements(tokens=5000, first_token_due=START + timedelta(milliseconds=500))
    assert place(engines, soon, context) is None
    in_time = CallRequirements(tokens=5000, first_token_due=START + timedelta(milliseconds=900))
    assert place(engines, in_time, context) is not None
    context.occupancy.reserve(BackendId("p"), 10_000)
    assert place(engines, in_time, context) is None
