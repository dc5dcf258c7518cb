"""Work at each backend server, of this host and of the others."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.types import BackendId, BackendLoad, HostId

LOAD_LIFE: Final = timedelta(seconds=1)
"""How long a reported load counts; calls take some tens of milliseconds."""

REPORT_LIFE: Final = timedelta(seconds=3)
"""How long another host's reservations count without news; its calls end or are cut by then."""


@dataclass(frozen=True)
class Reservations:
    """Reservations at one backend server."""

    calls: int = 0
    tokens: int = 0


class FleetOccupancy:
    """Reservations of this host, reservations that other hosts report, and reported loads."""

    def __init__(self) -> None:
        self._own: dict[BackendId, Reservations] = {}
        self._others: dict[HostId, tuple[datetime, Mapping[BackendId, Reservations]]] = {}
        self._loads: dict[BackendId, tuple[datetime, BackendLoad, int]] = {}

    @property
    def own_reservations(self) -> Mapping[BackendId, Reservations]:
        """Reservations of this host that are not empty."""
        return self._own

    def reserve(self, member: BackendId, tokens: int) -> None:
        """Take a seat and memory."""
        old = self._own.get(member, Reservations())
        self._own[member] = Reservations(old.calls + 1, old.tokens + tokens)

    def free(self, member: BackendId, tokens: int) -> None:
        """Return a seat and memory."""
        old = self._own.get(member, Reservations(1, tokens))
        if old.calls <= 1:
            self._own.pop(member, None)
        else:
            self._own[member] = Reservations(old.calls - 1, max(0, old.tokens - tokens))

    def apply_peer_report(
        self, host: HostId, reserved: Mapping[BackendId, Reservations], now: datetime
    ) -> None:
        """Take another host's reservations."""
        self._others[host] = (now, reserved)

    def drop_stale_reports(self, now: datetime) -> None:
        """Drop reservations of hosts that fell silent."""
        for host, (at, _) in list(self._others.items()):
            if now - at > REPORT_LIFE:
                del self._others[host]

    def observe_load(self, member: BackendId, load: BackendLoad, now: datetime) -> None:
        """Take the load that a server reports in an answer."""
        self._loads[member] = (now, load, self._own.get(member, Reservations()).calls)

    def count_calls(self, member: BackendId, now: datetime) -> int:
        """Return the calls expected at *member*, by its last report and own sends since."""
        own = self._own.get(member, Reservations()).calls
        reported = self._loads.get(member)
        if reported is None or now - reported[0] > LOAD_LIFE:
            return own
        _, load, then = reported
        return max(own, load.running + load.waiting + own - then)

    def count_reserved(self, member: BackendId) -> int:
        """Return the seats reserved at *member* by all hosts."""
        others = (rows.get(member, Reservations()).calls for _, rows in self._others.values())
        return self._own.get(member, Reservations()).calls + sum(others)

    def sum_reserved_tokens(self, member: BackendId) -> int:
        """Return the tokens reserved at *member* by all hosts."""
        others = (rows.get(member, Reservations()).tokens for _, rows in self._others.values())
        return self._own.get(member, Reservations()).tokens + sum(others)
