"""Service ``quarantine``: requests that crash backend servers, known to all entries."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import datetime, timedelta
from typing import Any, ClassVar

import msgspec
from eliot import log_message
from twisted.internet.defer import Deferred, ensureDeferred

from lavenderrun.codecs import RowCodec, RowError
from lavenderrun.decisions import (
    GUILTY_MEMORY,
    ProbeLeases,
    Quarantine,
    find_probe_coordinator,
    limit_age,
)
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
    StoredRow,
    StoreThrottledError,
    StoreUnavailableError,
    Strike,
    Suspect,
)

TABLE = "quarantine"
PROBE_RETRY_INTERVAL = timedelta(milliseconds=250)
"""Mean time after which a probe that is not granted is requested again."""
READ_INTERVAL = timedelta(seconds=60)
"""Mean time between two reads of the stored rows."""

STORE_ERRORS = (StoreUnavailableError, StoreThrottledError, StoreConflictError)

ProbeKey = tuple[Fingerprint, RequestId]


class QuarantineService:
    """Counts the crashes of each request fingerprint and decides how it may run.

    Entries send strikes to one another over their links, so that a verdict needs no store. The
    store keeps guilty fingerprints for entries that start later.
    """

    needs: ClassVar[tuple[str, ...]] = ("links", "store")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._random = kernel.random_source
        self._links = kernel.find("links", Links)
        self._store = kernel.find("store", Store)
        self._host: HostId = kernel.settings.hello().host
        self._quarantine = Quarantine()
        self._probes = ProbeLeases()
        self._codec = RowCodec(TABLE)
        self._pending_probes: dict[ProbeKey, tuple[Deferred[None], Timer]] = {}
        self._timer: Timer | None = None
        self._stopped = False

    def start(self) -> None:
        """Subscribe to the messages of other entries and read the stored rows."""
        self._links.subscribe(Strike, self._handle_strike)
        self._links.subscribe(Acquitted, lambda _, note: self._acquit(note))
        self._links.subscribe(ProbeRequest, self._handle_probe_request)
        self._links.subscribe(ProbeAnswer, self._handle_probe_answer)
        self._links.subscribe(
            ProbeEnd, lambda _, end: self._probes.end(end.fingerprint, end.request)
        )
        self._links.watch(self._send_known_strikes, lambda link: None)
        self._begin_read()

    def stop(self) -> None:
        """Stop reading the store and withdraw all probes that wait."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        for probe, timer in list(self._pending_probes.values()):
            timer.cancel()
            probe.cancel()

    def find_verdict(self, fingerprint: Fingerprint) -> QuarantineVerdict:
        """Return whether *fingerprint* is clear, suspect or guilty."""
        return self._quarantine.find_verdict(fingerprint, self._clock.now())

    def has_strikes(self, fingerprint: Fingerprint) -> bool:
        """Return whether a backend server crashed while it ran *fingerprint*."""
        return bool(self._quarantine.find_strikes(fingerprint))

    def find_suspect_limit(self, fingerprint: Fingerprint) -> int:
        """Return how many suspects may share a backend server with it, 0 if it is not suspect."""
        return self._quarantine.find_suspect_limit(fingerprint, self._clock.now())

    def record_strike(self, strike: Strike) -> None:
        """Record a crash and send it to the other entries."""
        if self._add_strike(strike):
            self._send_to_entries(strike)

    def clear_strikes(self, fingerprint: Fingerprint) -> None:
        """Drop the strikes of a fingerprint that ran to its end, here and on the other entries."""
        note = Acquitted(fingerprint)
        self._acquit(note)
        self._send_to_entries(note)

    def begin_probe(self, fingerprint: Fingerprint, request: RequestId) -> Deferred[None]:
        """Fire once *request* may run as the only one of its fingerprint; cancel it to give up."""
        key = (fingerprint, request)
        probe: Deferred[None] = Deferred(lambda _: self._withdraw_probe(key))
        self._pending_probes[key] = (
            probe,
            self._clock.call_later(timedelta(0), self._request_probe, key),
        )
        return probe

    def end_probe(self, fingerprint: Fingerprint, request: RequestId) -> None:
        """Release the probe of *request* or withdraw it while it waits."""
        self._withdraw_probe((fingerprint, request))
        self._probes.end(fingerprint, request)
        self._send_to_entries(ProbeEnd(fingerprint, request))

    def list_suspects(self) -> Sequence[Suspect]:
        """Return all fingerprints that are suspect or guilty."""
        return self._quarantine.list_suspects(self._clock.now())

    def release(self, fingerprint: Fingerprint) -> Deferred[None]:
        """Drop the strikes on an operator's request; fails with ``StepError`` without the store."""
        return ensureDeferred(self._release(fingerprint))

    # strikes

    def _handle_strike(self, _link: Link, strike: Strike) -> None:
        self._add_strike(strike)

    def _add_strike(self, strike: Strike) -> bool:
        new = self._quarantine.add_strike(strike, self._clock.now())
        if not new:
            return False
        verdict = self.find_verdict(strike.fingerprint)
        log_message(
            "quarantine:strike",
            text="quarantine: a backend server crashed under a request",
            host=self._host,
            fingerprint=strike.fingerprint,
            account=strike.account,
            route=strike.route,
            verdict=verdict.value,
            had_begun=strike.had_begun,
            others_unanswered=strike.others_unanswered,
        )
        if verdict is QuarantineVerdict.GUILTY:
            ensureDeferred(self._store_verdict(strike.fingerprint))
        return True

    def _acquit(self, note: Acquitted) -> None:
        fingerprint = note.fingerprint
        if self._quarantine.acquit(fingerprint, note.age, self._clock.now()):
            log_message(
                "quarantine:acquitted",
                text="quarantine: strikes of a fingerprint dropped",
                host=self._host,
                fingerprint=fingerprint,
            )

    def _send_to_entries(self, message: Strike | Acquitted | ProbeEnd) -> None:
        for link in self._list_entry_links():
            link.send(message)

    def _send_known_strikes(self, link: Link) -> None:
        if link.peer.role is HostRole.ENTRY:
            now = self._clock.now()
            for strike in self._quarantine.list_strikes(now):
                link.send(strike)
            for fingerprint, age in self._quarantine.list_acquitted(now):
                link.send(Acquitted(fingerprint, age))

    def _list_entry_links(self) -> list[Link]:
        return [link for link in self._links.list_live() if link.peer.role is HostRole.ENTRY]

    # probes

    def _request_probe(self, key: ProbeKey) -> None:
        probe, _ = self._pending_probes[key]
        again = PROBE_RETRY_INTERVAL * self._random.uniform(0.75, 1.25)
        self._pending_probes[key] = (probe, self._clock.call_later(again, self._request_probe, key))
        links = {link.peer.host: link for link in self._list_entry_links()}
        coordinator = find_probe_coordinator(key[0], [self._host, *links])
        if coordinator != self._host:
            links[coordinator].send(ProbeRequest(*key))
        elif self._probes.grant(*self._make_lease_terms(key, self._host)):
            self._resolve_probe(key)

    def _handle_probe_request(self, link: Link, probe_request: ProbeRequest) -> None:
        key = (probe_request.fingerprint, probe_request.request)
        granted = self._probes.grant(*self._make_lease_terms(key, link.peer.host))
        link.send(ProbeAnswer(*key, granted))

    def _handle_probe_answer(self, link: Link, answer: ProbeAnswer) -> None:
        key = (answer.fingerprint, answer.request)
        if answer.granted and key in self._pending_probes:
            self._resolve_probe(key)
        elif answer.granted:
            # the probe was withdrawn meanwhile: free its lease
            link.send(ProbeEnd(*key))

    def _make_lease_terms(
        self, key: ProbeKey, asker: HostId
    ) -> tuple[Fingerprint, HostId, RequestId, Any]:
        return key[0], asker, key[1], self._clock.now()

    def _resolve_probe(self, key: ProbeKey) -> None:
        probe, timer = self._pending_probes.pop(key)
        timer.cancel()
        probe.callback(None)

    def _withdraw_probe(self, key: ProbeKey) -> None:
        if key in self._pending_probes:
            self._pending_probes.pop(key)[1].cancel()

    # store

    async def _store_verdict(self, fingerprint: Fingerprint) -> None:
        try:
            await self._put_verdict(fingerprint)
        except STORE_ERRORS as error:
            self._log_store_error(error)

    async def _put_verdict(self, fingerprint: Fingerprint) -> None:
        now = self._clock.now()
        strikes = self._quarantine.list_aged_strikes(fingerprint, now)
        value = self._codec.encode(QuarantineRow(strikes, now))
        try:
            await self._store.put(TABLE, fingerprint, value, expect=0)
        except StoreConflictError as conflict:
            current, struck = conflict.current, now - min(each.age for each in strikes)
            # a row written since the last crash, by another entry, says the same
            if current is not None and not self._is_written_since(current, struck):
                await self._store.put(TABLE, fingerprint, value, expect=current.version)

    def _is_written_since(self, row: StoredRow, moment: datetime) -> bool:
        try:
            stored: QuarantineRow = self._codec.decode(row.key, row.value)
        except RowError:
            return False
        return stored.written is not None and stored.written >= moment

    async def _release(self, fingerprint: Fingerprint) -> None:
        try:
            row = await self._store.get(TABLE, fingerprint)
            if row is not None:
                await self._store.delete(TABLE, fingerprint, expect=row.version)
        except STORE_ERRORS as error:
            raise StepError(Step.STORE, TABLE, "the release could not be written") from error
        self.clear_strikes(fingerprint)

    def _begin_read(self) -> None:
        ensureDeferred(self._read_rows())

    async def _read_rows(self) -> None:
        try:
            for row in await self._store.scan(TABLE):
                await self._apply_row(row)
        except STORE_ERRORS as error:
            self._log_store_error(error)
        finally:
            if not self._stopped:
                pause = READ_INTERVAL * self._random.uniform(0.75, 1.25)
                self._timer = self._clock.call_later(pause, self._begin_read)

    async def _apply_row(self, row: StoredRow) -> None:
        """Add the strikes of a row, with their age; delete it once they no longer count."""
        try:
            stored: QuarantineRow = self._codec.decode(row.key, row.value)
        except RowError as error:
            log_message(
                "quarantine:row", text="quarantine: unreadable row skipped", error=str(error)
            )
            return
        now = self._clock.now()
        written = now if stored.written is None else stored.written
        # the clock of the entry that wrote it may be ahead
        since = limit_age(now - written)
        strikes = [
            msgspec.structs.replace(strike, age=limit_age(strike.age) + since)
            for strike in stored.strikes
        ]
        for strike in strikes:
            self._quarantine.add_strike(strike, now)
        try:
            if all(strike.age > GUILTY_MEMORY for strike in strikes):
                await self._store.delete(TABLE, row.key, expect=row.version)
            elif stored.written is None:
                value = self._codec.encode(QuarantineRow(stored.strikes, now))
                await self._store.put(TABLE, row.key, value, expect=row.version)
        except StoreConflictError:
            # another entry was faster
            return
        except STORE_ERRORS as error:
            self._log_store_error(error)

    def _log_store_error(self, error: Exception) -> None:
        log_message(
            "quarantine:store",
            text="quarantine: store call failed",
            host=self._host,
            error=type(error).__name__,
        )


@SERVICES.register("quarantine")
def make_quarantine(kernel: Kernel) -> QuarantineService:
    """Make the service ``quarantine``."""
    return QuarantineService(kernel)
