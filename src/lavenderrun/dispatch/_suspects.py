"""Calls under which backend servers broke off again and again."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import datetime, timedelta
from hashlib import sha256
from typing import Final

from lavenderrun.types import AccountId, Fingerprint, GatewayCall, HostId

STRIKES_MOST: Final = 3
"""Broken runs after which a call is refused, over all hosts."""

MEMORY: Final = timedelta(seconds=60)
"""How long a strike counts; callers send such a call again within seconds."""

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


class SuspectBook:
    """Counts broken runs by fingerprint, of this host and as others report them."""

    def __init__(self) -> None:
        self._own: dict[Fingerprint, list[datetime]] = {}
        self._others: dict[HostId, Mapping[Fingerprint, int]] = {}

    def strike(self, fingerprint: Fingerprint, now: datetime) -> None:
        """Count a run that its server broke off."""
        times = self._own.pop(fingerprint, [])
        self._own[fingerprint] = [*times, now]
        while len(self._own) > KEPT_MOST:
            del self._own[next(iter(self._own))]

    def clear(self, fingerprint: Fingerprint) -> None:
        """Take a whole run: the call is harmless."""
        self._own.pop(fingerprint, None)

    def is_refused(self, fingerprint: Fingerprint, now: datetime) -> bool:
        """Tell whether the call has broken too many servers."""
        own = sum(1 for at in self._own.get(fingerprint, ()) if now - at < MEMORY)
        others = sum(counts.get(fingerprint, 0) for counts in self._others.values())
        return own + others >= STRIKES_MOST

    def hear(self, host: HostId, counts: Mapping[Fingerprint, int]) -> None:
        """Take another host's counts."""
        self._others[host] = counts

    def report(self, now: datetime) -> dict[Fingerprint, int]:
        """Return the newest counts of this host."""
        counts: dict[Fingerprint, int] = {}
        for fingerprint, times in reversed(self._own.items()):
            if len(counts) >= REPORTED_MOST:
                break
            fresh = sum(1 for at in times if now - at < MEMORY)
            if fresh:
                counts[fingerprint] = fresh
        return counts
