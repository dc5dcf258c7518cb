"""Strikes and verdicts for requests that crash backend servers.

A strike is one crash of a backend server while it ran a request, known by its fingerprint. The
bounded retries, the visible record and the operator's release follow the dead-letter rule d6 of
ADR-0003 (the paper named in the design page).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from datetime import datetime, timedelta
from hashlib import blake2b

from lavenderrun.decisions._decode_slots import ALONE
from lavenderrun.types import Fingerprint, HostId, QuarantineVerdict, RequestId, Strike, Suspect

MAX_CRASHES = 3
MAX_EXPLAINED_CRASHES = 5
"""Crashes for which another request is the more likely cause that make a request guilty, too."""
SUSPECT_LIMITS = {1: 4, 2: ALONE}
"""Most suspects without an answer that share a backend server, by number of strikes.

After one strike it is about the square root of an engine's decode slots, so that a second crash
leaves few suspects. After two strikes a suspect runs alone, as does the only one of a crash.
"""
SUSPECT_MEMORY = timedelta(minutes=10)
GUILTY_MEMORY = timedelta(hours=24)
MAX_RECORDS = 10_000
PROBE_LEASE_TIME = timedelta(seconds=60)


class _StrikeRecord:
    """Strikes of one fingerprint, by request and attempt."""

    def __init__(self) -> None:
        self.strikes: dict[tuple[str, int], Strike] = {}
        self.last_strike_at: datetime | None = None


class Quarantine:
    """Strikes by fingerprint; the same strikes give the same verdict on every host.

    After one crash a fingerprint is a suspect, which shares a backend server only with a few other
    suspects, and after a second crash with none. After :data:`MAX_CRASHES` crashes it is guilty.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[Fingerprint, _StrikeRecord] = OrderedDict()

    def add_strike(self, strike: Strike, now: datetime) -> bool:
        """Record a strike; return whether it is new."""
        record = self._records.setdefault(strike.fingerprint, _StrikeRecord())
        key = (strike.request, strike.attempt)
        new = key not in record.strikes
        if new:
            record.strikes[key] = strike
            record.last_strike_at = now
        self._records.move_to_end(strike.fingerprint)
        while len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)
        return new

    def drop_strikes(self, fingerprint: Fingerprint) -> bool:
        """Drop the strikes of *fingerprint*; return whether there were any."""
        return self._records.pop(fingerprint, None) is not None

    def find_verdict(self, fingerprint: Fingerprint, now: datetime) -> QuarantineVerdict:
        """Return the verdict on *fingerprint*; drop its strikes once they are too old."""
        record = self._records.get(fingerprint)
        if record is None or record.last_strike_at is None:
            return QuarantineVerdict.CLEAR
        counted = sum(not strike.is_explained for strike in record.strikes.values())
        guilty = counted >= MAX_CRASHES or len(record.strikes) >= MAX_EXPLAINED_CRASHES
        if now - record.last_strike_at > (GUILTY_MEMORY if guilty else SUSPECT_MEMORY):
            self.drop_strikes(fingerprint)
            return QuarantineVerdict.CLEAR
        if guilty:
            return QuarantineVerdict.GUILTY
        return QuarantineVerdict.SUSPECT if counted else QuarantineVerdict.CLEAR

    def find_suspect_limit(self, fingerprint: Fingerprint, now: datetime) -> int:
        """Return the most suspects that may share a backend server, *fingerprint* included.

        Zero means that *fingerprint* is not a suspect.
        """
        if self.find_verdict(fingerprint, now) is not QuarantineVerdict.SUSPECT:
            return 0
        strikes = [each for each in self.find_strikes(fingerprint) if not each.is_explained]
        if len(strikes) == 1 and strikes[0].had_begun:
            # most crash their server before they begin; a second crash limits this one too
            return 0
        if all(strike.others_unanswered == 0 for strike in strikes):
            return ALONE
        return SUSPECT_LIMITS.get(len(strikes), ALONE)

    def find_strikes(self, fingerprint: Fingerprint) -> list[Strike]:
        """Return the strikes of *fingerprint*."""
        record = self._records.get(fingerprint)
        return [] if record is None else list(record.strikes.values())

    def list_strikes(self) -> list[Strike]:
        """Return the strikes of all fingerprints."""
        return [strike for name in self._records for strike in self.find_strikes(name)]

    def list_suspects(self, now: datetime) -> list[Suspect]:
        """Return all fingerprints that are suspect or guilty."""
        found = []
        for name in list(self._records):
            verdict = self.find_verdict(name, now)
            if verdict is not QuarantineVerdict.CLEAR:
                strikes = self.find_strikes(name)
                first = strikes[0]
                found.append(Suspect(name, first.account, first.route, len(strikes), verdict))
        return found


class ProbeLeases:
    """Leases by which the probe coordinator of a suspect lets one request at a time run alone."""

    def __init__(self) -> None:
        self._leases: dict[Fingerprint, tuple[HostId, RequestId, datetime]] = {}

    def grant(
        self, fingerprint: Fingerprint, entry: HostId, request: RequestId, now: datetime
    ) -> bool:
        """Grant or renew the lease for *request*; return whether it may run alone now."""
        lease = self._leases.get(fingerprint)
        if lease is not None and lease[:2] != (entry, request) and now < lease[2]:
            return False
        self._leases[fingerprint] = (entry, request, now + PROBE_LEASE_TIME)
        return True

    def end(self, fingerprint: Fingerprint, request: RequestId) -> None:
        """End the lease on *fingerprint* if *request* holds it."""
        lease = self._leases.get(fingerprint)
        if lease is not None and lease[1] == request:
            del self._leases[fingerprint]


def find_probe_coordinator(fingerprint: Fingerprint, entries: Iterable[HostId]) -> HostId:
    """Return the entry that grants probes of *fingerprint*, by rendezvous hashing.

    :param entries: the live entries.
    """

    def hash_host(host: HostId) -> bytes:
        return blake2b(f"{host}\0{fingerprint}".encode(), digest_size=8).digest()

    return max(entries, key=hash_host)
