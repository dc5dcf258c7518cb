"""Strikes and verdicts for requests that crash backend servers.

The bounded retries, the visible record and the operator's release follow the dead-letter rule d6
of ADR-0003 (the paper named in the design page).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from datetime import datetime, timedelta
from hashlib import blake2b

from lavenderrun.types import Fingerprint, HostId, QuarantineVerdict, RequestId, Strike, Suspect

MAX_CRASHES = 3
COHORTS = {1: 4, 2: 1}
"""Suspects that share a backend server, by strikes: about the root of a full engine's seats first,
so that the second crash leaves few suspects, then one alone."""
SUSPICION_LIFE = timedelta(minutes=10)
GUILT_LIFE = timedelta(hours=24)
MAX_SUSPECTS = 10_000
PROBE_LEASE = timedelta(seconds=60)


class _File:
    """The strikes of one fingerprint."""

    def __init__(self) -> None:
        self.strikes: dict[tuple[str, int], Strike] = {}
        self.last_at: datetime | None = None


class Quarantine:
    """Strikes by fingerprint; the same set of strikes gives the same verdict on every host.

    One crash makes a suspect, which runs among few suspects and then alone; :data:`MAX_CRASHES`
    make it guilty.
    """

    def __init__(self) -> None:
        self._files: OrderedDict[Fingerprint, _File] = OrderedDict()

    def add(self, strike: Strike, now: datetime) -> bool:
        """Note a strike; return whether it is new."""
        file = self._files.setdefault(strike.fingerprint, _File())
        key = (strike.request, strike.attempt)
        new = key not in file.strikes
        if new:
            file.strikes[key] = strike
            file.last_at = now
        self._files.move_to_end(strike.fingerprint)
        while len(self._files) > MAX_SUSPECTS:
            self._files.popitem(last=False)
        return new

    def drop(self, fingerprint: Fingerprint) -> bool:
        """Forget a fingerprint's strikes; return whether there were any."""
        return self._files.pop(fingerprint, None) is not None

    def verdict(self, fingerprint: Fingerprint, now: datetime) -> QuarantineVerdict:
        """Return what is held of *fingerprint*."""
        file = self._files.get(fingerprint)
        if file is None or file.last_at is None:
            return QuarantineVerdict.CLEAR
        guilty = len(file.strikes) >= MAX_CRASHES
        if now - file.last_at > (GUILT_LIFE if guilty else SUSPICION_LIFE):
            self.drop(fingerprint)
            return QuarantineVerdict.CLEAR
        return QuarantineVerdict.GUILTY if guilty else QuarantineVerdict.SUSPECT

    def find_suspect_limit(self, fingerprint: Fingerprint, now: datetime) -> int:
        """Return how many suspects may share a backend server with it, zero for no suspect."""
        if self.verdict(fingerprint, now) is not QuarantineVerdict.SUSPECT:
            return 0
        return COHORTS.get(len(self.strikes(fingerprint)), 1)

    def strikes(self, fingerprint: Fingerprint) -> list[Strike]:
        """Return the strikes of *fingerprint*."""
        file = self._files.get(fingerprint)
        return [] if file is None else list(file.strikes.values())

    def all_strikes(self) -> list[Strike]:
        """Return every strike that is held."""
        return [strike for name in self._files for strike in self.strikes(name)]

    def suspects(self, now: datetime) -> list[Suspect]:
        """Return all fingerprints under suspicion."""
        found = []
        for name in list(self._files):
            verdict = self.verdict(name, now)
            if verdict is not QuarantineVerdict.CLEAR:
                strikes = self.strikes(name)
                first = strikes[0]
                found.append(Suspect(name, first.account, first.route, len(strikes), verdict))
        return found


class ProbeLeases:
    """At the home of a suspect: one run alone at a time, held by a lease."""

    def __init__(self) -> None:
        self._leases: dict[Fingerprint, tuple[HostId, RequestId, datetime]] = {}

    def grant(
        self, fingerprint: Fingerprint, asker: HostId, request: RequestId, now: datetime
    ) -> bool:
        """Return whether *request* may run alone now."""
        lease = self._leases.get(fingerprint)
        if lease is not None and lease[:2] != (asker, request) and now < lease[2]:
            return False
        self._leases[fingerprint] = (asker, request, now + PROBE_LEASE)
        return True

    def end(self, fingerprint: Fingerprint, request: RequestId) -> None:
        """Free the lease when *request* holds it."""
        lease = self._leases.get(fingerprint)
        if lease is not None and lease[1] == request:
            del self._leases[fingerprint]


def find_probe_coordinator(fingerprint: Fingerprint, entries: Iterable[HostId]) -> HostId:
    """Return the entry that grants probes of *fingerprint*: rendezvous hashing over the live."""

    def weigh(host: HostId) -> bytes:
        return blake2b(f"{host}\0{fingerprint}".encode(), digest_size=8).digest()

    return max(entries, key=weigh)
