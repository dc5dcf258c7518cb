"""Limits services of several hosts on one fake clock, with faults between them."""

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

SILENCE = 2.0
ACCOUNT = AccountId("gruas")
DELAY = 0.0005


class StubService:
    needs: ClassVar[tuple[str, ...]] = ()

    def start(self) -> None: ...

    def stop(self) -> None: ...


class Document1(StubService):
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


class Record(StubService):
    def emit(self, event: Any) -> None: ...


@dataclass(frozen=True)
class Settings:
    greeting: Hello
    policies: dict[str, str] = field(default_factory=dict)

    def hello(self) -> Hello:
        return self.greeting


class PausedStore:
    """Calls of a host go out at once; replies wait while it is paused."""

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
    def __init__(self, net: Net, source: Host, target: Host) -> None:
        self.peer = target.hello
        self._net, self._source, self._target = net, source, target

    def send(self, message: Message) -> None:
        self._net.send(self._source, self._target, message)


class FakeLinks(StubService):
    def __init__(self, net: Net, host: Host) -> None:
        self.handlers: dict[type, Callable[[Any, Any], None]] = {}
        self.watchers: Any = (lambda _: None, lambda _: None)
        self._known: dict[BootId, Host] = {}
        self._net, self._host = net, host

    def subscribe(self, kind: type, handler: Callable[[Any, Any], None]) -> None:
        self.handlers[kind] = handler

    def watch(self, up: Callable[[Any], None], down: Callable[[Any], None]) -> None:
        self.watchers = (up, down)

    def notice(self) -> None:
        """Tell the watcher which links came and went."""
        seen = {other.hello.boot: other for other in self._net.seen(self._host)}
        for boot in [boot for boot in self._known if boot not in seen]:
            self.watchers[1](FakeLink(self._net, self._host, self._known.pop(boot)))
        for boot, other in seen.items():
            if boot not in self._known:
                self._known[boot] = other
                self.watchers[0](FakeLink(self._net, self._host, other))

    def list_live(self) -> list[FakeLink]:
        return [FakeLink(self._net, self._host, other) for other in self._net.seen(self._host)]

    def find(self, host: HostId) -> FakeLink | None:
        return next((link for link in self.list_live() if link.peer.host == host), None)

    def is_leaving(self, host: HostId) -> bool:
        return False


class Host:
    def __init__(self, net: Net, name: str, policy: str, rates: dict[AccountId, Rate]) -> None:
        self.net = net
        self.name = name
        self.clock = HostClock(net.base)
        self.paused_at: float | None = None
        self.faults = TableFaults()
        boot = BootId(f"{name}{net.reactor.seconds()}")
        self.hello = Hello(HostId(name), boot, HostRole.ENTRY, DataCentre("talca"))
        settings = Settings(self.hello, {"limits": policy})
        self.kernel = Kernel(self.clock, settings, Random(f"{name}{net.seed}"))
        self.links = FakeLinks(net, self)
        self.document = Document1()
        self.document.put(make_document(rates))
        store = PausedStore(MemoryStore(net.base, net.core, self.faults), self.clock)
        client = StoreClient(
            self.clock, store, StoreSettings(url="http://127.0.0.1:1"), self.kernel.random_source
        )
        parts: dict[str, Any] = {"links": self.links, "document": self.document, "store": client}
        for part, service in {**parts, "record": Record()}.items():
            self.kernel.add(part, service)
        self.kernel.build(["limits"])
        self.limits = self.kernel.find("limits", LimitsService)
        Deferred.fromCoroutine(self.kernel.start())

    def pause(self) -> None:
        if self.paused_at is None:
            self.paused_at = self.net.reactor.seconds()
            self.clock.pause()

    def resume(self) -> None:
        if self.paused_at is not None:
            self.paused_at = None
            self.clock.resume()


def make_document(rates: dict[AccountId, Rate]) -> Document:
    return Document(accounts=[Account(id=name, rate=rate) for name, rate in rates.items()])


@dataclass
class Spent:
    at: datetime
    tokens: float
    used: float


class Net:
    """Hosts, their network and their store.

    :ivar grants: of each account, in the order of time.
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
        self.cuts: dict[frozenset[str], float] = {}
        self.first_rate = rate
        names = [ACCOUNT, *(AccountId(f"account{n}") for n in range(1, accounts))]
        self.rates = dict.fromkeys(names, rate)
        self.hosts: dict[str, Host] = {}
        self.grants: dict[AccountId, list[Spent]] = {}
        self.flows: list[tuple[datetime, AccountId, float]] = []
        self.refused: list[tuple[datetime, AccountId, Refused]] = []
        self.asked = 0
        self.ceilings: list[tuple[datetime, Rate]] = []
        for number in range(hosts):
            self.start(f"e{number}")
        self._notice()

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

    def _notice(self) -> None:
        self.reactor.callLater(0.1, self._notice)
        for host in list(self.hosts.values()):
            host.clock.run(host.links.notice)

    def run(self, seconds: float) -> None:
        self.reactor.advance(seconds)

    def seen(self, host: Host) -> list[Host]:
        return [
            other for other in self.hosts.values() if other is not host and self._up(host, other)
        ]

    def _up(self, one: Host, other: Host) -> bool:
        since = [self.cuts.get(frozenset((one.name, other.name))), other.paused_at]
        return all(at is None or self.reactor.seconds() - at < SILENCE for at in since)

    def send(self, source: Host, target: Host, message: Message) -> None:
        self.sent.setdefault(source.name, []).append(message)
        if (
            frozenset((source.name, target.name)) in self.cuts
            or self.random_source.random() < self.drop
        ):
            return
        for _ in range(2 if self.random_source.random() < self.duplicate else 1):
            delay = DELAY * (1 + self.random_source.random() * (1 if self.drop == 0 else 2000))
            self.reactor.callLater(delay, target.clock.run, self._deliver, source, target, message)

    def _deliver(self, source: Host, target: Host, message: Message) -> None:
        handler = target.links.handlers.get(type(message))
        # a message of a life that is over travels on a link that is gone
        if handler is not None and self.hosts.get(source.name) is source:
            handler(FakeLink(self, target, source), message)

    def charge(
        self,
        name: str,
        tokens: float,
        *,
        patience: float = 0.0,
        used: float = 1.0,
        lasts: float = 0.0,
        account: AccountId = ACCOUNT,
    ) -> None:
        """Charge at a host; after *lasts* seconds the share that was not *used* goes back."""
        self.asked += 1
        host = self.hosts[name]
        host.clock.run(self._charge, host, account, tokens, patience, used, lasts)

    def _charge(
        self,
        host: Host,
        account: AccountId,
        tokens: float,
        patience: float,
        used: float,
        lasts: float,
    ) -> None:
        def take(result: Charge | Refused) -> None:
            now = self.base.now()
            if isinstance(result, Refused):
                self.refused.append((now, account, result))
                return
            self.grants.setdefault(account, []).append(Spent(now, tokens, tokens * used))
            self.flows.append((now, account, -tokens))
            if used < 1:
                unused = tokens * (1 - used)
                host.clock.call_later(timedelta(seconds=lasts), give, result, unused)

        def give(charge: Charge, unused: float) -> None:
            host.limits.refund(charge, unused)

        host.limits.charge(account, 1.0, tokens, timedelta(seconds=patience)).addCallback(take)

    def note_ceiling(self) -> None:
        """Note the highest rate that any host works by from now on."""
        documents = [host.document.current for host in self.hosts.values()]
        rates = [document.accounts[0].rate for document in documents if document is not None]
        highest = max([self.rates[ACCOUNT], *rates], key=lambda rate: rate.tokens_per_second)
        self.ceilings.append((self.base.now(), highest))

    def find_excess(self, account: AccountId = ACCOUNT) -> float:
        """Return by how many tokens some window was exceeded by what the account used."""
        spent: list[tuple[datetime, int, Any]] = [
            (each.at, 1, each.used) for each in self.grants.get(account, [])
        ]
        changes = [(at, 0, rate) for at, rate in self.ceilings]
        rate = self.first_rate
        level = least = rate.token_burst
        before: datetime | None = None
        for at, _, what in sorted([*spent, *changes], key=lambda each: each[:2]):
            if before is not None:
                earned = rate.tokens_per_second * (at - before).total_seconds()
                level = min(rate.token_burst, level + earned)
            before = at
            if isinstance(what, Rate):
                rate = what
            else:
                level -= what
                least = min(least, level)
        return max(0.0, -least)
