from __future__ import annotations

import random
from datetime import timedelta

from hosts import Hosts, make_document, result_of

from lavenderrun.types import (
    DocumentConflict,
    DocumentInForce,
    DocumentVersion,
    StepError,
    Submitted,
)

FIRST = make_document("k1", "k2")
SECOND = make_document("k1")


def test_an_accepted_version_is_in_force_everywhere_and_a_withdrawn_key_is_refused() -> None:
    hosts = Hosts(document=FIRST)
    assert hosts.versions() == {1}
    assert {hosts[e].admission_result("k2") for e in hosts.entries} == {"admitted"}
    accepted = hosts.submit("e1", SECOND, 1, seconds=1)
    assert isinstance(accepted, Submitted)
    assert accepted.confirmed
    assert hosts.versions() == {2}
    assert {hosts[e].admission_result("k2") for e in hosts.entries} == {"UNKNOWN_KEY"}
    assert {hosts[e].admission_result("k1") for e in hosts.entries} == {"admitted"}


def test_of_two_concurrent_submissions_one_gets_a_conflict_with_author_and_changes() -> None:
    hosts = Hosts(document=FIRST)
    one = hosts["e0"].document.submit(SECOND, "ana", DocumentVersion(1))
    other = hosts["e1"].document.submit(
        FIRST.model_copy(update={"retry_share": 0.3}), "eva", DocumentVersion(1)
    )
    hosts.run(1)
    results = [result_of(one), result_of(other)]
    conflict = next(r for r in results if isinstance(r, DocumentConflict))
    assert sum(isinstance(r, Submitted) for r in results) == 1
    assert [(r.version, r.author) for r in conflict.since] == [(2, "ana")]
    assert conflict.theirs is not None
    assert [change.path for change in conflict.theirs] == ["accounts.a.keys"]
    assert [change.path for change in conflict.yours] == ["accounts.a.keys", "retry_share"]
    assert hosts.versions() == {2}


def test_a_submission_with_a_lost_reply_is_accepted_once() -> None:
    hosts = Hosts(document=FIRST)
    hosts["e0"].faults.lost_replies = 1
    accepted = hosts.submit("e0", SECOND, 1, seconds=6)
    assert isinstance(accepted, Submitted)
    assert accepted.version == 2
    hosts.run(5)
    assert hosts.versions() == {2}


def test_a_submission_with_a_lost_reply_is_accepted_after_another_operator_wrote() -> None:
    hosts = Hosts(document=FIRST)
    hosts["e0"].faults.lost_replies = 1
    first = hosts["e0"].document.submit(SECOND, "ana", DocumentVersion(1))
    hosts.run(0.5)
    assert isinstance(hosts.submit("e1", FIRST, 2, seconds=0.2), Submitted | None)
    hosts.run(6)
    accepted = result_of(first)
    assert isinstance(accepted, Submitted)
    assert accepted.version == 2
    assert hosts.versions() == {3}


def test_a_store_that_is_down_leaves_the_outcome_unknown_and_nothing_in_force() -> None:
    hosts = Hosts(document=FIRST)
    hosts.set_store_down()
    failure = hosts.submit("e0", SECOND, 1, seconds=20)
    assert isinstance(failure.value, StepError)
    assert hosts.versions() == {1}


def test_a_write_whose_host_is_cut_off_before_the_reply_comes_into_force_elsewhere() -> None:
    hosts = Hosts(document=FIRST)
    hosts["e0"].faults.lost_replies = 1
    pending = hosts["e0"].document.submit(SECOND, "ana", DocumentVersion(1))
    hosts.run(0.1)
    hosts.cut_off("e0")
    hosts.run(5)
    assert result_of(pending) is None
    assert {hosts[name].document.version for name in ("e1", "e2", "d0")} == {2}


def test_keyed_routes_stop_in_an_outage_that_begins_before_any_agent_may_vote() -> None:
    hosts = Hosts(document=FIRST, entries=2)
    for name in hosts.agents:
        hosts.stop(name)
        hosts.start(name)
    hosts.run(1)
    hosts.set_store_down()
    hosts.run(10)
    assert {hosts[e].admission_result("k1") for e in hosts.entries} == {"NOT_READY"}
    hosts.set_store_down(False)
    hosts.run(10)
    assert {hosts[e].admission_result("k1") for e in hosts.entries} == {"admitted"}


def test_keyed_routes_stay_available_in_a_long_store_outage() -> None:
    hosts = Hosts(document=FIRST)
    # agents vote once they hold a proof dated at least 3 s after their boot
    hosts.run(5)
    hosts.set_store_down()
    hosts.run(60)
    for _ in range(200):
        hosts.run(0.1)
        assert {hosts[e].admission_result("k1") for e in hosts.entries} == {"admitted"}


def test_a_fleet_whose_leases_all_expired_recovers_while_the_store_is_down() -> None:
    hosts = Hosts(document=FIRST)
    hosts.run(5)
    hosts.set_store_down()
    pairs = [(e, d) for e in hosts.entries for d in hosts.agents]
    for pair in pairs:
        hosts.network.partition(*pair)
    hosts.run(6)
    assert {hosts[e].admission_result("k1") for e in hosts.entries} == {"NOT_READY"}
    for pair in pairs:
        hosts.network.heal(*pair)
    hosts.run(6)
    assert {hosts[e].admission_result("k1") for e in hosts.entries} == {"admitted"}


def test_a_host_that_reaches_only_peers_learns_of_a_withdrawn_key() -> None:
    hosts = Hosts(document=FIRST)
    hosts["e2"].faults.down = True
    hosts.run(30)
    assert hosts["e2"].admission_result("k2") == "admitted"
    hosts.submit("e0", SECOND, 1, seconds=1)
    assert hosts["e2"].admission_result("k2") == "UNKNOWN_KEY"


def test_a_host_that_reaches_neither_store_nor_peers_refuses_keyed_routes_within_5_s() -> None:
    hosts = Hosts(document=FIRST)
    hosts.cut_off("e2")
    hosts.submit("e0", SECOND, 1, seconds=0.5)
    assert hosts["e2"].document.version == 1
    hosts.run(4.5)
    assert hosts["e2"].admission_result("k2") == "NOT_READY"
    assert hosts["e2"].admission_result("k1") == "NOT_READY"
    assert {hosts[e].admission_result("k1") for e in ("e0", "e1")} == {"admitted"}
    hosts["e2"].faults.down = False
    hosts.run(10)
    assert hosts["e2"].admission_result("k2") == "UNKNOWN_KEY"
    assert hosts["e2"].admission_result("k1") == "admitted"


def test_two_hosts_cut_off_together_do_not_renew_each_other() -> None:
    hosts = Hosts(document=FIRST)
    hosts["e2"].faults.down = True
    for agent in ("d1", "d2"):
        hosts.network.partition("e2", agent)
    for entry in ("e0", "e1"):
        hosts.network.partition(entry, "d0")
    hosts.run(5)
    assert hosts["e2"].document.age is not None
    assert hosts["e2"].admission_result("k1") == "NOT_READY"
    assert hosts["e0"].admission_result("k1") == "admitted"


def test_a_restarted_host_waits_while_it_reaches_only_a_host_with_an_old_version() -> None:
    hosts = Hosts(document=FIRST)
    # the agent d0 keeps version 1 while the others get version 2
    for entry in hosts.entries:
        hosts.network.partition(entry, "d0")
    hosts.run(3)
    hosts.submit("e0", SECOND, 1, seconds=1)
    assert hosts["e2"].document.version == 2
    hosts.run(5)
    hosts.stop("e2")
    host = hosts.start("e2")
    host.faults.down = True
    for agent in ("d1", "d2"):
        hosts.network.partition("e2", agent)
    hosts.network.heal("e2", "d0")
    hosts.run(8)
    assert host.links.list_live()
    assert host.document.version == 0
    assert host.admission_result("k2") == "NOT_READY"
    host.faults.down = False
    hosts.run(10)
    assert host.document.version == 2
    assert host.versions == [2]


def test_a_restarted_host_gets_the_version_of_a_fresh_peer_without_the_store() -> None:
    hosts = Hosts(document=FIRST)
    hosts.run(5)
    hosts.stop("e2")
    host = hosts.start("e2")
    host.faults.down = True
    hosts.run(6)
    assert host.document.version == 1
    assert host.admission_result("k1") == "admitted"


def test_keyed_routes_stop_when_all_hosts_restart_while_the_store_is_down() -> None:
    hosts = Hosts(document=FIRST)
    for name in [*hosts.agents, *hosts.entries]:
        hosts.stop(name)
    for name in [*hosts.agents, *hosts.entries]:
        hosts.start(name).faults.down = True
    hosts.run(20)
    assert hosts["e0"].admission_result("k1") == "NOT_READY"
    hosts.set_store_down(False)
    hosts.run(10)
    assert hosts["e0"].admission_result("k1") == "admitted"


def test_a_late_reply_of_the_store_does_not_revert_the_version() -> None:
    hosts = Hosts(document=FIRST)
    hosts["e2"].faults.latency = timedelta(seconds=3)
    hosts.run(3)
    hosts.submit("e0", SECOND, 1, seconds=20)
    for host in hosts.hosts.values():
        assert host.versions == sorted(host.versions)
    assert hosts.versions() == {2}


def test_versions_never_go_back_through_random_faults() -> None:
    hosts = Hosts(entries=3, agents=5, document=make_document("k0", agents=5))
    random_source = random.Random(7)
    expect = 1
    for step in range(40):
        name = random_source.choice(hosts.entries)
        hosts[name].faults.down = random_source.random() < 0.3
        hosts[name].faults.lost_replies = random_source.choice([0, 0, 1])
        if random_source.random() < 0.2:
            hosts.stop(name)
            hosts.start(name)
        writer = random_source.choice(hosts.entries)
        result = hosts.submit(writer, make_document(f"k{step}", agents=5), expect, seconds=2)
        if isinstance(result, Submitted):
            expect = result.version
        elif isinstance(result, DocumentConflict):
            expect = result.current
        for host in hosts.hosts.values():
            assert host.versions == sorted(host.versions)
    hosts.set_store_down(False)
    hosts.run(15)
    assert len(hosts.versions()) == 1
    seen: dict[str, int] = {}
    for event in hosts.record.events:
        assert isinstance(event.data, DocumentInForce)
        assert event.data.version >= seen.get(event.host, 0), (
            "version went back, also across a restart"
        )
        seen[event.host] = event.data.version


def count_reads(agents: int) -> int:
    hosts = Hosts(entries=10, agents=agents, document=make_document("k1", agents=agents))
    before = hosts.core.reads
    hosts.run(20)
    assert {hosts[e].admission_result("k1") for e in hosts.entries} == {"admitted"}
    return hosts.core.reads - before


def test_reads_of_the_store_are_shared_by_the_hosts() -> None:
    # without agents the entries have no links, so each reads the store itself
    assert count_reads(agents=3) < 0.9 * count_reads(agents=0)
