"""Reservations and load of each backend server, over this host and its peers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.dispatch._reservation_changes import (
    NO_RESERVATIONS,
    ReservationChanges,
    Reservations,
)
from lavenderrun.types import BackendId, BackendLoad, HostId

LOAD_LIFETIME: Final = timedelta(seconds=1)
"""How long a reported load counts; calls take some tens of milliseconds."""

REPORT_LIFETIME: Final = timedelta(seconds=3)
"""Lifetime of a peer's reservations without a new report; its calls end or are cut off by then."""


@dataclass(frozen=True)
class ObservedLoad:
    """The load that a backend server reported in an answer.

    :param calls: calls that ran or waited at the server, this host's among them.
    :param own: calls of this host there when the answer came.
    """

    at: datetime
    calls: int
    own: int


class FleetOccupancy:
    """Reservations of this host, reservations that peers report, and loads that servers report.

    :ivar changes: what changed lately at decode engines.
    """

    def __init__(self) -> None:
        self._own: dict[BackendId, Reservations] = {}
        # in order of their last reports, so that stale ones come first
        self._peers: dict[HostId, tuple[datetime, Mapping[BackendId, Reservations]]] = {}
        self._peer_sums: dict[BackendId, Reservations] = {}
        self._loads: dict[BackendId, ObservedLoad] = {}
        self.changes = ReservationChanges()

    @property
    def own_reservations(self) -> Mapping[BackendId, Reservations]:
        """Reservations of this host; backend servers without any are left out."""
        return self._own

    def reserve(self, member: BackendId, tokens: int) -> None:
        """Add one call and *tokens* to the reservations of this host at *member*."""
        old = self._own.get(member, NO_RESERVATIONS)
        self._own[member] = Reservations(old.calls + 1, old.tokens + tokens)

    def free(self, member: BackendId, tokens: int) -> None:
        """Remove one call and *tokens* from the reservations of this host at *member*."""
        old = self._own.get(member, Reservations(1, tokens))
        if old.calls <= 1:
            self._own.pop(member, None)
        else:
            self._own[member] = Reservations(old.calls - 1, max(0, old.tokens - tokens))

    def apply_peer_report(
        self, host: HostId, reservations: Mapping[BackendId, Reservations], now: datetime
    ) -> None:
        """Replace the reservations of the peer *host* by those that it reports now."""
        _, old = self._peers.get(host, (now, {}))
        for member in {**old, **reservations}:
            if old.get(member) != reservations.get(member):
                self.changes.note_peer_change(member, self.find_reserved(member), now)
        self._drop_peer(host)
        self._peers[host] = (now, reservations)
        for member, row in reservations.items():
            self._add_to_sum(member, row.calls, row.tokens)

    def drop_stale_reports(self, now: datetime) -> None:
        """Drop the reservations of peers that have not reported for ``REPORT_LIFETIME``."""
        while self._peers:
            host, (reported_at, _) = next(iter(self._peers.items()))
            if now - reported_at <= REPORT_LIFETIME:
                return
            self._drop_peer(host)

    def _drop_peer(self, host: HostId) -> None:
        _, reservations = self._peers.pop(host, (None, {}))
        for member, row in reservations.items():
            self._add_to_sum(member, -row.calls, -row.tokens)

    def _add_to_sum(self, member: BackendId, calls: int, tokens: int) -> None:
        old = self._peer_sums.get(member, NO_RESERVATIONS)
        if old.calls + calls or old.tokens + tokens:
            self._peer_sums[member] = Reservations(old.calls + calls, old.tokens + tokens)
        else:
            self._peer_sums.pop(member, None)

    def observe_load(self, member: BackendId, load: BackendLoad, now: datetime) -> None:
        """Store the load that a backend server reports in an answer."""
        calls = load.running + load.waiting
        self._loads[member] = ObservedLoad(now, calls, self.count_own_calls(member))

    def estimate_calls(self, member: BackendId, now: datetime) -> int:
        """Return the calls expected at *member*, by its last report and own sends since."""
        own, load = self.count_own_calls(member), self.find_load(member, now)
        return own if load is None else max(own, load.calls + own - load.own)

    def count_own_calls(self, member: BackendId) -> int:
        """Return the calls of this host at *member*."""
        return self._own.get(member, NO_RESERVATIONS).calls

    def find_load(self, member: BackendId, now: datetime) -> ObservedLoad | None:
        """Return the last load that *member* reported, ``None`` when it is out of date."""
        load = self._loads.get(member)
        return None if load is None or now - load.at > LOAD_LIFETIME else load

    def count_reserved_slots(self, member: BackendId) -> int:
        """Return the decode slots reserved at *member* by all hosts."""
        return self.find_reserved(member).calls

    def sum_reserved_tokens(self, member: BackendId) -> int:
        """Return the tokens reserved at *member* by all hosts."""
        return self.find_reserved(member).tokens

    def find_reserved(self, member: BackendId) -> Reservations:
        """Return what all hosts reserve at *member*."""
        own = self._own.get(member, NO_RESERVATIONS)
        peers = self._peer_sums.get(member, NO_RESERVATIONS)
        return Reservations(own.calls + peers.calls, own.tokens + peers.tokens)
