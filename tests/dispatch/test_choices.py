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
    has_decode_engine,
    make_sort_key,
    misses_objective,
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
    kind: str, members: list[Member], requirements: CallRequirements, context: PlacementContext
) -> str | None:
    found = PLACEMENTS.find(kind)(members, requirements, context)
    return None if found is None else found.id


def test_plain_calls_go_to_the_near_server_until_it_is_busy() -> None:
    members, context = [make_member("near"), make_member("far", where=THERE)], make_context()
    assert place("plain", members, CallRequirements(), context) == "near"
    context.occupancy.observe_load(BackendId("near"), BackendLoad(3, 0, 6), START)
    assert place("plain", members, CallRequirements(), context) == "far"


def test_leaving_tried_and_paused_servers_get_no_call_while_there_is_another() -> None:
    members = [make_member(name) for name in ("a", "b", "c")]
    members.append(make_member("d", state=MemberState.LEAVING))
    context = make_context()
    context.health.pause_after_failure(BackendId("b"), START)
    assert place("plain", members, CallRequirements(tried=[BackendId("a")]), context) == "c"
    requirements = CallRequirements(tried=[BackendId("a"), BackendId("c")])
    assert (
        place("plain", members, requirements, context) == "b"
    )  # a paused server is better than none
    assert place("plain", members[3:], CallRequirements(), context) is None


def test_slow_and_failing_servers_get_no_call_while_another_has_room() -> None:
    for fault in ("slow", "failing"):
        members, context = [make_member("good"), make_member("bad")], make_context()
        for _ in range(8):
            context.health.record_success(BackendId("good"), timedelta(milliseconds=40))
            if fault == "slow":
                context.health.record_success(BackendId("bad"), timedelta(milliseconds=400))
            else:
                context.health.record_failure(BackendId("bad"))
        context.occupancy.observe_load(BackendId("good"), BackendLoad(4, 0, 6), START)
        assert place("plain", members, CallRequirements(), context) == "good"


def test_a_decode_engine_takes_a_call_only_when_the_reservations_of_all_hosts_leave_memory() -> (
    None
):
    members = [make_member("d1", BackendRole.DECODE), make_member("p1", BackendRole.PREFILL)]
    context = make_context(memory=10_000)
    context.occupancy.reserve(BackendId("d1"), 4000)
    assert place("decode", members, CallRequirements(tokens=5000), context) == "d1"
    context.occupancy.apply_peer_report(
        HostId("h2"), {BackendId("d1"): Reservations(1, 4000)}, START
    )
    assert place("decode", members, CallRequirements(tokens=5000), context) is None
    context.occupancy.drop_stale_reports(START + timedelta(seconds=4))
    assert place("decode", members, CallRequirements(tokens=5000), context) == "d1"


# a call was placed at a paused engine because the only sound one was kept for another call
def test_a_call_that_may_take_only_a_paused_engine_is_not_placed_while_a_sound_one_is_full() -> (
    None
):
    members = [make_member("d1", BackendRole.DECODE), make_member("d2", BackendRole.DECODE)]
    context = make_context()
    context.health.pause_after_failure(members[0].id, START)
    assert place("decode", members, CallRequirements(allowed={members[0].id}), context) is None
    assert place("decode", members, CallRequirements(allowed={members[1].id}), context) == "d2"


def test_prompts_skip_prefill_engines_with_long_queues_or_a_pending_role_change() -> None:
    members = [make_member("p1", BackendRole.PREFILL)]
    context = make_context()
    context.prefill_speed = 10_000.0
    context.occupancy.reserve(BackendId("p1"), 3000)
    assert place("prefill", members, CallRequirements(tokens=3000), context) == "p1"
    context.occupancy.reserve(BackendId("p1"), 3000)
    assert place("prefill", members, CallRequirements(tokens=3000), context) is None
    context = make_context()
    context.moving = [BackendId("p1")]
    assert place("prefill", members, CallRequirements(tokens=3000), context) is None


def test_an_engine_that_may_still_run_a_call_is_ready_untried_and_will_decode() -> None:
    decode, prefill = make_member("d", BackendRole.DECODE), make_member("p", BackendRole.PREFILL)
    leaving = make_member("l", BackendRole.DECODE, state=MemberState.LEAVING)
    context = make_context()
    assert not has_decode_engine([prefill, leaving], [], context)
    assert has_decode_engine([decode, prefill], [], context)
    assert not has_decode_engine([decode, prefill], [decode.id], context)
    context.health.pause_after_failure(decode.id, START)
    assert has_decode_engine([decode], [], context)
    context.moving = [decode.id, prefill.id]
    assert not has_decode_engine([decode], [], context)
    assert has_decode_engine([prefill], [], context)
    context = make_context()
    context.health.note_replaced(decode, START)
    assert not has_decode_engine([decode], [], context)


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
    assert occupancy.count_reserved_slots(BackendId("d")) == len(held)
    for tokens in held:
        occupancy.free(BackendId("d"), tokens)
    assert not occupancy.own_reservations


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("may_resend", [True, False])
@pytest.mark.parametrize("sent", [True, False])
@pytest.mark.parametrize("kind", [None, *AnswerKind])
@pytest.mark.parametrize("failure", [None, *CallFailure])
@pytest.mark.parametrize("denies_run", [True, False])
def test_a_call_that_may_have_run_is_resent_only_when_idempotent_and_never_refused_as_not_run(
    idempotent: bool,
    may_resend: bool,
    sent: bool,
    kind: AnswerKind | None,
    failure: CallFailure | None,
    denies_run: bool,
) -> None:
    outcome = AttemptOutcome(sent, kind, failure, denies_run and kind is not AnswerKind.SERVED)
    decision = decide_after_attempt(outcome, idempotent=idempotent, may_resend=may_resend)
    if outcome.may_have_run and not idempotent:
        assert decision in {AttemptDecision.PASS_ON, AttemptDecision.FAIL_UNKNOWN}
    if outcome.may_have_run:
        assert decision is not AttemptDecision.REFUSE_NOT_RUN
    if not may_resend:
        assert decision is not AttemptDecision.TRY_AGAIN
    if failure is not None:
        assert decision is not AttemptDecision.PASS_ON
    # an order that had run was answered as not run
    if outcome.denies_run and outcome.may_have_run and not idempotent:
        assert decision is AttemptDecision.FAIL_UNKNOWN


def make_queued_call(ago: float, rank: int = 1) -> QueuedCall:
    return QueuedCall(rank, START - timedelta(seconds=ago), timedelta(milliseconds=900))


def test_calls_that_can_meet_their_objective_come_first_then_those_that_wait_longest() -> None:
    waiting = [
        make_queued_call(2.0),
        make_queued_call(0.1),
        make_queued_call(0.5),
        make_queued_call(2.0, rank=0),
        make_queued_call(1.0),
    ]
    ordered = sorted(waiting, key=lambda found: make_sort_key(found, START))
    assert ordered == [
        make_queued_call(2.0, rank=0),
        make_queued_call(0.5),
        make_queued_call(0.1),
        make_queued_call(2.0),
        make_queued_call(1.0),
    ]


def test_a_late_call_leaves_memory_to_calls_that_can_meet_their_objective() -> None:
    members = [make_member("d1", BackendRole.DECODE)]
    context = make_context(memory=10_000)
    context.occupancy.reserve(members[0].id, 5000)
    assert place("decode", members, CallRequirements(tokens=4000), context) == "d1"
    assert place("decode", members, CallRequirements(tokens=4000, late=True), context) is None
    assert place("decode", members, CallRequirements(tokens=2000, late=True), context) == "d1"
    assert misses_objective(make_queued_call(0.7), START)
    assert not misses_objective(make_queued_call(0.6), START)


def make_engines(prefills: int, decodes: int) -> list[Member]:
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
def test_before_any_call_engines_are_divided_by_the_default_prefill_share(
    prefills: int, decodes: int, expected: BackendRole | None
) -> None:
    change = RoleBalancer().plan_change(make_engines(prefills, decodes), {}, {}, START)
    assert (change.role if change else None) is expected


def test_before_any_measurement_prompts_do_not_all_queue_at_one_engine() -> None:
    speed = RoleBalancer().prefill_speed
    context = make_context()
    context.prefill_speed = speed
    members = [make_member("p1", BackendRole.PREFILL)]
    placed = 0
    while (
        placed < 100
        and place("prefill", members, CallRequirements(tokens=3000), context) is not None
    ):
        context.occupancy.reserve(members[0].id, 3000)
        placed += 1
    assert 1 <= placed <= 5


def test_a_few_slow_prefills_change_no_role() -> None:
    balancer = RoleBalancer()
    for _ in range(8):
        balancer.observe_prefill(timedelta(milliseconds=700), 3000)
        balancer.observe_decode(timedelta(seconds=3), 0.1)
    assert balancer.plan_change(make_engines(2, 3), {}, {}, START) is None
    assert balancer.plan_change(make_engines(1, 3), {}, {}, START) is None


def test_the_prefill_share_follows_the_calls_and_role_changes_are_spaced_apart() -> None:
    balancer = RoleBalancer()
    for _ in range(400):
        balancer.observe_prefill(timedelta(milliseconds=300), 9000)
        balancer.observe_decode(timedelta(seconds=1), 0.1)
    assert balancer.prefill_share == pytest.approx(0.75, abs=0.04)
    assert balancer.prefill_speed == pytest.approx(30_000)
    change = balancer.plan_change(make_engines(1, 4), {}, {BackendId("d0"): 9}, START)
    assert change is not None
    assert (change.member.id, change.role) == ("d1", BackendRole.PREFILL)
    balancer.note_change(START)
    assert balancer.plan_change(make_engines(1, 4), {}, {}, START + timedelta(seconds=1)) is None
    pending = {BackendId("d1"): BackendRole.PREFILL, BackendId("d2"): BackendRole.PREFILL}
    later = START + timedelta(seconds=5)
    second = balancer.plan_change(make_engines(1, 4), pending, {}, later)
    assert second is None or second.member.id not in pending
