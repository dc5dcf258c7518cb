"""Service ``leases``: leases that one host of the fleet holds at a time."""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar

from eliot import log_message
from twisted.internet.defer import Deferred, DeferredList, succeed
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

TICK_INTERVAL = timedelta(seconds=1)


class LeasesService:
    """Implements ``Leases``: competes for each lease that a service of this host asks for."""

    needs: ClassVar[tuple[str, ...]] = ("store", "links")

    def __init__(self, kernel: Kernel, terms: LeaseTerms) -> None:
        self._clock = kernel.clock
        self._store = kernel.find("store", Store)
        self._links = kernel.find("links", Links)
        self._terms = terms
        self._codec = RowCodec(LEASE_TABLE)
        hello: Hello = kernel.settings.hello()
        self._own_incarnation = HostIncarnation(hello.host, hello.boot)
        self._keepers: dict[LeaseName, LeaseKeeper] = {}
        self._was_held: dict[LeaseName, bool] = {}
        self._writes: dict[LeaseName, Deferred[None]] = {}
        self._timer: Timer | None = None

    def start(self) -> None:
        """Begin to read and renew the leases at regular intervals."""
        self._tick()

    def stop(self) -> Deferred[None]:
        """Release all leases, so that another host need not wait until they expire."""
        if self._timer is not None:
            self._timer.cancel()
        releases = []
        for name, keeper in self._keepers.items():
            keeper.plan_release(self._clock.now())
            # a write that is under way may still renew the lease
            writing = self._writes.get(name, succeed(None))
            releases.append(writing.addCallback(self._release, name, keeper))
        return DeferredList(releases, consumeErrors=True).addCallback(lambda _: None)

    def _release(
        self, _: None, name: LeaseName, keeper: LeaseKeeper, tried: int | None = None
    ) -> Deferred[None] | None:
        """Free the row; after a conflict with an own write whose reply was lost, do so again.

        :param tried: version that the row should have had at the last try.
        """
        write = keeper.plan_release(self._clock.now())
        if write is None or write.expect == tried:
            return None
        releasing = self._send_write(name, keeper, write)
        return releasing.addCallback(self._release, name, keeper, write.expect)

    def compete(self, name: LeaseName) -> None:
        """Try to acquire a lease, and to keep it, from now on."""
        self._keepers.setdefault(name, LeaseKeeper(self._own_incarnation, self._terms))

    def find_fencing_number(self, name: LeaseName) -> FencingNumber | None:
        """Return the lease's fencing number if this host holds it now, ``None`` otherwise."""
        keeper = self._keepers.get(name)
        return None if keeper is None else keeper.find_fencing_number(self._clock.now())

    def _tick(self) -> None:
        self._timer = self._clock.call_later(TICK_INTERVAL, self._tick)
        for name, keeper in self._keepers.items():
            self._send_due_calls(name, keeper)
            self._log_change(name, keeper.find_fencing_number(self._clock.now()))

    def _send_due_calls(self, name: LeaseName, keeper: LeaseKeeper) -> None:
        now = self._clock.now()
        if keeper.is_read_due(now, len(self._links.list_live()) + 1):
            keeper.note_read(now)
            reading = self._store.get(LEASE_TABLE, name)
            reading.addCallbacks(self._handle_row, lambda _: None, (name, keeper))
        write = keeper.plan_write(now)
        if write is not None:
            self._writes[name] = self._send_write(name, keeper, write)

    def _handle_row(self, row: StoredRow | None, name: LeaseName, keeper: LeaseKeeper) -> None:
        stored = self._decode(name, row)
        if stored is not None:
            keeper.observe(stored, self._clock.now())
            self._send_due_calls(name, keeper)

    def _send_write(
        self, name: LeaseName, keeper: LeaseKeeper, write: LeaseWrite
    ) -> Deferred[None]:
        value = self._codec.encode(write.row)
        writing = self._store.put(LEASE_TABLE, name, value, expect=write.expect)
        return writing.addCallbacks(
            self._handle_confirmation,
            self._handle_failure,
            (name, keeper, write),
            {},
            (name, keeper),
        )

    def _handle_confirmation(
        self, row: StoredRow, name: LeaseName, keeper: LeaseKeeper, write: LeaseWrite
    ) -> None:
        keeper.confirm(write, row.version, self._clock.now())
        self._log_change(name, keeper.find_fencing_number(self._clock.now()))

    def _handle_failure(self, failure: Failure, name: LeaseName, keeper: LeaseKeeper) -> None:
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
            log_message("leases:bad_row", text="leases: row can't be decoded", error=str(error))
            return None

    def _log_change(self, name: LeaseName, fencing: FencingNumber | None) -> None:
        holds = fencing is not None
        if self._was_held.get(name, False) != holds:
            self._was_held[name] = holds
            text = "leases: lease acquired" if holds else "leases: lease lost"
            log_message("leases:changed", text=text, lease=name, fencing=fencing or 0)


@SERVICES.register("leases")
def make_leases(kernel: Kernel) -> LeasesService:
    """Make the service with the default durations of a lease."""
    return LeasesService(kernel, LeaseTerms())
