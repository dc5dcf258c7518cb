"""Service ``leases``: leases that one host of the fleet holds at a time."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, ClassVar

from eliot import log_message
from twisted.internet.defer import Deferred, DeferredList
from twisted.python.failure import Failure

from lavenderrun.codecs import LEASE_TABLE, RowCodec, RowError
from lavenderrun.decisions import HostIncarnation, LeaseKeeper, LeaseTerms, LeaseWrite, StoredLease
from lavenderrun.kernel import SERVICES, Kernel, Timer
from lavenderrun.types import (
    FencingNumber,
    Hello,
    LeaseName,
    Links,
    Store,
    StoreConflictError,
    StoredRow,
)

TICK = timedelta(seconds=1)


class LeasesService:
    """Competes for each lease that a service of this host asks for; see ``Leases``."""

    needs: ClassVar[tuple[str, ...]] = ("store", "links")

    def __init__(self, kernel: Kernel, terms: LeaseTerms) -> None:
        self._clock = kernel.clock
        self._store = kernel.find("store", Store)
        self._links = kernel.find("links", Links)
        self._terms = terms
        self._codec = RowCodec(LEASE_TABLE)
        hello: Hello = kernel.settings.hello()
        self._me = HostIncarnation(hello.host, hello.boot)
        self._keepers: dict[LeaseName, LeaseKeeper] = {}
        self._holding: dict[LeaseName, bool] = {}
        self._timer: Timer | None = None

    def start(self) -> None:
        """Begin to compete."""
        self._tick()

    def stop(self) -> Deferred[None]:
        """Give all leases up, so that another host need not wait for their end."""
        if self._timer is not None:
            self._timer.cancel()
        now = self._clock.now()
        writes = []
        for name, keeper in self._keepers.items():
            write = keeper.plan_release(now)
            if write is not None:
                writes.append(self._write(name, keeper, write))
        return DeferredList(writes, consumeErrors=True).addCallback(lambda _: None)

    def compete(self, name: LeaseName) -> None:
        """Try to get and keep a lease from now on."""
        self._keepers.setdefault(name, LeaseKeeper(self._me, self._terms))

    def find_fencing_number(self, name: LeaseName) -> FencingNumber | None:
        """Return the lease's fencing number if this host holds it at this instant."""
        keeper = self._keepers.get(name)
        return None if keeper is None else keeper.find_fencing_number(self._clock.now())

    def _tick(self) -> None:
        self._timer = self._clock.call_later(TICK, self._tick)
        for name, keeper in self._keepers.items():
            self._tend(name, keeper)
            self._note(name, keeper.find_fencing_number(self._clock.now()))

    def _tend(self, name: LeaseName, keeper: LeaseKeeper) -> None:
        now = self._clock.now()
        if keeper.is_read_due(now, len(self._links.list_live()) + 1):
            keeper.note_read(now)
            reading = self._store.get(LEASE_TABLE, name)
            reading.addCallbacks(self._take_row, lambda _: None, (name, keeper))
        write = keeper.plan_write(now)
        if write is not None:
            self._write(name, keeper, write)

    def _take_row(self, row: StoredRow | None, name: LeaseName, keeper: LeaseKeeper) -> None:
        stored = self._decode(name, row)
        if stored is not None:
            keeper.observe(stored, self._clock.now())
            self._tend(name, keeper)

    def _write(self, name: LeaseName, keeper: LeaseKeeper, write: LeaseWrite) -> Deferred[Any]:
        value = self._codec.encode(write.row)
        writing = self._store.put(LEASE_TABLE, name, value, expect=write.expect)
        return writing.addCallbacks(
            self._confirm, self._fail, (name, keeper, write), {}, (name, keeper)
        )

    def _confirm(
        self, row: StoredRow, name: LeaseName, keeper: LeaseKeeper, write: LeaseWrite
    ) -> None:
        keeper.confirm(write, row.version, self._clock.now())
        self._note(name, keeper.find_fencing_number(self._clock.now()))

    def _fail(self, failure: Failure, name: LeaseName, keeper: LeaseKeeper) -> None:
        error = failure.value
        if not isinstance(error, StoreConflictError):
            keeper.note_no_reply()
            return
        stored = self._decode(name, error.current)
        if stored is None:
            keeper.note_no_reply()
        else:
            keeper.note_conflict(stored, self._clock.now())

    def _decode(self, name: LeaseName, row: StoredRow | None) -> StoredLease | None:
        if row is None:
            return StoredLease(0, None)
        try:
            return StoredLease(row.version, self._codec.decode(name, row.value))
        except RowError as error:
            log_message("leases:bad_row", text="leases: row is bad", error=str(error))
            return None

    def _note(self, name: LeaseName, fencing: FencingNumber | None) -> None:
        holds = fencing is not None
        if self._holding.get(name, False) != holds:
            self._holding[name] = holds
            text = "leases: lease is held" if holds else "leases: lease is over"
            log_message("leases:changed", text=text, lease=name, fencing=fencing or 0)


@SERVICES.register("leases")
def make_leases(kernel: Kernel) -> LeasesService:
    """Make the service."""
    return LeasesService(kernel, LeaseTerms())
