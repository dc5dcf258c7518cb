"""Detects calls that repeatedly crash backend servers."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from hashlib import sha256
from typing import Any, Final

from lavenderrun.types import AccountId, Fingerprint, GatewayCall, HostId, Incarnation

MAX_STRIKES: Final = 3
"""Crashed servers, as seen by all hosts, after which a call is refused."""

STRIKE_LIFETIME: Final = timedelta(seconds=60)
"""How long a strike counts; callers repeat such a call within seconds."""

MIN_RESTART_TIME: Final = timedelta(seconds=1)
"""A server that answers within this time after a strike did not crash: a restart takes longer."""

MAX_FINGERPRINTS: Final = 2000
"""Number of fingerprints kept; the oldest are dropped first."""

MAX_REPORTED_FINGERPRINTS: Final = 20
"""Number of fingerprints in a peer report, which must fit into one datagram."""


def make_fingerprint(call: GatewayCall, account: AccountId | None) -> Fingerprint:
    """Return a digest of account, method, host, target and body; repeated calls share it."""
    digest = sha256()
    for part in (account or "", call.method, call.host, call.target):
        digest.update(part.encode("utf-8", "surrogatepass") + b"\0")
    digest.update(call.body)
    return Fingerprint(digest.hexdigest()[:16])


@dataclass(frozen=True)
class _PeerStrikes:
    """Strikes that another host reported, and when it did."""

    received: datetime
    crashed: Mapping[Fingerprint, Sequence[Incarnation]]


class SuspectTracker:
    """Counts the server crashes that each call may have caused, on this host and on others.

    A server incarnation crashes once, so any number of answers lost from one incarnation is one
    strike against the call.
    """

    def __init__(self) -> None:
        self._strikes: dict[Fingerprint, dict[Incarnation, datetime]] = {}
        self._last_strikes: dict[Incarnation, datetime] = {}
        self._peer_strikes: dict[HostId, _PeerStrikes] = {}

    def add_strike(self, fingerprint: Fingerprint, server: Incarnation, now: datetime) -> None:
        """Count a strike: *server* dropped the connection while it ran the call."""
        crashed = self._strikes.pop(fingerprint, {})
        crashed[server] = now
        self._strikes[fingerprint] = crashed
        self._last_strikes.pop(server, None)
        self._last_strikes[server] = now
        _drop_oldest(self._strikes)
        _drop_oldest(self._last_strikes)

    def clear_server(self, server: Incarnation, sent: datetime) -> None:
        """Drop the strikes that *server* caused shortly before it proved to be alive.

        :param sent: when the connection or the request that it answered was begun.
        """
        last_strike = self._last_strikes.get(server)
        if last_strike is None or not last_strike < sent <= last_strike + MIN_RESTART_TIME:
            return
        del self._last_strikes[server]
        for crashed in self._strikes.values():
            at = crashed.get(server)
            if at is not None and at < sent <= at + MIN_RESTART_TIME:
                del crashed[server]

    def clear_call(self, fingerprint: Fingerprint) -> None:
        """Drop the strikes of a call that ran to its end."""
        self._strikes.pop(fingerprint, None)

    def is_quarantined(self, fingerprint: Fingerprint, now: datetime) -> bool:
        """Tell whether the call is refused because it may have crashed too many servers."""
        crashed = set(self._list_recent(fingerprint, now))
        for strikes in self._peer_strikes.values():
            if now - strikes.received < STRIKE_LIFETIME:
                crashed.update(strikes.crashed.get(fingerprint, ()))
        return len(crashed) >= MAX_STRIKES

    def apply_peer_report(
        self, host: HostId, crashed: Mapping[Fingerprint, Sequence[Incarnation]], now: datetime
    ) -> None:
        """Replace the strikes that another host reported.

        :param crashed: crashed server incarnations by the call's fingerprint.
        """
        if crashed:
            self._peer_strikes[host] = _PeerStrikes(now, crashed)
        else:
            self._peer_strikes.pop(host, None)

    def list_suspects(self, now: datetime) -> dict[Fingerprint, list[Incarnation]]:
        """Return this host's newest suspects with the server incarnations they may have crashed."""
        report: dict[Fingerprint, list[Incarnation]] = {}
        for fingerprint in reversed(self._strikes):
            if len(report) >= MAX_REPORTED_FINGERPRINTS:
                break
            recent = self._list_recent(fingerprint, now)
            if recent:
                report[fingerprint] = recent
        return report

    def _list_recent(self, fingerprint: Fingerprint, now: datetime) -> list[Incarnation]:
        crashed = self._strikes.get(fingerprint, {})
        return [server for server, at in crashed.items() if now - at < STRIKE_LIFETIME]


def _drop_oldest(entries: dict[Any, Any]) -> None:
    while len(entries) > MAX_FINGERPRINTS:
        del entries[next(iter(entries))]
