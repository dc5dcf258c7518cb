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
    """Servers that carry orders out after a while."""

    def __init__(self, reports: dict[str, Serving]) -> None:
        self.reports = {BackendId(name): report for name, report in reports.items()}
        self.working: dict[BackendId, PlannedOrder] = {}
        self.begun: list[tuple[datetime, PlannedOrder]] = []

    def take(self, order: PlannedOrder, now: datetime) -> None:
        if order.backend in self.working:
            return
        self.working[order.backend] = order
        self.begun.append((now, order))
        if order.kind is not OrderKind.LOAD_ADAPTER:
            report = self.reports[order.backend]
            self.reports[order.backend] = replace(report, state=ServingState.LOADING)

    def finish(self, backend: BackendId) -> None:
        order, report = self.working.pop(backend), self.reports[backend]
        loaded = report.loaded
        if order.kind is OrderKind.LOAD_MODEL:
            loaded = LoadedModel(order.model, order.revision, [], loaded.role)
        elif order.kind is OrderKind.LOAD_ADAPTER:
            loaded = replace(loaded, adapters=[*loaded.adapters, order.adapter])
        else:
            loaded = replace(loaded, role=order.role)
        self.reports[backend] = replace(report, loaded=loaded, state=ServingState.READY)

    def count(self, model: str, role: BackendRole) -> int:
        place = ModelRole(ModelName(model), role)
        ready = [each for each in self.reports.values() if each.state is ServingState.READY]
        return sum(ModelRole(each.loaded.model, each.loaded.role) == place for each in ready)


def run(engines: Engines, models: list[Model], *, seconds: int = 400) -> OrderPlanner:
    orderer = OrderPlanner(RATE, START)
    for second in range(seconds):
        now = START + timedelta(seconds=second)
        for order in orderer.plan(models, engines.reports, now):
            engines.take(order, now)
        for backend in [b for b in engines.working if second % 7 == 6]:
            engines.finish(backend)
    return orderer


def test_new_model_is_loaded_before_the_old_one_is_gone_everywhere() -> None:
    engines = Engines({f"b{n}": make_report("old", DECODE) for n in range(2)})
    orderer = OrderPlanner(RATE, START)
    models = [make_model("new", 0, 2)]
    first = orderer.plan(models, engines.reports, START)
    assert len(first) == 1
    engines.take(first[0], START)
    later = START + timedelta(seconds=60)
    assert orderer.plan(models, engines.reports, later) == []
    engines.finish(first[0].backend)
    assert len(orderer.plan(models, engines.reports, later)) == 1


def test_revision_rolls_and_the_only_server_of_a_role_is_not_taken() -> None:
    engines = Engines({"d1": make_report("m", DECODE), "d2": make_report("m", DECODE)})
    run(engines, [make_model("m", 0, 2, "2")])
    assert [each.loaded.revision for each in engines.reports.values()] == ["2", "2"]
    alone = Engines({"d1": make_report("m", DECODE)})
    orderer = run(alone, [make_model("m", 0, 1, "2")])
    assert alone.begun == []
    assert [each.backend for each in orderer.blocked] == ["d1"]


def test_loads_keep_within_the_weight_stores_rate() -> None:
    engines = Engines({f"b{n}": make_report("", DECODE) for n in range(5)})
    run(engines, [make_model("m", 0, 5)])
    times = [at for at, order in engines.begun if order.kind is OrderKind.LOAD_MODEL]
    assert len(times) == 5
    pauses = [late - early for early, late in pairwise(times)]
    assert min(pauses) >= timedelta(seconds=SIZE / RATE)


def test_lost_order_is_sent_again_under_its_number() -> None:
    reports = {BackendId("b"): make_report("", DECODE)}
    orderer = OrderPlanner(RATE, START)
    models = [make_model("m", 0, 1)]
    first = orderer.plan(models, reports, START)
    assert orderer.plan(models, reports, START + timedelta(seconds=4)) == []
    assert orderer.plan(models, reports, START + timedelta(seconds=5)) == first


def test_work_of_an_earlier_lease_holder_is_awaited() -> None:
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
def test_served_places_stay_served_and_the_wanted_ones_are_reached(
    start: list[tuple[str, BackendRole]], prefill: int, decode: int, revision: str
) -> None:
    models = [make_model("a", prefill, 1), make_model("b", 1, decode, revision)]
    wanted = [(model.name, role) for model in models for role in (PREFILL, DECODE)]
    engines = Engines({f"e{n}": make_report(*each) for n, each in enumerate(start)})
    served = {place for place in wanted if engines.count(*place)}
    orderer = OrderPlanner(RATE, START)
    for second in range(600):
        now = START + timedelta(seconds=second)
        for order in orderer.plan(models, engines.reports, now):
            engines.take(order, now)
        assert all(engines.count(*place) for place in served)
        served |= {place for place in wanted if engines.count(*place)}
        if second % 7 == 6:
            for backend in list(engines.working):
                engines.finish(backend)
    assert served == set(wanted)
