"""Service ``quarantine``: strikes spread between entries, verdicts of guilt kept in the store."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from typing import Any, ClassVar

from eliot import log_message
from twisted.internet.defer import Deferred, ensureDeferred

from lavenderrun.codecs import RowCodec, RowError
from lavenderrun.decisions import ProbeLeases, Quarantine, find_probe_coordinator
from lavenderrun.kernel import SERVICES, Kernel, Timer
from lavenderrun.types import (
    Acquitted,
    Fingerprint,
    HostId,
    HostRole,
    Link,
    Links,
    ProbeAnswer,
    ProbeEnd,
    ProbeRequest,
    QuarantineRow,
    QuarantineVerdict,
    RequestId,
    Step,
    StepError,
    Store,
    StoreConflictError,
    StoreThrottledError,
    StoreUnavailableError,
    Strike,
    Suspect,
)

TABLE = "quarantine"
ASK_AGAIN = timedelta(milliseconds=250)
READ_EVERY = timedelta(seconds=60)
STORE_ERRORS = (StoreUnavailableError, StoreThrottledError, StoreConflictError)

ProbeKey = tuple[Fingerprint, RequestId]


class QuarantineService:
    """Keeps strikes and verdicts; see ``QuarantineKeeper``.

    Strikes spread over the links between entries, so that a verdict holds without the store; the
    store keeps verdicts of guilt for entries that start later.
    """

    needs: ClassVar[tuple[str, ...]] = ("links", "store")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._random = kernel.random_source
        self._links = kernel.find("links", Links)
        self._store = kernel.find("store", Store)
        self._me: HostId = kernel.settings.hello().host
        self._book = Quarantine()
        self._probes = ProbeLeases()
        self._codec = RowCodec(TABLE)
        self._asking: dict[ProbeKey, tuple[Deferred[None], Timer]] = {}
        self._timer: Timer | None = None
        self._stopped = False

    def start(self) -> None:
        """Listen to the other entries and read what the store keeps."""
        self._links.subscribe(Strike, self._take_strike)
        self._links.subscribe(Acquitted, lambda _, note: self._forget(note.fingerprint))
        self._links.subscribe(ProbeRequest, self._take_ask)
        self._links.subscribe(ProbeAnswer, self._take_answer)
        self._links.subscribe(
            ProbeEnd, lambda _, end: self._probes.end(end.fingerprint, end.request)
        )
        self._links.watch(self._greet, lambda link: None)
        self._read()

    def stop(self) -> None:
        """End all timers."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        for asked, timer in list(self._asking.values()):
            timer.cancel()
            asked.cancel()

    def find_verdict(self, fingerprint: Fingerprint) -> QuarantineVerdict:
        """Return what is held of *fingerprint*."""
        return self._book.find_verdict(fingerprint, self._clock.now())

    def find_suspect_limit(self, fingerprint: Fingerprint) -> int:
        """Return how many suspects may share a backend server with it, zero for no suspect."""
        return self._book.find_suspect_limit(fingerprint, self._clock.now())

    def record_strike(self, strike: Strike) -> None:
        """Note a crash and tell the other entries."""
        if self._take(strike):
            self._tell(strike)

    def clear_strikes(self, fingerprint: Fingerprint) -> None:
        """Drop the strikes of a fingerprint that ran to its end, here and elsewhere."""
        self._forget(fingerprint)
        self._tell(Acquitted(fingerprint))

    def begin_probe(self, fingerprint: Fingerprint, request: RequestId) -> Deferred[None]:
        """Fire once this request may run alone; cancel it to give up."""
        key = (fingerprint, request)
        asked: Deferred[None] = Deferred(lambda _: self._stop_asking(key))
        self._asking[key] = (asked, self._clock.call_later(timedelta(0), self._ask, key))
        return asked

    def end_probe(self, fingerprint: Fingerprint, request: RequestId) -> None:
        """The run alone is over."""
        self._stop_asking((fingerprint, request))
        self._probes.end(fingerprint, request)
        self._tell(ProbeEnd(fingerprint, request))

    def list_suspects(self) -> Sequence[Suspect]:
        """Return all fingerprints under suspicion."""
        return self._book.list_suspects(self._clock.now())

    def release(self, fingerprint: Fingerprint) -> Deferred[None]:
        """Drop the strikes by an operator's order; fails when the store can't be reached."""
        return ensureDeferred(self._release(fingerprint))

    # strikes

    def _take_strike(self, _link: Link, strike: Strike) -> None:
        self._take(strike)

    def _take(self, strike: Strike) -> bool:
        new = self._book.add_strike(strike, self._clock.now())
        if not new:
            return False
        verdict = self.find_verdict(strike.fingerprint)
        log_message(
            "quarantine:strike",
            text="quarantine: a backend server crashed under a request",
            host=self._me,
            fingerprint=strike.fingerprint,
            account=strike.account,
            route=strike.route,
            verdict=verdict.value,
        )
        if verdict is QuarantineVerdict.GUILTY:
            ensureDeferred(self._keep(strike.fingerprint))
        return True

    def _forget(self, fingerprint: Fingerprint) -> None:
        if self._book.drop_strikes(fingerprint):
            log_message(
                "quarantine:acquitted",
                text="quarantine: strikes are dropped",
                host=self._me,
                fingerprint=fingerprint,
            )

    def _tell(self, message: Strike | Acquitted | ProbeEnd) -> None:
        for link in self._entries():
            link.send(message)

    def _greet(self, link: Link) -> None:
        if link.peer.role is HostRole.ENTRY:
            for strike in self._book.list_strikes():
                link.send(strike)

    def _entries(self) -> list[Link]:
        return [link for link in self._links.list_live() if link.peer.role is HostRole.ENTRY]

    # probes

    def _ask(self, key: ProbeKey) -> None:
        asked, _ = self._asking[key]
        again = ASK_AGAIN * self._random.uniform(0.75, 1.25)
        self._asking[key] = (asked, self._clock.call_later(again, self._ask, key))
        links = {link.peer.host: link for link in self._entries()}
        home = find_probe_coordinator(key[0], [self._me, *links])
        if home != self._me:
            links[home].send(ProbeRequest(*key))
        elif self._probes.grant(*self._lease(key, self._me)):
            self._settle(key)

    def _take_ask(self, link: Link, ask: ProbeRequest) -> None:
        key = (ask.fingerprint, ask.request)
        granted = self._probes.grant(*self._lease(key, link.peer.host))
        link.send(ProbeAnswer(*key, granted))

    def _take_answer(self, link: Link, answer: ProbeAnswer) -> None:
        key = (answer.fingerprint, answer.request)
        if answer.granted and key in self._asking:
            self._settle(key)
        elif answer.granted:
            # nobody waits for it any more
            link.send(ProbeEnd(*key))

    def _lease(self, key: ProbeKey, asker: HostId) -> tuple[Fingerprint, HostId, RequestId, Any]:
        return key[0], asker, key[1], self._clock.now()

    def _settle(self, key: ProbeKey) -> None:
        asked, timer = self._asking.pop(key)
        timer.cancel()
        asked.callback(None)

    def _stop_asking(self, key: ProbeKey) -> None:
        if key in self._asking:
            self._asking.pop(key)[1].cancel()

    # store

    async def _keep(self, fingerprint: Fingerprint) -> None:
        row = self._codec.encode(QuarantineRow(self._book.find_strikes(fingerprint)))
        try:
            await self._store.put(TABLE, fingerprint, row, expect=0)
        except STORE_ERRORS as error:
            self._log_store(error)

    async def _release(self, fingerprint: Fingerprint) -> None:
        try:
            row = await self._store.get(TABLE, fingerprint)
            if row is not None:
                await self._store.delete(TABLE, fingerprint, expect=row.version)
        except STORE_ERRORS as error:
            raise StepError(Step.STORE, TABLE, "the release could not be written") from error
        self.clear_strikes(fingerprint)

    def _read(self) -> None:
        ensureDeferred(self._run_read())

    async def _run_read(self) -> None:
        try:
            rows = await self._store.scan(TABLE)
        except STORE_ERRORS as error:
            self._log_store(error)
            rows = []
        for row in rows:
            try:
                struck: QuarantineRow = self._codec.decode(row.key, row.value)
            except RowError as error:
                log_message("quarantine:row", text="quarantine: bad row skipped", error=str(error))
                continue
            for strike in struck.strikes:
                self._book.add_strike(strike, self._clock.now())
        if not self._stopped:
            pause = READ_EVERY * self._random.uniform(0.75, 1.25)
            self._timer = self._clock.call_later(pause, self._read)

    def _log_store(self, error: Exception) -> None:
        log_message(
            "quarantine:store",
            text="quarantine: store was not reached",
            host=self._me,
            error=type(error).__name__,
        )


@SERVICES.register("quarantine")
def make_quarantine(kernel: Kernel) -> QuarantineService:
    """Make the service."""
    return QuarantineService(kernel)
