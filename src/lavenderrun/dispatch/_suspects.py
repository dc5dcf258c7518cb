"""Calls under which backend servers broke off again and again."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from hashlib import sha256
from typing import Any, Final

from lavenderrun.types import AccountId, Fingerprint, GatewayCall, HostId, Incarnation

STRIKES_MOST: Final = 3
"""Servers that a call may have broken before it is refused, as all hosts saw it."""

MEMORY: Final = timedelta(seconds=60)
"""How long a strike counts; callers send such a call again within seconds."""

ACQUIT_WITHIN: Final = timedelta(seconds=1)
"""How soon after a break a server must take a call to count as whole; a restart takes longer."""

KEPT_MOST: Final = 2000
"""Fingerprints kept; the oldest go first."""

REPORTED_MOST: Final = 20
"""Fingerprints told to other hosts; a report stays one datagram."""


def make_fingerprint(call: GatewayCall, account: AccountId | None) -> Fingerprint:
    """Return a digest that a repeated call shares: account, method, target and body."""
    digest = sha256()
    for part in (account or "", call.method, call.host, call.target):
        digest.update(part.encode("utf-8", "surrogatepass") + b"\0")
    digest.update(call.body)
    return Fingerprint(digest.hexdigest()[:16])


@dataclass(frozen=True)
class _Accusations:
    """What another host reported, and when."""

    heard: datetime
    broken: Mapping[Fingerprint, Sequence[Incarnation]]


class SuspectTracker:
    """Knows which servers each call may have broken, by this host and as others report them.

    A server breaks once in a life, so many lost answers of one life are one strike.
    """

    def __init__(self) -> None:
        self._own: dict[Fingerprint, dict[Incarnation, datetime]] = {}
        self._struck: dict[Incarnation, datetime] = {}
        self._others: dict[HostId, _Accusations] = {}

    def add_strike(self, fingerprint: Fingerprint, server: Incarnation, now: datetime) -> None:
        """Count a run that *server* broke off."""
        broken = self._own.pop(fingerprint, {})
        broken[server] = now
        self._own[fingerprint] = broken
        self._struck.pop(server, None)
        self._struck[server] = now
        _trim(self._own)
        _trim(self._struck)

    def clear_server(self, server: Incarnation, sent: datetime) -> None:
        """Take a connection or an answer to what was *sent* to *server*: it did not break."""
        struck = self._struck.get(server)
        if struck is None or not struck < sent <= struck + ACQUIT_WITHIN:
            return
        del self._struck[server]
        for broken in self._own.values():
            at = broken.get(server)
            if at is not None and at < sent <= at + ACQUIT_WITHIN:
                del broken[server]

    def clear_call(self, fingerprint: Fingerprint) -> None:
        """Take a whole run: the call is harmless."""
        self._own.pop(fingerprint, None)

    def is_quarantined(self, fingerprint: Fingerprint, now: datetime) -> bool:
        """Tell whether the call has broken too many servers."""
        broken = set(self._list_fresh(fingerprint, now))
        for accusations in self._others.values():
            if now - accusations.heard < MEMORY:
                broken.update(accusations.broken.get(fingerprint, ()))
        return len(broken) >= STRIKES_MOST

    def apply_peer_report(
        self, host: HostId, broken: Mapping[Fingerprint, Sequence[Incarnation]], now: datetime
    ) -> None:
        """Take what another host saw broken."""
        self._others[host] = _Accusations(now, broken)

    def report(self, now: datetime) -> dict[Fingerprint, list[Incarnation]]:
        """Return the newest suspects of this host and what they may have broken."""
        report: dict[Fingerprint, list[Incarnation]] = {}
        for fingerprint in reversed(self._own):
            if len(report) >= REPORTED_MOST:
                break
            fresh = self._list_fresh(fingerprint, now)
            if fresh:
                report[fingerprint] = fresh
        return report

    def _list_fresh(self, fingerprint: Fingerprint, now: datetime) -> list[Incarnation]:
        broken = self._own.get(fingerprint, {})
        return [server for server, at in broken.items() if now - at < MEMORY]


def _trim(kept: dict[Any, Any]) -> None:
    while len(kept) > KEPT_MOST:
        del kept[next(iter(kept))]
