from __future__ import annotations

from typing import Any

from hosts import Hosts, make_document
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lavenderrun.types import DocumentConflict, Submitted

ENTRIES, AGENTS = 3, 3
WITHDRAWAL_SECONDS = 5.0  # after this time, no host may admit a withdrawn key

entry = st.sampled_from([f"e{n}" for n in range(ENTRIES)])
agent = st.sampled_from([f"d{n}" for n in range(AGENTS)])
STEPS = st.one_of(
    st.tuples(st.just("store"), entry, st.booleans()),
    st.tuples(st.just("partition"), entry, agent),
    st.tuples(st.just("heal"), entry, agent),
    st.tuples(st.just("isolate"), entry, st.none() | agent),
    st.tuples(st.just("isolate"), entry, st.none() | agent),
    st.tuples(st.just("heal_all"), st.none(), st.none()),
    st.tuples(st.just("submit"), entry, st.none()),
    st.tuples(st.just("lose_reply"), entry, st.none()),
    st.tuples(st.just("restart"), entry | agent, st.none()),
    st.tuples(st.just("submit"), entry, st.none()),
    st.tuples(st.just("run"), st.floats(0.1, 6), st.none()),
)


class Schedule:
    """Runs faults and submissions; each document has one new key and withdraws all before it."""

    def __init__(self) -> None:
        self.hosts = Hosts(ENTRIES, AGENTS, document=make_document("k0"))
        self.keys = ["k0"]
        self.withdrawn: dict[str, float] = {}
        self.accepted = 1
        self.in_force: dict[str, int] = {}
        self.expect = 1

    def play(self, step: tuple[str, Any, Any]) -> None:
        getattr(self, step[0])(*step[1:])
        for _ in range(4):
            self.run(0.25, None)

    def store(self, name: str, down: bool) -> None:
        self.hosts[name].faults.down = down

    def partition(self, name: str, other: str) -> None:
        self.hosts.network.partition(name, other)

    def isolate(self, name: str, reachable_agent: str | None) -> None:
        """Leave an entry with no store and at most one agent, which no other entry reaches."""
        self.store(name, down=True)
        for other in self.hosts.agents:
            if other == reachable_agent:
                for entry in self.hosts.entries:
                    (self.heal if entry == name else self.partition)(entry, other)
            else:
                self.partition(name, other)

    def heal(self, name: str, other: str) -> None:
        self.hosts.network.heal(name, other)

    def lose_reply(self, name: str, _: None) -> None:
        self.hosts[name].faults.lost_replies = 1

    def restart(self, name: str, _: None) -> None:
        faults = self.hosts[name].faults
        self.hosts.stop(name)
        self.hosts.start(name).faults.down = faults.down

    def submit(self, name: str, _: None) -> None:
        key = f"k{len(self.keys)}"
        answer = self.hosts[name].document.submit(make_document(key), "op", self.expect)  # type: ignore[arg-type]
        answer.addCallbacks(self.note_result, lambda _: None, callbackArgs=(key,))
        self.keys.append(key)

    def note_result(self, result: Any, key: str) -> None:
        if isinstance(result, DocumentConflict):
            self.expect = result.current
        elif isinstance(result, Submitted):
            self.expect = max(self.expect, result.version)
            if result.confirmed:
                self.accepted = max(self.accepted, result.version)
                now = self.hosts.reactor.seconds()
                for other in self.keys[: self.keys.index(key)]:
                    self.withdrawn.setdefault(other, now)

    def run(self, seconds: float, _: None) -> None:
        self.hosts.run(seconds)
        self.check()

    def check(self) -> None:
        now = self.hosts.reactor.seconds()
        for name, host in self.hosts.hosts.items():
            assert host.versions == sorted(host.versions)
            version = host.document.version
            if version:
                before = min(self.in_force.get(name, 0), self.accepted)
                assert version >= before, "version went back"
                self.in_force[name] = version
            for key, at in self.withdrawn.items():
                if now > at + WITHDRAWAL_SECONDS:
                    assert host.admission_result(key) != "admitted", f"{name} admits {key}"

    def heal_all(self, _: None = None, __: None = None) -> None:
        self.hosts.set_store_down(False)
        for name in self.hosts.entries:
            for other in self.hosts.agents:
                self.heal(name, other)


@given(steps=st.lists(STEPS, max_size=25))
@settings(max_examples=30, deadline=None, suppress_health_check=list(HealthCheck))
def test_keys_and_versions_hold_through_any_schedule(steps: list[tuple[str, Any, Any]]) -> None:
    schedule = Schedule()
    for step in steps:
        schedule.play(step)
    schedule.heal_all()
    schedule.run(20, None)
    versions = schedule.hosts.versions()
    assert len(versions) == 1
    assert versions.pop() >= schedule.accepted
    assert schedule.hosts["e0"].admission_result("nobody") == "UNKNOWN_KEY"
