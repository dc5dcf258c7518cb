from __future__ import annotations

from datetime import UTC, datetime, timedelta
from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from lavenderrun.decisions import ModelRole, OrderPlanner, PlannedOrder
from lavenderrun.types import (
    BackendId,
    BackendRole,
    FencingNumber,
    LoadedModel,
    Model,
    ModelName,
    OrderKind,
    Serving,
    ServingState,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
RATE = 1e9
SIZE = 10_000_000_000
PREFILL, DECODE = BackendRole.PREFILL, BackendRole.DECODE


def make_model(name: str, prefill: int, decode: int, revision: str = "1") -> Model:
    return Model(name=ModelName(name), prefill=prefill, decode=decode, revision=revision, size=SIZE)


def make_report(model: str, role: BackendRole, revision: str = "1") -> Serving:
    loaded = LoadedModel(ModelName(model), revision, [], role)
    return Serving(loaded, ServingState.READY, FencingNumber(1))


class Engines:
    """Simulated backend servers that complete an order only when told to."""

    def __init__(self, reports: dict[str, Serving]) -> None:
        self.reports = {BackendId(name): report for name, report in reports.items()}
        self.in_progress: dict[BackendId, PlannedOrder] = {}
        self.started: list[tuple[datetime, PlannedOrder]] = []

    def take(self, order: PlannedOrder, now: datetime) -> None:
        if order.backend in self.in_progress:
            return
        self.in_progress[order.backend] = order
        self.started.append((now, order))
        if order.kind is not OrderKind.LOAD_ADAPTER:
            report = self.reports[order.backend]
            self.reports[order.backend] = replace(report, state=ServingState.LOADING)

    def finish(self, backend: BackendId) -> None:
        order, report = self.in_progress.pop(backend), self.reports[backend]
        loaded = report.loaded
        if order.kind is OrderKind.LOAD_MODEL:
            loaded = LoadedModel(order.model, order.revision, [], loaded.role)
        elif order.kind is OrderKind.LOAD_ADAPTER:
            loaded = replace(loaded, adapters=[*loaded.adapters, order.adapter])
        else:
            loaded = replace(loaded, role=order.role)
        self.reports[backend] = replace(report, loaded=loaded, state=ServingState.READY)

    def count(self, model: str, role: BackendRole) -> int:
        model_role = ModelRole(ModelName(model), role)
        ready = [each for each in self.reports.values() if each.state is ServingState.READY]
        return sum(ModelRole(each.loaded.model, each.loaded.role) == model_role for each in ready)


def run(engines: Engines, models: list[Model], *, seconds: int = 400) -> OrderPlanner:
    planner = OrderPlanner(RATE, START)
    for second in range(seconds):
        now = START + timedelta(seconds=second)
        for order in planner.plan(models, engines.reports, now):
            engines.take(order, now)
        for backend in [b for b in engines.in_progress if second % 7 == 6]:
            engines.finish(backend)
    return planner


def test_new_model_is_loaded_before_the_last_server_of_the_old_one_is_reassigned() -> None:
    engines = Engines({f"b{n}": make_report("old", DECODE) for n in range(2)})
    planner = OrderPlanner(RATE, START)
    models = [make_model("new", 0, 2)]
    first = planner.plan(models, engines.reports, START)
    assert len(first) == 1
    engines.take(first[0], START)
    later = START + timedelta(seconds=60)
    assert planner.plan(models, engines.reports, later) == []
    engines.finish(first[0].backend)
    assert len(planner.plan(models, engines.reports, later)) == 1


def test_revision_rolls_out_but_the_only_server_of_a_role_is_not_reassigned() -> None:
    engines = Engines({"d1": make_report("m", DECODE), "d2": make_report("m", DECODE)})
    run(engines, [make_model("m", 0, 2, "2")])
    assert [each.loaded.revision for each in engines.reports.values()] == ["2", "2"]
    single = Engines({"d1": make_report("m", DECODE)})
    planner = run(single, [make_model("m", 0, 1, "2")])
    assert single.started == []
    assert [each.backend for each in planner.blocked] == ["d1"]


def test_model_loads_stay_within_the_rate_of_the_weight_store() -> None:
    engines = Engines({f"b{n}": make_report("", DECODE) for n in range(5)})
    run(engines, [make_model("m", 0, 5)])
    times = [at for at, order in engines.started if order.kind is OrderKind.LOAD_MODEL]
    assert len(times) == 5
    pauses = [late - early for early, late in pairwise(times)]
    assert min(pauses) >= timedelta(seconds=SIZE / RATE)


def test_lost_order_is_sent_again_under_its_number() -> None:
    reports = {BackendId("b"): make_report("", DECODE)}
    planner = OrderPlanner(RATE, START)
    models = [make_model("m", 0, 1)]
    first = planner.plan(models, reports, START)
    assert planner.plan(models, reports, START + timedelta(seconds=4)) == []
    assert planner.plan(models, reports, START + timedelta(seconds=5)) == first


def test_orders_wait_for_work_of_an_earlier_lease_holder() -> None:
    busy = replace(make_report("m", DECODE), state=ServingState.LOADING)
    reports = {BackendId("a"): busy, BackendId("b"): make_report("", DECODE)}
    assert OrderPlanner(RATE, START).plan([make_model("m", 0, 2)], reports, START) == []


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["", "a", "b"]), st.sampled_from([PREFILL, DECODE])),
        min_size=4,
        max_size=8,
    ),
    st.integers(1, 2),
    st.integers(1, 2),
    st.sampled_from(["1", "2"]),
)
def test_served_model_roles_stay_served_and_wanted_ones_are_reached(
    start: list[tuple[str, BackendRole]], prefill: int, decode: int, revision: str
) -> None:
    models = [make_model("a", prefill, 1), make_model("b", 1, decode, revision)]
    wanted = [(model.name, role) for model in models for role in (PREFILL, DECODE)]
    engines = Engines({f"e{n}": make_report(*each) for n, each in enumerate(start)})
    served = {model_role for model_role in wanted if engines.count(*model_role)}
    planner = OrderPlanner(RATE, START)
    for second in range(600):
        now = START + timedelta(seconds=second)
        for order in planner.plan(models, engines.reports, now):
            engines.take(order, now)
        assert all(engines.count(*model_role) for model_role in served)
        served |= {model_role for model_role in wanted if engines.count(*model_role)}
        if second % 7 == 6:
            for backend in list(engines.in_progress):
                engines.finish(backend)
    assert served == set(wanted)
