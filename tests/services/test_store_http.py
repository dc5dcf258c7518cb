from __future__ import annotations

import asyncio
import random
from datetime import timedelta
from typing import Any

from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.defer import Deferred
from twisted.web.pages import notFound
from twisted.web.server import Site

from lavenderrun.kernel import ReactorClock
from lavenderrun.services import HttpStore, StoreClient
from lavenderrun.standins import make_table_resource
from lavenderrun.types import StoreConflictError, StoreSettings, StoreUnavailableError


def make_site(resource: Any) -> Any:
    return Site(resource)


async def use_store(store: StoreClient, faults: Any) -> list[Any]:
    seen: list[Any] = [await store.get("t", "a/b?")]
    first = await store.put("t", "a/b?", b"\x00one", expect=0)
    faults.lost_replies = 1
    second = await store.put("t", "a/b?", b"two", expect=first.version)
    seen += [first, second, await store.scan("t")]
    try:
        await store.put("t", "a/b?", b"three", expect=1)
    except StoreConflictError as conflict:
        seen.append(conflict.current)
    faults.writes_per_second = 5.0
    await store.delete("t", "a/b?", expect=second.version)
    seen.append(await store.scan("t"))
    faults.down = True
    try:
        await store.get("t", "k")
    except StoreUnavailableError as error:
        seen.append(error)
    return seen


def test_http_dialect_against_the_stand_in_table_service() -> None:
    loop = asyncio.new_event_loop()
    reactor: Any = AsyncioSelectorReactor(loop)
    clock = ReactorClock.starting_now(reactor)
    resource = make_table_resource(clock)
    port = reactor.listenTCP(0, make_site(resource), interface="127.0.0.1")
    timeout = timedelta(milliseconds=200)
    url = f"http://127.0.0.1:{port.getHost().port}"
    dialect = HttpStore(url, reactor, 2)
    settings = StoreSettings(attempt_timeout=timeout, deadline=timedelta(seconds=1))
    store = StoreClient(clock, dialect, settings, random.Random(1))
    results: list[Any] = []
    failures: list[Any] = []

    def run() -> None:
        done = Deferred.fromCoroutine(use_store(store, resource.faults))
        done.addCallbacks(results.extend, failures.append)
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(run)
    reactor.run()
    assert failures == []
    missing, first, second, rows, current, after, error = results
    assert missing is None
    assert (first.value, first.version) == (b"\x00one", 1)
    assert second.version == 2
    assert rows == [second]
    assert current == second
    assert after == []
    assert isinstance(error, StoreUnavailableError)


# 404 counted as success for a delete, and ended a write with an AttributeError
def test_only_the_read_of_a_row_may_be_answered_with_404() -> None:
    loop = asyncio.new_event_loop()
    reactor: Any = AsyncioSelectorReactor(loop)
    site = make_site(notFound())
    port = reactor.listenTCP(0, site, interface="127.0.0.1")
    store = HttpStore(f"http://127.0.0.1:{port.getHost().port}", reactor, 2)
    results: list[Any] = []

    async def call_all() -> None:
        results.append(await store.get("t", "k"))
        for call in (
            lambda: store.put("t", "k", b"v", expect=0),
            lambda: store.delete("t", "k", expect=1),
            lambda: store.scan("t"),
        ):
            try:
                results.append(await call())
            except StoreUnavailableError as error:
                results.append(str(error))

    def run() -> None:
        done = Deferred.fromCoroutine(call_all())
        done.addErrback(results.append)
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(run)
    reactor.run()
    assert results == [None, "status 404", "status 404", "status 404"]
