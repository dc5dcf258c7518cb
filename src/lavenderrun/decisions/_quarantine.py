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
from typing import Any

import msgspec

from lavenderrun.decisions._decode_slots import ALONE
from lavenderrun.types import Fingerprint, HostId, QuarantineVerdict, RequestId, Strike, Suspect

MAX_CRASHES = 3
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
    """Strikes of one fingerprint, by request and attempt, and when each happened."""

    def __init__(self, last_strike_at: datetime) -> None:
        self.strikes: dict[tuple[str, int], tuple[Strike, datetime]] = {}
        self.last_strike_at = last_strike_at

    @property
    def is_guilty(self) -> bool:
        """Whether the strikes are as many as it takes to refuse the fingerprint."""
        return len(self.strikes) >= MAX_CRASHES

    @property
    def is_suspect(self) -> bool:
        """Whether the fingerprint is the likely cause of any crash."""
        return any(not strike.is_explained for strike, _ in self.strikes.values())

    def is_outdated(self, now: datetime) -> bool:
        """Tell whether the strikes no longer count at *now*."""
        memory = GUILTY_MEMORY if self.is_guilty else SUSPECT_MEMORY
        return now - self.last_strike_at > memory


class Quarantine:
    """Strikes by fingerprint; the same strikes give the same verdict on every host.

    After one crash a fingerprint is a suspect, which shares a backend server only with a few other
    suspects, and after a second crash with none. After :data:`MAX_CRASHES` crashes it is guilty.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[Fingerprint, _StrikeRecord] = OrderedDict()
        self._acquitted: OrderedDict[Fingerprint, datetime] = OrderedDict()

    def add_strike(self, strike: Strike, now: datetime) -> bool:
        """Record a strike; return whether it is new.

        Strikes on which the record has become too old when this one happens no longer count, nor
        do those that happened before the fingerprint was acquitted.
        """
        happened = now - limit_age(strike.age)
        acquitted = self._acquitted.get(strike.fingerprint)
        if acquitted is not None and happened <= acquitted:
            return False
        record = self._records.get(strike.fingerprint)
        if record is None or record.is_outdated(happened):
            record = self._records[strike.fingerprint] = _StrikeRecord(happened)
        key = (strike.request, strike.attempt)
        new = key not in record.strikes
        if new:
            record.strikes[key] = strike, happened
            record.last_strike_at = max(record.last_strike_at, happened)
        _drop_oldest(self._records, strike.fingerprint)
        return new

    def acquit(self, fingerprint: Fingerprint, age: timedelta, now: datetime) -> bool:
        """Drop the strikes before a fingerprint was acquitted; return whether there were any.

        :param age: time since then.
        """
        at = now - limit_age(age)
        at = max(at, self._acquitted.get(fingerprint, at))
        self._acquitted[fingerprint] = at
        _drop_oldest(self._acquitted, fingerprint)
        record = self._records.get(fingerprint)
        if record is None:
            return False
        later = {key: found for key, found in record.strikes.items() if found[1] > at}
        dropped = len(later) < len(record.strikes)
        record.strikes = later
        if not later:
            del self._records[fingerprint]
        return dropped

    def list_acquitted(self, now: datetime) -> list[tuple[Fingerprint, timedelta]]:
        """Return the fingerprints that were acquitted lately, with the time since then."""
        found = [(name, now - at) for name, at in self._acquitted.items()]
        return [(name, age) for name, age in found if age <= GUILTY_MEMORY]

    def find_verdict(self, fingerprint: Fingerprint, now: datetime) -> QuarantineVerdict:
        """Return the verdict on *fingerprint*; it is clear once its strikes are too old."""
        record = self._records.get(fingerprint)
        if record is None or record.is_outdated(now):
            return QuarantineVerdict.CLEAR
        if record.is_guilty:
            return QuarantineVerdict.GUILTY
        return QuarantineVerdict.SUSPECT if record.is_suspect else QuarantineVerdict.CLEAR

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
        return [] if record is None else [strike for strike, _ in record.strikes.values()]

    def list_strikes(self, now: datetime) -> list[Strike]:
        """Return the strikes of all fingerprints that count, each with its age."""
        return [
            strike
            for name, record in self._records.items()
            if not record.is_outdated(now)
            for strike in self.list_aged_strikes(name, now)
        ]

    def list_aged_strikes(self, fingerprint: Fingerprint, now: datetime) -> list[Strike]:
        """Return the strikes of *fingerprint*, each with its age."""
        record = self._records.get(fingerprint)
        return [
            msgspec.structs.replace(strike, age=now - at)
            for strike, at in (record.strikes.values() if record is not None else ())
        ]

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


def limit_age(age: timedelta) -> timedelta:
    """Return the age that another host tells, at most just over what counts."""
    return min(max(age, timedelta(0)), GUILTY_MEMORY + SUSPECT_MEMORY)


def _drop_oldest(entries: OrderedDict[Fingerprint, Any], newest: Fingerprint) -> None:
    entries.move_to_end(newest)
    while len(entries) > MAX_RECORDS:
        entries.popitem(last=False)


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
