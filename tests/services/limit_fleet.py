"""Limits services of several hosts on one fake clock, with faults of links, hosts and store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from random import Random
from typing import Any, ClassVar

from twisted.internet.defer import Deferred

from lavenderrun.bench._time import EventClock, HostClock
from lavenderrun.kernel import Kernel
from lavenderrun.services import LimitsService, StoreClient
from lavenderrun.standins import MemoryStore, TableCore, TableFaults
from lavenderrun.types import (
    Account,
    AccountId,
    BootId,
    Charge,
    DataCentre,
    Document,
    Hello,
    HostId,
    HostRole,
    Message,
    Rate,
    Refused,
    StoreSettings,
)

SILENCE_SECONDS = 2.0
ACCOUNT = AccountId("gruas")
LINK_DELAY_SECONDS = 0.0005


class StubService:
    needs: ClassVar[tuple[str, ...]] = ()

    def start(self) -> None: ...

    def stop(self) -> None: ...


class FakeDocument(StubService):
    def __init__(self) -> None:
        self.version = 1
        self.current: Document | None = None
        self._handlers: list[Callable[[Document], None]] = []

    def watch(self, handler: Callable[[Document], None]) -> None:
        self._handlers.append(handler)
        if self.current is not None:
            handler(self.current)

    def put(self, document: Document) -> None:
        self.current = document
        for handler in self._handlers:
            handler(document)


class FakeRecord(StubService):
    def emit(self, event: Any) -> None: ...


@dataclass(frozen=True)
class FakeSettings:
    greeting: Hello
    policies: dict[str, str] = field(default_factory=dict)

    def hello(self) -> Hello:
        return self.greeting


class PausedStore:
    """A host's table service: calls are sent at once, replies wait while the host is paused."""

    def __init__(self, inner: MemoryStore, clock: HostClock) -> None:
        self._inner = inner
        self._clock = clock

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._inner, name)

        def call(*args: Any, **options: Any) -> Deferred[Any]:
            answer: Deferred[Any] = Deferred()

            def give(result: Any) -> None:
                if not answer.called:
                    answer.callback(result)

            method(*args, **options).addBoth(lambda result: self._clock.run(give, result))
            return answer

        return call


class FakeLink:
    def __init__(self, fleet: LimitFleet, source: Host, target: Host) -> None:
        self.peer = target.hello
        self._fleet, self._source, self._target = fleet, source, target

    def send(self, message: Message) -> None:
        self._fleet.send(self._source, self._target, message)


class FakeLinks(StubService):
    def __init__(self, fleet: LimitFleet, host: Host) -> None:
        self.handlers: dict[type, Callable[[Any, Any], None]] = {}
        self.watchers: Any = (lambda _: None, lambda _: None)
        self._known: dict[BootId, Host] = {}
        self._fleet, self._host = fleet, host

    def subscribe(self, kind: type, handler: Callable[[Any, Any], None]) -> None:
        self.handlers[kind] = handler

    def watch(self, up: Callable[[Any], None], down: Callable[[Any], None]) -> None:
        self.watchers = (up, down)

    def update_links(self) -> None:
        """Call the watcher for each link that has opened or closed since the last call."""
        visible = {other.hello.boot: other for other in self._fleet.list_visible(self._host)}
        for boot in [boot for boot in self._known if boot not in visible]:
            self.watchers[1](FakeLink(self._fleet, self._host, self._known.pop(boot)))
        for boot, other in visible.items():
            if boot not in self._known:
                self._known[boot] = other
                self.watchers[0](FakeLink(self._fleet, self._host, other))

    def list_live(self) -> list[FakeLink]:
        return [
            FakeLink(self._fleet, self._host, other)
            for other in self._fleet.list_visible(self._host)
        ]

    def find(self, host: HostId) -> FakeLink | None:
        return next((link for link in self.list_live() if link.peer.host == host), None)

    def is_leaving(self, host: HostId) -> bool:
        return False


class Host:
    def __init__(
        self, fleet: LimitFleet, name: str, policy: str, rates: dict[AccountId, Rate]
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.clock = HostClock(fleet.base)
        self.paused_at: float | None = None
        self.faults = TableFaults()
        boot = BootId(f"{name}{fleet.reactor.seconds()}")
        self.hello = Hello(HostId(name), boot, HostRole.ENTRY, DataCentre("talca"))
        settings = FakeSettings(self.hello, {"limits": policy})
        self.kernel = Kernel(self.clock, settings, Random(f"{name}{fleet.seed}"))
        self.links = FakeLinks(fleet, self)
        self.document = FakeDocument()
        self.document.put(make_document(rates))
        store = PausedStore(MemoryStore(fleet.base, fleet.core, self.faults), self.clock)
        client = StoreClient(
            self.clock, store, StoreSettings(url="http://127.0.0.1:1"), self.kernel.random_source
        )
        parts: dict[str, Any] = {"links": self.links, "document": self.document, "store": client}
        for part, service in {**parts, "record": FakeRecord()}.items():
            self.kernel.add(part, service)
        self.kernel.build(["limits"])
        self.limits = self.kernel.find("limits", LimitsService)
        Deferred.fromCoroutine(self.kernel.start())

    def pause(self) -> None:
        if self.paused_at is None:
            self.paused_at = self.fleet.reactor.seconds()
            self.clock.pause()

    def resume(self) -> None:
        if self.paused_at is not None:
            self.paused_at = None
            self.clock.resume()


def make_document(rates: dict[AccountId, Rate]) -> Document:
    return Document(accounts=[Account(id=name, rate=rate) for name, rate in rates.items()])


@dataclass
class Grant:
    at: datetime
    tokens: float
    used: float


class LimitFleet:
    """Hosts, their network and their table service.

    :ivar cut_since: when each cut link was cut, in seconds of the clock.
    :ivar grants: the charges granted to each account, in order of time.
    """

    def __init__(
        self, hosts: int, rate: Rate, *, policy: str = "slots", seed: int = 0, accounts: int = 1
    ) -> None:
        self.reactor = self.base = EventClock()
        self.seed = seed
        self.random_source = Random(seed)
        self.core = TableCore()
        self.policy = policy
        self.drop = self.duplicate = 0.0
        self.sent: dict[str, list[Message]] = {}
        self.cut_since: dict[frozenset[str], float] = {}
        self.first_rate = rate
        names = [ACCOUNT, *(AccountId(f"account{n}") for n in range(1, accounts))]
        self.rates = dict.fromkeys(names, rate)
        self.hosts: dict[str, Host] = {}
        self.grants: dict[AccountId, list[Grant]] = {}
        self.flows: list[tuple[datetime, AccountId, float]] = []
        self.refused: list[tuple[datetime, AccountId, Refused]] = []
        self.charge_count = 0
        self.highest_rates: list[tuple[datetime, Rate]] = []
        for number in range(hosts):
            self.start(f"e{number}")
        self._update_links()

    def set_store(self, *, down: bool) -> None:
        for host in self.hosts.values():
            host.faults.down = down

    def start(self, name: str) -> None:
        self.hosts[name] = Host(self, name, self.policy, self.rates)

    def kill(self, name: str) -> None:
        self.hosts.pop(name).clock.die()

    def stop(self, name: str) -> None:
        host = self.hosts[name]
        host.resume()
        Deferred.fromCoroutine(host.kernel.stop())
        self.run(0.1)
        self.kill(name)

    def _update_links(self) -> None:
        self.reactor.callLater(0.1, self._update_links)
        for host in list(self.hosts.values()):
            host.clock.run(host.links.update_links)

    def run(self, seconds: float) -> None:
        self.reactor.advance(seconds)

    def list_visible(self, host: Host) -> list[Host]:
        return [
            other
            for other in self.hosts.values()
            if other is not host and self._is_link_up(host, other)
        ]

    def _is_link_up(self, one: Host, other: Host) -> bool:
        since = [self.cut_since.get(frozenset((one.name, other.name))), other.paused_at]
        return all(at is None or self.reactor.seconds() - at < SILENCE_SECONDS for at in since)

    def send(self, source: Host, target: Host, message: Message) -> None:
        self.sent.setdefault(source.name, []).append(message)
        if (
            frozenset((source.name, target.name)) in self.cut_since
            or self.random_source.random() < self.drop
        ):
            return
        for _ in range(2 if self.random_source.random() < self.duplicate else 1):
            delay = LINK_DELAY_SECONDS * (
                1 + self.random_source.random() * (1 if self.drop == 0 else 2000)
            )
            self.reactor.callLater(delay, target.clock.run, self._deliver, source, target, message)

    def _deliver(self, source: Host, target: Host, message: Message) -> None:
        handler = target.links.handlers.get(type(message))
        # the link of a host that has restarted is closed, and its messages are lost
        if handler is not None and self.hosts.get(source.name) is source:
            handler(FakeLink(self, target, source), message)

    def charge(
        self,
        name: str,
        tokens: float,
        *,
        patience: float = 0.0,
        used: float = 1.0,
        return_after: float = 0.0,
        account: AccountId = ACCOUNT,
    ) -> None:
        """Charge at a host; after *return_after* seconds the unused share is refunded.

        :param used: share of the tokens that is used.
        """
        self.charge_count += 1
        host = self.hosts[name]
        host.clock.run(self._charge, host, account, tokens, patience, used, return_after)

    def _charge(
        self,
        host: Host,
        account: AccountId,
        tokens: float,
        patience: float,
        used: float,
        return_after: float,
    ) -> None:
        def take(result: Charge | Refused) -> None:
            now = self.base.now()
            if isinstance(result, Refused):
                self.refused.append((now, account, result))
                return
            self.grants.setdefault(account, []).append(Grant(now, tokens, tokens * used))
            self.flows.append((now, account, -tokens))
            if used < 1:
                unused = tokens * (1 - used)
                host.clock.call_later(timedelta(seconds=return_after), give, result, unused)

        def give(charge: Charge, unused: float) -> None:
            host.limits.refund(charge, unused)

        host.limits.charge(account, 1.0, tokens, timedelta(seconds=patience)).addCallback(take)

    def record_highest_rate(self) -> None:
        """Record the highest rate that any host applies from now on."""
        documents = [host.document.current for host in self.hosts.values()]
        rates = [document.accounts[0].rate for document in documents if document is not None]
        highest = max([self.rates[ACCOUNT], *rates], key=lambda rate: rate.tokens_per_second)
        self.highest_rates.append((self.base.now(), highest))

    def find_excess(self, account: AccountId = ACCOUNT) -> float:
        """Return the most tokens that the account used beyond rate and burst in any window."""
        spent: list[tuple[datetime, int, Any]] = [
            (grant.at, 1, grant.used) for grant in self.grants.get(account, [])
        ]
        changes = [(at, 0, rate) for at, rate in self.highest_rates]
        rate = self.first_rate
        level = least = rate.token_burst
        before: datetime | None = None
        for at, _, change in sorted([*spent, *changes], key=lambda entry: entry[:2]):
            if before is not None:
                earned = rate.tokens_per_second * (at - before).total_seconds()
                level = min(rate.token_burst, level + earned)
            before = at
            if isinstance(change, Rate):
                rate = change
            else:
                level -= change
                least = min(least, level)
        return max(0.0, -least)
