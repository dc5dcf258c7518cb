from __future__ import annotations

from datetime import UTC, datetime, timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.dispatch import (
    PLACEMENTS,
    AttemptDecision,
    AttemptOutcome,
    CallRequirements,
    FleetOccupancy,
    HealthTracker,
    PlacementContext,
    QueuedCall,
    Reservations,
    RoleBalancer,
    decide_after_attempt,
    is_late,
    order_key,
)
from lavenderrun.types import (
    AnswerKind,
    BackendId,
    BackendLoad,
    BackendRole,
    CallFailure,
    DataCentre,
    HostId,
    Member,
    MemberState,
    ServiceGroup,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
HERE, THERE = DataCentre("here"), DataCentre("there")


def make_member(
    name: str,
    role: BackendRole = BackendRole.PLAIN,
    where: DataCentre = HERE,
    state: MemberState = MemberState.READY,
) -> Member:
    return Member(
        BackendId(name),
        ServiceGroup("s"),
        "127.0.0.1:1",
        where,
        role,
        6,
        state,
        timedelta(0),
        1,
    )


def make_context(memory: int = 0) -> PlacementContext:
    return PlacementContext(
        START, HERE, HealthTracker(), FleetOccupancy(), Random(1), memory_tokens=memory
    )


def place(
    kind: str, members: list[Member], need: CallRequirements, sight: PlacementContext
) -> str | None:
    found = PLACEMENTS.find(kind)(members, need, sight)
    return None if found is None else found.id


def test_near_servers_go_first_until_they_are_busy() -> None:
    members, sight = [make_member("near"), make_member("far", where=THERE)], make_context()
    assert place("plain", members, CallRequirements(), sight) == "near"
    sight.occupancy.observe_load(BackendId("near"), BackendLoad(3, 0, 6), START)
    assert place("plain", members, CallRequirements(), sight) == "far"


def test_leaving_tried_and_paused_servers_are_passed_over() -> None:
    members = [make_member(name) for name in ("a", "b", "c")]
    members.append(make_member("d", state=MemberState.LEAVING))
    sight = make_context()
    sight.health.lose(BackendId("b"), START)
    assert place("plain", members, CallRequirements(tried=[BackendId("a")]), sight) == "c"
    need = CallRequirements(tried=[BackendId("a"), BackendId("c")])
    assert place("plain", members, need, sight) == "b"  # better than none
    assert place("plain", members[3:], CallRequirements(), sight) is None


def test_slow_and_failing_servers_lose_calls() -> None:
    for spoil in ("slow", "grey"):
        members, sight = [make_member("good"), make_member("bad")], make_context()
        for _ in range(8):
            sight.health.succeed(BackendId("good"), timedelta(milliseconds=40))
            if spoil == "slow":
                sight.health.succeed(BackendId("bad"), timedelta(milliseconds=400))
            else:
                sight.health.fail(BackendId("bad"))
        sight.occupancy.observe_load(BackendId("good"), BackendLoad(4, 0, 6), START)
        assert place("plain", members, CallRequirements(), sight) == "good"


def test_a_decode_engine_needs_room_in_the_sum_of_all_hosts() -> None:
    members = [make_member("d1", BackendRole.DECODE), make_member("p1", BackendRole.PREFILL)]
    sight = make_context(memory=10_000)
    sight.occupancy.reserve(BackendId("d1"), 4000)
    assert place("decode", members, CallRequirements(tokens=5000), sight) == "d1"
    sight.occupancy.apply_peer_report(HostId("h2"), {BackendId("d1"): Reservations(1, 4000)}, START)
    assert place("decode", members, CallRequirements(tokens=5000), sight) is None
    sight.occupancy.drop_stale_reports(START + timedelta(seconds=4))
    assert place("decode", members, CallRequirements(tokens=5000), sight) == "d1"


def test_prompts_skip_prefill_engines_with_long_queues_or_moving_ones() -> None:
    members = [make_member("p1", BackendRole.PREFILL)]
    sight = make_context()
    sight.prefill_speed = 10_000.0
    sight.occupancy.reserve(BackendId("p1"), 3000)
    assert place("prefill", members, CallRequirements(tokens=3000), sight) == "p1"
    sight.occupancy.reserve(BackendId("p1"), 3000)
    assert place("prefill", members, CallRequirements(tokens=3000), sight) is None
    sight = make_context()
    sight.moving = [BackendId("p1")]
    assert place("prefill", members, CallRequirements(tokens=3000), sight) is None


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 5000)), max_size=60))
def test_reservations_that_are_freed_leave_nothing(steps: list[tuple[bool, int]]) -> None:
    occupancy = FleetOccupancy()
    held: list[int] = []
    for take, tokens in steps:
        if take or not held:
            occupancy.reserve(BackendId("d"), tokens)
            held.append(tokens)
        else:
            occupancy.free(BackendId("d"), held.pop())
    assert occupancy.sum_reserved_tokens(BackendId("d")) == sum(held)
    assert occupancy.count_reserved(BackendId("d")) == len(held)
    for tokens in held:
        occupancy.free(BackendId("d"), tokens)
    assert not occupancy.own_reservations


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("may_resend", [True, False])
@pytest.mark.parametrize("sent", [True, False])
@pytest.mark.parametrize("standing", [None, *AnswerKind])
@pytest.mark.parametrize("broke", [None, *CallFailure])
def test_what_may_have_run_is_repeated_only_when_idempotent_and_never_called_not_run(
    idempotent: bool,
    may_resend: bool,
    sent: bool,
    standing: AnswerKind | None,
    broke: CallFailure | None,
) -> None:
    attempted = AttemptOutcome(sent, standing, broke)
    verdict = decide_after_attempt(attempted, idempotent=idempotent, may_resend=may_resend)
    if attempted.may_have_run and not idempotent:
        assert verdict in {AttemptDecision.PASS_ON, AttemptDecision.FAIL_UNKNOWN}
    if attempted.may_have_run:
        assert verdict is not AttemptDecision.REFUSE_NOT_RUN
    if not may_resend:
        assert verdict is not AttemptDecision.TRY_AGAIN
    if broke is not None:
        assert verdict is not AttemptDecision.PASS_ON


def wait(ago: float, rank: int = 1) -> QueuedCall:
    return QueuedCall(rank, START - timedelta(seconds=ago), timedelta(milliseconds=900))


def test_calls_that_can_be_in_time_come_first_then_those_that_wait_longest() -> None:
    waiting = [wait(2.0), wait(0.1), wait(0.5), wait(2.0, rank=0), wait(1.0)]
    ordered = sorted(waiting, key=lambda found: order_key(found, START))
    assert ordered == [wait(2.0, rank=0), wait(0.5), wait(0.1), wait(2.0), wait(1.0)]


def test_a_late_call_leaves_memory_to_those_that_can_be_in_time() -> None:
    members = [make_member("d1", BackendRole.DECODE)]
    sight = make_context(memory=10_000)
    sight.occupancy.reserve(members[0].id, 5000)
    assert place("decode", members, CallRequirements(tokens=4000), sight) == "d1"
    assert place("decode", members, CallRequirements(tokens=4000, late=True), sight) is None
    assert place("decode", members, CallRequirements(tokens=2000, late=True), sight) == "d1"
    assert is_late(wait(0.7), START)
    assert not is_late(wait(0.6), START)


def engines(prefills: int, decodes: int) -> list[Member]:
    found = [make_member(f"p{n}", BackendRole.PREFILL) for n in range(prefills)]
    return found + [make_member(f"d{n}", BackendRole.DECODE) for n in range(decodes)]


@pytest.mark.parametrize(
    ("prefills", "decodes", "expected"),
    [
        (2, 3, None),
        (2, 2, BackendRole.DECODE),
        (1, 4, BackendRole.PREFILL),
        (1, 2, None),
        (0, 2, BackendRole.PREFILL),
        (0, 4, BackendRole.PREFILL),
        (2, 0, BackendRole.DECODE),
        (1, 0, BackendRole.DECODE),
        (3, 3, BackendRole.DECODE),
        (1, 1, None),
    ],
)
def test_engines_are_divided_by_the_usual_share_before_calls_were_seen(
    prefills: int, decodes: int, expected: BackendRole | None
) -> None:
    change = RoleBalancer().plan_change(engines(prefills, decodes), {}, {}, START)
    assert (change.role if change else None) is expected


def test_before_any_measurement_prompts_do_not_all_queue_at_one_engine() -> None:
    speed = RoleBalancer().prefill_speed
    sight = make_context()
    sight.prefill_speed = speed
    members = [make_member("p1", BackendRole.PREFILL)]
    placed = 0
    while (
        placed < 100 and place("prefill", members, CallRequirements(tokens=3000), sight) is not None
    ):
        sight.occupancy.reserve(members[0].id, 3000)
        placed += 1
    assert 1 <= placed <= 5


def test_a_few_slow_prefills_move_no_engine() -> None:
    balance = RoleBalancer()
    for _ in range(8):
        balance.observe_prefill(timedelta(milliseconds=700), 3000)
        balance.observe_decode(timedelta(seconds=3), 0.1)
    assert balance.plan_change(engines(2, 3), {}, {}, START) is None
    assert balance.plan_change(engines(1, 3), {}, {}, START) is None


def test_the_share_follows_the_calls_and_moves_keep_their_distance() -> None:
    balance = RoleBalancer()
    for _ in range(400):
        balance.observe_prefill(timedelta(milliseconds=300), 9000)
        balance.observe_decode(timedelta(seconds=1), 0.1)
    assert balance.prefill_share == pytest.approx(0.75, abs=0.04)
    assert balance.prefill_speed == pytest.approx(30_000)
    change = balance.plan_change(engines(1, 4), {}, {BackendId("d0"): 9}, START)
    assert change is not None
    assert (change.member.id, change.role) == ("d1", BackendRole.PREFILL)
    balance.note_change(START)
    assert balance.plan_change(engines(1, 4), {}, {}, START + timedelta(seconds=1)) is None
    pending = {BackendId("d1"): BackendRole.PREFILL, BackendId("d2"): BackendRole.PREFILL}
    later = START + timedelta(seconds=5)
    second = balance.plan_change(engines(1, 4), pending, {}, later)
    assert second is None or second.member.id not in pending
