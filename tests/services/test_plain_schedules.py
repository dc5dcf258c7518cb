"""Random schedules of failures on the path of plain calls; invariants are checked at the end."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st
from plain_fleet import PlainFleet, RecordedReply

from lavenderrun.types import Outcome, Refused

ENTRIES = st.sampled_from(["e1", "e2"])
AGENTS = st.sampled_from(["a1", "a2"])
FAULTS = st.sampled_from(["die_before", "die_after", "die_midway", "refuse"])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("confirm"), ENTRIES, st.sampled_from(["k1", "k2", "k3"])),
        st.tuples(st.just("status"), ENTRIES),
        st.tuples(st.just("unkeyed"), ENTRIES),
        st.tuples(st.just("run"), st.sampled_from([0.001, 0.002, 0.003, 0.02, 0.3, 3.0])),
        st.tuples(st.just("leave"), st.integers(0, 9)),
        st.tuples(st.just("silence"), ENTRIES, AGENTS),
        st.tuples(st.just("restart"), AGENTS, st.booleans()),
        st.tuples(st.just("die"), st.booleans()),
        st.tuples(st.just("fault"), AGENTS, FAULTS),
        st.tuples(st.just("store"), ENTRIES, st.booleans()),
        st.tuples(st.just("lose"), ENTRIES),
    ),
    max_size=30,
)


class Schedule:
    """Runs the steps on one fleet and records what callers saw."""

    def __init__(self, late: float) -> None:
        self.fleet = PlainFleet(max_running=1, patience=timedelta(seconds=4))
        for faults in self.fleet.faults.values():
            faults.reply_delay = timedelta(seconds=late)
        self.submitted: list[tuple[str, str, Any, RecordedReply]] = []
        self.left: set[int] = set()
        self.dead: set[str] = set()

    def confirm(self, entry: str, key: str) -> None:
        self._submit(entry, "POST", f"/orders/{key}/confirm", key)

    def unkeyed(self, entry: str) -> None:
        self._submit(entry, "POST", f"/orders/u{len(self.submitted)}/confirm", None)

    def status(self, entry: str) -> None:
        self._submit(entry, "GET", "/orders/7", None)

    def run(self, seconds: float) -> None:
        self.fleet.run(seconds, step=0.001 if seconds < 0.1 else 0.01)

    def leave(self, number: int) -> None:
        if number < len(self.submitted):
            self.left.add(number)
            self.submitted[number][2].cancel()

    def silence(self, entry: str, agent: str) -> None:
        self.fleet.drop_traffic(entry, agent)

    def restart(self, agent: str, silent: bool) -> None:
        self.fleet.kill(agent, silent=silent)
        self.fleet.start_agent(agent)

    def die(self, silent: bool) -> None:
        if not self.dead:
            self.dead.add("e1")
            self.fleet.kill("e1", silent=silent)

    def fault(self, agent: str, name: str) -> None:
        setattr(self.fleet.faults[agent], name, 1)

    def store(self, entry: str, down: bool) -> None:
        if entry not in self.dead:
            self.fleet.table_faults[entry].down = down

    def lose(self, entry: str) -> None:
        self.fleet.table_faults[entry].lost_replies = 1

    def _submit(self, entry: str, method: str, path: str, key: str | None) -> None:
        if entry in self.dead:
            entry = "e2"
        handle, reply = self.fleet.submit(method, path, key=key, entry=entry)
        self.submitted.append((entry, path, handle, reply))

    def check(self) -> None:
        self.fleet.run(40, step=0.02)
        runs: Counter[str] = Counter()
        for path, count in self.fleet.core.calls.items():
            if path.startswith("POST"):
                runs[path.removeprefix("POST ")] += count
        assert all(count <= 1 for count in runs.values()), runs
        for number, (entry, path, _, reply) in enumerate(self.submitted):
            if entry in self.dead:
                continue
            assert len(reply.ends) == (0 if number in self.left and not reply.ends else 1)
            for end in reply.ends:
                request: Any = f"r{number + 1}"
                if isinstance(end, Refused) and end.outcome is Outcome.NOT_RUN:
                    assert self.fleet.core.runs[request] == 0, (number, end)
                elif end is None and "confirm" in path:
                    assert runs[path] == 1
        agents: list[Any] = [
            self.fleet.hosts[host].find("plain_agent", object) for host in self.fleet.addresses
        ]
        assert all(not agent.count_jobs() and not agent._body_bytes for agent in agents)
        assert all(
            not self.fleet.routers[e].count_jobs() for e in ("e1", "e2") if e not in self.dead
        )


@settings(max_examples=150)
@given(STEPS, st.sampled_from([0.0, 0.01, 0.5]))
@example([("confirm", "e1", "k1"), ("run", 0.003), ("die", True), ("confirm", "e2", "k1")], 0.5)
def test_no_schedule_of_failures_breaks_an_invariant(steps: list[Any], late: float) -> None:
    schedule = Schedule(late)
    for name, *arguments in steps:
        getattr(schedule, name)(*arguments)
    schedule.check()
