from __future__ import annotations

import math
from datetime import UTC, datetime, timedelta
from typing import Any

import pytest
from twisted.internet.task import Clock as FakeReactor

from lavenderrun.kernel import ReactorClock
from lavenderrun.services import LinksService, WakesService
from lavenderrun.standins import MemoryNetwork
from lavenderrun.types import (
    AttemptId,
    BootId,
    Cancel,
    DataCentre,
    DocumentStateRequest,
    Hello,
    HostId,
    HostRole,
    Link,
    RequestId,
)

CANCEL = Cancel(RequestId("r1"), AttemptId(1))


class LinkedPair:
    def __init__(self) -> None:
        self.reactor = FakeReactor()
        self.clock = ReactorClock(self.reactor, datetime(2026, 1, 1, tzinfo=UTC), zero=0.0)
        self.network = MemoryNetwork(self.clock, timedelta(milliseconds=1))
        self.entry = self.make("entry-1", HostRole.ENTRY)
        self.agent = self.make("agent-1", HostRole.AGENT)
        self.received: list[Any] = []
        self.downs: dict[str, float] = {}
        self.agent.subscribe(Cancel, lambda link, message: self.received.append(message))
        for links in (self.entry, self.agent):
            links.watch(lambda link: None, self.note_down)
            links.start()
        self.entry.set_peers(["agent-1"])
        self.run(0.1)

    def make(self, host: str, role: HostRole, boot: str = "b1") -> LinksService:
        hello = Hello(HostId(host), BootId(boot), role, DataCentre("talca"), address=host)
        wakes = WakesService(self.clock)
        wakes.start()
        return LinksService(self.clock, hello, self.network.transport(host), wakes)

    def note_down(self, link: Any) -> None:
        self.downs[link.peer.host] = self.reactor.seconds()

    def link_to_agent(self) -> Link:
        link = self.entry.find(HostId("agent-1"))
        assert link is not None
        return link

    def silence(self) -> None:
        for pipe in self.network.pipes:
            pipe.silent = True

    def run(self, seconds: float, step: float = 0.01) -> None:
        self.reactor.pump([step] * round(seconds / step))


def test_messages_reach_subscribers_in_order() -> None:
    pair = LinkedPair()
    for attempt in range(3):
        pair.link_to_agent().send(Cancel(RequestId("r1"), AttemptId(attempt)))
    pair.run(0.1)
    assert [m.attempt for m in pair.received] == [0, 1, 2]


def test_silent_link_is_detected_within_two_seconds_and_redialled() -> None:
    pair = LinkedPair()
    silenced_at = pair.reactor.seconds()
    pair.silence()
    pair.run(2.5)
    assert set(pair.downs) == {"agent-1", "entry-1"}
    assert max(pair.downs.values()) - silenced_at <= 2.0
    pair.link_to_agent().send(CANCEL)
    pair.run(0.1)
    assert pair.received == [CANCEL]


@pytest.mark.parametrize("seconds", [1.9, 30.0])
def test_a_suspension_of_this_process_is_no_silence_of_its_peers(seconds: float) -> None:
    pair = LinkedPair()
    pair.run(1)
    # one step: nothing runs and nothing is read meanwhile
    pair.reactor.advance(seconds)
    pair.run(3)
    assert pair.downs == {}


def hold_peer(pair: LinkedPair, host: str, seconds: float) -> None:
    """Let nothing that *host* sends arrive for *seconds*, then all of it at once."""
    held: list[Any] = []
    later: Any = pair.network.deliver_later

    def deliver(pipe: Any, call: Any, *args: Any) -> None:
        if pipe.source == host:
            held.append((pipe, call, args))
        else:
            later(pipe, call, *args)

    pair.network.deliver_later = deliver  # type: ignore[method-assign, assignment]
    pair.run(seconds)
    pair.network.deliver_later = later  # type: ignore[method-assign]
    for pipe, call, args in held:
        later(pipe, call, *args)


# a silence of a second that began just before a heartbeat was due closed the link of a sound peer
@pytest.mark.parametrize("seconds", [1.0, 1.05, 1.2])
def test_a_silence_of_a_second_or_so_closes_no_link_whenever_it_begins(seconds: float) -> None:
    closed = []
    for phase in range(50):
        pair = LinkedPair()
        pair.run(1 + phase / 100)
        hold_peer(pair, "agent-1", seconds)
        pair.run(0.5)
        closed += [phase] * bool(pair.downs)
    assert closed == []


def test_a_peer_that_may_be_lost_is_told_of_once_before_its_link_closes() -> None:
    pair = LinkedPair()
    told: list[float] = []
    pair.entry.watch_silence(lambda _: told.append(pair.reactor.seconds()))
    pair.run(3)
    assert told == []
    pair.silence()
    silenced_at = pair.reactor.seconds()
    pair.run(1.9)
    assert len(told) == 1
    assert told[0] - silenced_at <= 1.5 < pair.downs["agent-1"] - silenced_at + 0.5
    assert pair.downs["agent-1"] - told[0] > 0.2


def test_a_peer_that_missed_a_heartbeat_gets_no_new_work_and_keeps_its_link() -> None:
    pair = LinkedPair()
    pair.run(0.9)
    agent = HostId("agent-1")
    assert pair.entry.may_take_work(agent)
    pair.silence()
    pair.run(1.3)
    assert not pair.entry.may_take_work(agent)
    for pipe in pair.network.pipes:
        pipe.silent = False
    # as after a suspension, both sides speak at once
    pair.agent.announce_draining(drained=False)
    pair.entry.announce_draining(drained=False)
    pair.run(0.6)
    assert pair.entry.may_take_work(agent)
    assert pair.downs == {}


def test_silence_after_a_suspension_is_detected_within_two_seconds() -> None:
    pair = LinkedPair()
    pair.run(1)
    pair.reactor.advance(30)
    pair.run(0.1)
    pair.silence()
    pair.link_to_agent().send(CANCEL)
    pair.run(2.0)
    assert "agent-1" in pair.downs


class LateLoop:
    """Runs a busy pair whose loop is late in each turn: first timers run, then all is read."""

    def __init__(self, pair: LinkedPair, seconds: float) -> None:
        self._pair = pair
        self._seconds = seconds
        self._sent: list[Any] = []
        pair.network.deliver_later = lambda pipe, call, *args: self._sent.append(  # type: ignore[method-assign]
            (pipe, call, args)
        )

    def turn(self) -> None:
        link = self._pair.entry.find(HostId("agent-1"))
        if link is not None:
            link.send(CANCEL)
        self._pair.reactor.advance(self._seconds)
        sent, self._sent = self._sent, []
        for pipe, call, args in sent:
            if not pipe.silent:
                call(*args)


# each late turn of a busy loop counted as a suspension, so silent peers were noticed late or never
@pytest.mark.parametrize("seconds", [0.7, 1.4, 3.0])
def test_a_loop_that_is_always_late_notices_silent_peers_and_keeps_sound_ones(
    seconds: float,
) -> None:
    pair = LinkedPair()
    loop = LateLoop(pair, seconds)
    for _ in range(20):
        loop.turn()
    assert pair.downs == {}
    pair.silence()
    for _ in range(math.ceil(1.5 / seconds) + 2):
        loop.turn()
    assert set(pair.downs) == {"agent-1", "entry-1"}


def test_peers_hear_of_a_host_at_once_after_its_suspension() -> None:
    pair = LinkedPair()
    pair.run(20)
    heard: list[Any] = []
    pair.network.deliver_later = lambda pipe, call, *args: heard.append(pipe)  # type: ignore[method-assign]
    pair.reactor.advance(0.9)
    pair.run(0.01)
    assert heard


def test_idle_link_that_went_silent_is_detected_within_two_seconds_of_use() -> None:
    pair = LinkedPair()
    pair.run(60, step=0.1)
    assert pair.downs == {}
    pair.silence()
    pair.link_to_agent().send(CANCEL)
    used_at = pair.reactor.seconds()
    pair.run(2.0)
    assert pair.downs["agent-1"] - used_at <= 2.0


def test_restarted_host_replaces_its_old_link() -> None:
    pair = LinkedPair()
    pair.agent.stop()
    pair.run(0.05)
    pair.make("agent-1", HostRole.AGENT, boot="b2").start()
    pair.run(1.0)
    assert pair.link_to_agent().peer.boot == "b2"


def test_peers_learn_at_once_that_a_host_is_leaving() -> None:
    pair = LinkedPair()
    assert not pair.entry.is_leaving(HostId("agent-1"))
    pair.agent.announce_leaving()
    pair.run(0.05)
    assert pair.entry.is_leaving(HostId("agent-1"))


def test_undecodable_bytes_close_only_the_link() -> None:
    pair = LinkedPair()
    pair.network.pipes[0].send(b"\xff\x00nonsense")
    pair.run(0.05)
    assert "entry-1" in pair.downs
    pair.run(1.0)
    assert pair.link_to_agent()


def test_link_to_a_peer_no_longer_listed_is_closed() -> None:
    pair = LinkedPair()
    pair.entry.set_peers([])
    pair.run(3.0)
    assert pair.entry.find(HostId("agent-1")) is None


def test_unused_link_becomes_idle_and_background_messages_keep_it_idle() -> None:
    pair = LinkedPair()
    pair.link_to_agent().send(CANCEL)
    pair.run(20)
    sent: list[bytes] = []
    later: Any = pair.network.deliver_later

    def count(pipe: Any, call: Any, *args: Any) -> None:
        sent.extend(args)
        later(pipe, call, *args)

    pair.network.deliver_later = count  # type: ignore[method-assign, assignment]
    for _ in range(30):
        pair.link_to_agent().send(DocumentStateRequest(1))
        pair.run(1)
    # 30 requests, and a heartbeat each way every five seconds
    assert len(sent) <= 30 + 2 * 7
    assert pair.downs == {}


# an error in one handler dropped the other messages of its batch, and the link was read no more
def test_an_unexpected_error_in_a_handler_hits_no_other_message_and_no_other_handler() -> None:
    pair = LinkedPair()
    first = Cancel(RequestId("r0"), AttemptId(1))

    def fail(_link: Link, message: Cancel) -> None:
        if message == first:
            raise RuntimeError

    pair.agent._handlers[Cancel].insert(0, fail)
    for message in (first, CANCEL):
        pair.link_to_agent().send(message)
    pair.run(0.1)
    assert pair.received == [first, CANCEL]
    assert pair.agent.failed_messages == 1
    pair.link_to_agent().send(CANCEL)
    pair.run(5)
    assert pair.received == [first, CANCEL, CANCEL]
    assert pair.downs == {}


def test_an_unexpected_error_in_a_watcher_of_links_hits_no_other_watcher() -> None:
    pair = LinkedPair()

    def fail(_link: Link) -> None:
        raise RuntimeError

    pair.agent._watchers.insert(0, (fail, fail))
    pair.silence()
    pair.run(2.5)
    assert set(pair.downs) == {"agent-1", "entry-1"}
    assert pair.agent.failed_messages == 2
    pair.link_to_agent().send(CANCEL)
    pair.run(0.1)
    assert pair.received == [CANCEL]
