from __future__ import annotations

from collections import Counter
from datetime import UTC, datetime, timedelta
from random import Random

from lavenderrun.decisions import (
    PLACEMENTS,
    PREFILL_PLACEMENTS,
    Candidate,
    CandidatePool,
    LinkBudget,
    PlacementRequirements,
    PrefillRequirements,
    PrefixIndex,
    RecentSends,
    RejectionReason,
)
from lavenderrun.types import DataCentre, HostId, LoadReport

START = datetime(2026, 1, 1, tzinfo=UTC)
TALCA, CHILLAN = DataCentre("talca"), DataCentre("chillan")


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def make_load(taken: int, backlog: float = 0.0, free_kv_blocks: int = 600) -> LoadReport:
    return LoadReport(20, taken, 0, timedelta(seconds=backlog), free_kv_blocks)


def make_pool(*candidates: Candidate) -> CandidatePool:
    known = {candidate.host: candidate for candidate in candidates}
    pool = CandidatePool(lambda host, centre: known[host])
    for candidate in candidates:
        pool.add(candidate.host, candidate.data_centre)
    return pool


def make_host(name: str, report: LoadReport | None = None, **more: object) -> Candidate:
    return Candidate(HostId(name), TALCA, report, **more)  # type: ignore[arg-type]


def place(
    name: str, *candidates: Candidate, requirements: PlacementRequirements | None = None
) -> HostId | None:
    chosen = PLACEMENTS.find(name)(
        make_pool(*candidates), requirements or PlacementRequirements(4), Random(1)
    )
    return chosen.chosen


def test_own_sends_correct_a_load_report_that_lags() -> None:
    assert place("power", make_host("a", make_load(10)), make_host("b", make_load(12))) == "a"
    assert (
        place("power", make_host("a", make_load(10), sent=5), make_host("b", make_load(12))) == "b"
    )


def test_hosts_that_leave_failed_or_lack_kv_blocks_are_not_chosen() -> None:
    requirements = PlacementRequirements(4, frozenset([HostId("tried")]))
    chosen = PLACEMENTS.find("power")(
        make_pool(
            make_host("leaves", make_load(0), leaving=True),
            make_host("tried", make_load(0)),
            make_host("c", make_load(19)),
        ),
        requirements,
        Random(1),
    )
    assert chosen.chosen == "c"
    reasons = {each.host: each.reason for each in chosen.rejected}
    assert reasons == {"leaves": RejectionReason.LEAVING, "tried": RejectionReason.TRIED}
    assert (
        place(
            "power",
            make_host("full", make_load(0, free_kv_blocks=1)),
            make_host("b", make_load(20, 3.0)),
        )
        == "b"
    )


def test_no_host_is_chosen_when_all_are_excluded() -> None:
    for name in PLACEMENTS.names():
        assert place(name) is None
        assert place(name, make_host("a", make_load(0), leaving=True)) is None


def test_pool_keeps_its_indexes_right_when_hosts_come_and_go() -> None:
    pool = make_pool(make_host("a"), make_host("b"), make_host("c"))
    pool.remove(HostId("a"))
    pool.remove(HostId("a"))
    pool.add(HostId("b"), TALCA)
    assert {each.host for each in pool} == {"b", "c"}
    for name in ("b", "c"):
        index = pool.find(HostId(name))
        assert index is not None
        assert pool[index].host == name


def test_new_load_report_replaces_the_sends_that_it_includes() -> None:
    sends, first, second = RecentSends(), make_load(1), make_load(2)
    name = HostId("a")
    assert sends.find_unreported(name, first, at(0)) == (0, 0.0)
    sends.note(name, 2.0, at(0.1))
    sends.note(name, 1.0, at(0.499))
    assert sends.find_unreported(name, first, at(0.5)) == (2, 3.0)
    assert sends.find_unreported(name, second, at(0.5)) == (1, 1.0)
    assert sends.find_unreported(name, second, at(9)) == (0, 0.0)


def make_prefill_requirements(
    tokens: int, cached: dict[HostId, float], budget: LinkBudget | None = None
) -> PrefillRequirements:
    links = budget or LinkBudget({})

    def look_at_link(candidate: Candidate) -> tuple[timedelta, timedelta]:
        direction = (candidate.data_centre, TALCA)
        return links.estimate_wait(direction, at(0)), links.estimate_duration(
            direction, tokens, at(0)
        )

    return PrefillRequirements(
        tokens, cached, lambda all_, spared: (all_ - spared) * 5e-5, look_at_link
    )


def test_cached_prefix_is_weighed_against_the_queue() -> None:
    choose = PREFILL_PLACEMENTS.find("affinity")
    requirements = make_prefill_requirements(8000, {HostId("a"): 8000.0})
    hosts = make_pool(make_host("a", make_load(1, 0.2)), make_host("b", make_load(0)))
    assert choose(hosts, requirements, Random(1)).chosen == "a"
    hosts = make_pool(make_host("a", make_load(1, 0.6)), make_host("b", make_load(0)))
    assert choose(hosts, requirements, Random(1)).chosen == "b"


def test_prefill_avoids_a_busy_link() -> None:
    budget = LinkBudget({(CHILLAN, TALCA): 1e9})
    far = Candidate(HostId("far"), CHILLAN, make_load(0))
    near = Candidate(HostId("near"), TALCA, make_load(0, 0.4))
    choose = PREFILL_PLACEMENTS.find("affinity")
    assert (
        choose(make_pool(far, near), make_prefill_requirements(1000, {}, budget), Random(1)).chosen
        == "far"
    )
    for _ in range(4):
        budget.reserve((CHILLAN, TALCA), 1000, at(0))
    choice = choose(make_pool(far, near), make_prefill_requirements(1000, {}, budget), Random(1))
    assert choice.chosen == "near"
    assert [each.reason for each in choice.rejected] == [RejectionReason.LINK_BUSY]


def test_slowness_of_a_link_is_learned_and_decays() -> None:
    budget, direction = LinkBudget({}), (CHILLAN, TALCA)
    nominal = budget.estimate_duration(direction, 1000, at(0))
    for _ in range(10):
        budget.learn(direction, 1000, None, at(1))
    assert budget.estimate_duration(direction, 1000, at(1)) > 50 * nominal
    assert budget.estimate_duration(direction, 1000, at(60)) < 2 * nominal
    for _ in range(20):
        budget.learn(direction, 1000, timedelta(seconds=0.05), at(1))
    assert budget.estimate_duration(direction, 1000, at(1)) < 1.5 * nominal


BLOCKS = ["b1", "b2", "b3"]


def test_prefix_index_is_corrected_by_finished_prefills() -> None:
    index, name = PrefixIndex(), HostId("a")
    index.store(name, BLOCKS, at(0))
    assert index.estimate_cached(BLOCKS, at(1)) == {name: 3000.0}
    for _ in range(20):
        index.learn(name, BLOCKS, 0, at(1))
    assert index.estimate_cached(BLOCKS, at(1))[name] < 100
    for _ in range(20):
        index.learn(name, BLOCKS, 3000, at(1))
    assert index.estimate_cached(BLOCKS, at(1))[name] > 2900


def test_evicted_and_old_blocks_do_not_match() -> None:
    index, name = PrefixIndex(), HostId("a")
    index.store(name, BLOCKS, at(0))
    index.evict(name, ["b2", "never"])
    assert index.match(BLOCKS, at(1)) == {name: 1}
    assert index.match(BLOCKS, at(1200)) == {}
    index.forget(name)
    assert len(index) == 0


def test_prefix_index_is_bounded() -> None:
    index = PrefixIndex(maximum=10)
    for number in range(50):
        index.store(HostId("a"), [f"x{number}"], at(number))
    assert len(index) == 10


def measure_spread(policy: str, seed: int) -> float:
    """Return the mean square of the sends to a host by ten entries that see the same loads."""
    random, counts = Random(seed), Counter[HostId]()
    for _ in range(10):
        sends = RecentSends()
        for _ in range(6):
            hosts = [
                make_host(
                    f"h{n}",
                    make_load(10),
                    sent=sends.find_unreported(HostId(f"h{n}"), None, at(0))[0],
                )
                for n in range(20)
            ]
            chosen = PLACEMENTS.find(policy)(
                make_pool(*hosts), PlacementRequirements(1), random
            ).chosen
            assert chosen is not None
            sends.note(chosen, 1.0, at(0))
            counts[chosen] += 1
    return sum(count * count for count in counts.values()) / 20


def test_placement_by_power_spreads_the_sends_of_entries_that_see_equal_loads() -> None:
    spread = {
        policy: sum(measure_spread(policy, seed) for seed in range(10)) / 10
        for policy in ("power", "random")
    }
    assert spread["power"] < spread["random"]
