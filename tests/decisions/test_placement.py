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

ZERO = datetime(2026, 1, 1, tzinfo=UTC)
TALCA, CHILLAN = DataCentre("talca"), DataCentre("chillan")


def at(seconds: float) -> datetime:
    return ZERO + timedelta(seconds=seconds)


def load(taken: int, backlog: float = 0.0, pieces: int = 600) -> LoadReport:
    return LoadReport(20, taken, 0, timedelta(seconds=backlog), pieces)


def pool(*candidates: Candidate) -> CandidatePool:
    known = {candidate.host: candidate for candidate in candidates}
    made = CandidatePool(lambda host, centre: known[host])
    for candidate in candidates:
        made.add(candidate.host, candidate.data_centre)
    return made


def host(name: str, report: LoadReport | None = None, **more: object) -> Candidate:
    return Candidate(HostId(name), TALCA, report, **more)  # type: ignore[arg-type]


def place(
    name: str, *candidates: Candidate, need: PlacementRequirements | None = None
) -> HostId | None:
    chosen = PLACEMENTS.find(name)(pool(*candidates), need or PlacementRequirements(4), Random(1))
    return chosen.chosen


def test_own_sends_correct_a_load_that_lags() -> None:
    assert place("power", host("a", load(10)), host("b", load(12))) == "a"
    assert place("power", host("a", load(10), sent=5), host("b", load(12))) == "b"


def test_hosts_that_leave_failed_or_lack_pieces_are_passed_over() -> None:
    need = PlacementRequirements(4, frozenset([HostId("tried")]))
    chosen = PLACEMENTS.find("power")(
        pool(host("leaves", load(0), leaving=True), host("tried", load(0)), host("c", load(19))),
        need,
        Random(1),
    )
    assert chosen.chosen == "c"
    reasons = {each.host: each.reason for each in chosen.rejected}
    assert reasons == {"leaves": RejectionReason.LEAVING, "tried": RejectionReason.TRIED}
    assert place("power", host("full", load(0, pieces=1)), host("b", load(20, 3.0))) == "b"


def test_no_host_is_chosen_when_none_may_be() -> None:
    for name in PLACEMENTS.names():
        assert place(name) is None
        assert place(name, host("a", load(0), leaving=True)) is None


def test_a_pool_keeps_its_places_when_hosts_come_and_go() -> None:
    made = pool(host("a"), host("b"), host("c"))
    made.remove(HostId("a"))
    made.remove(HostId("a"))
    made.add(HostId("b"), TALCA)
    assert {each.host for each in made} == {"b", "c"}
    for name in ("b", "c"):
        index = made.find(HostId(name))
        assert index is not None
        assert made[index].host == name


def test_a_new_report_ends_the_correction_by_what_it_knows() -> None:
    sends, first, second = RecentSends(), load(1), load(2)
    name = HostId("a")
    assert sends.find_unreported(name, first, at(0)) == (0, 0.0)
    sends.note(name, 2.0, at(0.1))
    sends.note(name, 1.0, at(0.499))
    assert sends.find_unreported(name, first, at(0.5)) == (2, 3.0)
    assert sends.find_unreported(name, second, at(0.5)) == (1, 1.0)
    assert sends.find_unreported(name, second, at(9)) == (0, 0.0)


def need_prefill(
    tokens: int, cached: dict[HostId, float], budget: LinkBudget | None = None
) -> PrefillRequirements:
    links = budget or LinkBudget({})

    def look(candidate: Candidate) -> tuple[timedelta, timedelta]:
        direction = (candidate.data_centre, TALCA)
        return links.estimate_wait(direction, at(0)), links.estimate_duration(
            direction, tokens, at(0)
        )

    return PrefillRequirements(tokens, cached, lambda all_, spared: (all_ - spared) * 5e-5, look)


def test_a_cached_prefix_is_weighed_against_the_queue() -> None:
    choose = PREFILL_PLACEMENTS.find("affinity")
    need = need_prefill(8000, {HostId("a"): 8000.0})
    hosts = pool(host("a", load(1, 0.2)), host("b", load(0)))
    assert choose(hosts, need, Random(1)).chosen == "a"
    hosts = pool(host("a", load(1, 0.6)), host("b", load(0)))
    assert choose(hosts, need, Random(1)).chosen == "b"


def test_a_used_up_link_sends_the_prefill_elsewhere() -> None:
    budget = LinkBudget({(CHILLAN, TALCA): 1e9})
    far = Candidate(HostId("far"), CHILLAN, load(0))
    near = Candidate(HostId("near"), TALCA, load(0, 0.4))
    choose = PREFILL_PLACEMENTS.find("affinity")
    assert choose(pool(far, near), need_prefill(1000, {}, budget), Random(1)).chosen == "far"
    for _ in range(4):
        budget.reserve((CHILLAN, TALCA), 1000, at(0))
    choice = choose(pool(far, near), need_prefill(1000, {}, budget), Random(1))
    assert choice.chosen == "near"
    assert [each.reason for each in choice.rejected] == [RejectionReason.LINK_BUSY]


def test_a_slow_link_is_learned_and_tried_again_later() -> None:
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


def test_the_prefix_index_heals_by_the_truth() -> None:
    index, name = PrefixIndex(), HostId("a")
    index.store(name, BLOCKS, at(0))
    assert index.estimate_cached(BLOCKS, at(1)) == {name: 3000.0}
    for _ in range(20):
        index.learn(name, BLOCKS, 0, at(1))
    assert index.estimate_cached(BLOCKS, at(1))[name] < 100
    for _ in range(20):
        index.learn(name, BLOCKS, 3000, at(1))
    assert index.estimate_cached(BLOCKS, at(1))[name] > 2900


def test_gaps_and_age_end_a_belief() -> None:
    index, name = PrefixIndex(), HostId("a")
    index.store(name, BLOCKS, at(0))
    index.evict(name, ["b2", "never"])
    assert index.match(BLOCKS, at(1)) == {name: 1}
    assert index.match(BLOCKS, at(1200)) == {}
    index.forget(name)
    assert len(index) == 0


def test_the_prefix_index_is_bounded() -> None:
    index = PrefixIndex(maximum=10)
    for number in range(50):
        index.store(HostId("a"), [f"x{number}"], at(number))
    assert len(index) == 10


def measure_spread(policy: str, seed: int) -> float:
    """Return the mean square of the sends a host gets from entries that see the same loads."""
    random, counts = Random(seed), Counter[HostId]()
    for _ in range(10):
        sends = RecentSends()
        for _ in range(6):
            hosts = [
                host(f"h{n}", load(10), sent=sends.find_unreported(HostId(f"h{n}"), None, at(0))[0])
                for n in range(20)
            ]
            chosen = PLACEMENTS.find(policy)(pool(*hosts), PlacementRequirements(1), random).chosen
            assert chosen is not None
            sends.note(chosen, 1.0, at(0))
            counts[chosen] += 1
    return sum(count * count for count in counts.values()) / 20


def test_power_spreads_the_work_of_entries_that_see_old_loads() -> None:
    spread = {
        policy: sum(measure_spread(policy, seed) for seed in range(10)) / 10
        for policy in ("power", "random")
    }
    assert spread["power"] < spread["random"]
