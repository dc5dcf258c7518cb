from __future__ import annotations

from typing import Any

from hosts import Hosts, make_document
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lavenderrun.types import DocumentConflict, Submitted

ENTRIES, AGENTS = 3, 3
GRACE = 5.0  # seconds after which a withdrawn key works nowhere

entry = st.sampled_from([f"e{n}" for n in range(ENTRIES)])
agent = st.sampled_from([f"d{n}" for n in range(AGENTS)])
STEPS = st.one_of(
    st.tuples(st.just("store"), entry, st.booleans()),
    st.tuples(st.just("cut"), entry, agent),
    st.tuples(st.just("mend"), entry, agent),
    st.tuples(st.just("isolate"), entry, st.none() | agent),
    st.tuples(st.just("isolate"), entry, st.none() | agent),
    st.tuples(st.just("mend_all"), st.none(), st.none()),
    st.tuples(st.just("submit"), entry, st.none()),
    st.tuples(st.just("lose_reply"), entry, st.none()),
    st.tuples(st.just("restart"), entry | agent, st.none()),
    st.tuples(st.just("submit"), entry, st.none()),
    st.tuples(st.just("run"), st.floats(0.1, 6), st.none()),
)


class Schedule:
    """Keys ``k0``, ``k1``.. of which each submission withdraws the one before."""

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

    def cut(self, name: str, other: str) -> None:
        self.hosts.network.partition(name, other)

    def isolate(self, name: str, friend: str | None) -> None:
        """Leave an entry with one agent, which no other entry reaches, or with none."""
        self.store(name, down=True)
        for other in self.hosts.agents:
            if other == friend:
                for entry in self.hosts.entries:
                    (self.mend if entry == name else self.cut)(entry, other)
            else:
                self.cut(name, other)

    def mend(self, name: str, other: str) -> None:
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
        answer.addCallbacks(self.take, lambda _: None, callbackArgs=(key,))
        self.keys.append(key)

    def take(self, result: Any, key: str) -> None:
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
                assert version >= before, "reverted"
                self.in_force[name] = version
            for key, at in self.withdrawn.items():
                if now > at + GRACE:
                    assert host.admits(key) != "admitted", f"{name} admits {key}"

    def mend_all(self, _: None = None, __: None = None) -> None:
        self.hosts.store_down(False)
        for name in self.hosts.entries:
            for other in self.hosts.agents:
                self.mend(name, other)


@given(steps=st.lists(STEPS, max_size=25))
@settings(max_examples=30, deadline=None, suppress_health_check=list(HealthCheck))
def test_keys_and_versions_hold_through_any_schedule(steps: list[tuple[str, Any, Any]]) -> None:
    schedule = Schedule()
    for step in steps:
        schedule.play(step)
    schedule.mend_all()
    schedule.run(20, None)
    versions = schedule.hosts.versions()
    assert len(versions) == 1
    assert versions.pop() >= schedule.accepted
    assert schedule.hosts["e0"].admits("nobody") == "UNKNOWN_KEY"
