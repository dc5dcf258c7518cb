"""Reservations and load of each backend server, over this host and its peers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.types import BackendId, BackendLoad, HostId

LOAD_LIFETIME: Final = timedelta(seconds=1)
"""How long a reported load counts; calls take some tens of milliseconds."""

REPORT_LIFETIME: Final = timedelta(seconds=3)
"""Lifetime of a peer's reservations without a new report; its calls end or are cut off by then."""


@dataclass(frozen=True)
class Reservations:
    """Reservations at one backend server.

    :param calls: reserved decode slots, or calls that run at a plain server.
    :param tokens: reserved tokens: KV cache of a decode engine, prompts of a prefill engine.
    """

    calls: int = 0
    tokens: int = 0


class FleetOccupancy:
    """Reservations of this host, reservations that peers report, and loads that servers report."""

    def __init__(self) -> None:
        self._own: dict[BackendId, Reservations] = {}
        self._peers: dict[HostId, tuple[datetime, Mapping[BackendId, Reservations]]] = {}
        self._loads: dict[BackendId, tuple[datetime, BackendLoad, int]] = {}

    @property
    def own_reservations(self) -> Mapping[BackendId, Reservations]:
        """Reservations of this host; backend servers without any are left out."""
        return self._own

    def reserve(self, member: BackendId, tokens: int) -> None:
        """Add one call and *tokens* to the reservations of this host at *member*."""
        old = self._own.get(member, Reservations())
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
        self._peers[host] = (now, reservations)

    def drop_stale_reports(self, now: datetime) -> None:
        """Drop the reservations of peers that have not reported for ``REPORT_LIFETIME``."""
        for host, (reported_at, _) in list(self._peers.items()):
            if now - reported_at > REPORT_LIFETIME:
                del self._peers[host]

    def observe_load(self, member: BackendId, load: BackendLoad, now: datetime) -> None:
        """Store the load that a backend server reports in an answer."""
        self._loads[member] = (now, load, self._own.get(member, Reservations()).calls)

    def estimate_calls(self, member: BackendId, now: datetime) -> int:
        """Return the calls expected at *member*, by its last report and own sends since."""
        own = self._own.get(member, Reservations()).calls
        reported = self._loads.get(member)
        if reported is None or now - reported[0] > LOAD_LIFETIME:
            return own
        _, load, own_when_reported = reported
        return max(own, load.running + load.waiting + own - own_when_reported)

    def count_reserved_slots(self, member: BackendId) -> int:
        """Return the decode slots reserved at *member* by all hosts."""
        peers = (rows.get(member, Reservations()).calls for _, rows in self._peers.values())
        return self._own.get(member, Reservations()).calls + sum(peers)

    def sum_reserved_tokens(self, member: BackendId) -> int:
        """Return the tokens reserved at *member* by all hosts."""
        peers = (rows.get(member, Reservations()).tokens for _, rows in self._peers.values())
        return self._own.get(member, Reservations()).tokens + sum(peers)
