"""Quotas of client accounts over the whole fleet.

Each host keeps a copy of one token bucket for each account. It subtracts its own charges at once
and those of other hosts when their peer reports arrive. A host whose reports stop is assumed to
use an equal share of the rate, so that both sides of a network partition together stay within it.
What it did not use is given back with its next report. A new process of the host does not know what
the one before used, so only what was withheld since that one is known to have ended is given back,
and only if no process ran between the two.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from itertools import takewhile
from typing import Final

from lavenderrun.types import AccountId, AccountQuota, BootId, HostId

PEER_TIMEOUT: Final = timedelta(seconds=1)
"""Default time without a peer report after which a host's use is estimated."""

NO_BOOT: Final = BootId("")
"""Stands for the id of a start that is not known."""

MAX_DEBT: Final = timedelta(seconds=4)
"""Largest debt of a bucket, as refill time; a late peer report must not block an account longer."""


@dataclass
class _AccountBucket:
    """Token bucket of one account.

    :param level: units left when it was last updated; negative for a debt.
    """

    quota: AccountQuota
    level: float
    updated: datetime


@dataclass
class _PeerUsage:
    """What another host has used.

    :param boot: id of its present start; ``NO_BOOT`` before its first peer report.
    :param last_report: time of its last peer report.
    :param used: units charged by account, as of that report.
    :param estimated: units that it is assumed to have used since, by account.
    :param withheld: those among them that the bucket lacks now; a full bucket lacks none, and a
        forgiven debt is lacking no more.
    :param estimated_to_end: what was estimated until its process was known to have ended, ``None``
        while it may still run. What was withheld until then is no longer in ``withheld``.
    """

    boot: BootId
    last_report: datetime
    used: dict[AccountId, float]
    estimated: dict[AccountId, float] = field(default_factory=dict)
    withheld: dict[AccountId, float] = field(default_factory=dict)
    estimated_to_end: dict[AccountId, float] | None = None

    def begin_process(self) -> None:
        """Count from zero what a new process reports, after the one before has ended."""
        ended = self.estimated_to_end or {}
        self.used = {}
        self.estimated = {
            account: units - ended.get(account, 0.0) for account, units in self.estimated.items()
        }


class QuotaLedger:
    """Charges client accounts against their fleet-wide quotas, by the use known to this host."""

    def __init__(self) -> None:
        self._buckets: dict[AccountId, _AccountBucket] = {}
        # in order of their last peer reports, so that silent ones come first
        self._peers: dict[HostId, _PeerUsage] = {}
        self._peer_timeout = PEER_TIMEOUT
        self._used: dict[AccountId, float] = {}

    @property
    def used(self) -> Mapping[AccountId, float]:
        """Units charged by this host since its start, by account."""
        return self._used

    def configure(self, quotas: Mapping[AccountId, AccountQuota], now: datetime) -> None:
        """Replace the quotas; units already used of a bucket stay used."""
        buckets = {}
        for account, quota in quotas.items():
            old = self._refill(account, now)
            level = quota.burst
            if old is not None:
                level -= old.quota.burst - old.level
            buckets[account] = _AccountBucket(quota, level, now)
        self._buckets = buckets

    def set_peers(self, hosts: Mapping[HostId, datetime]) -> None:
        """Set which other hosts share the quotas.

        :param hosts: since when each host has been known, or silent.
        """
        for host in [host for host in self._peers if host not in hosts]:
            del self._peers[host]
        for host, since in hosts.items():
            self._peers.setdefault(host, _PeerUsage(NO_BOOT, since, {}))
        self._peers = dict(sorted(self._peers.items(), key=lambda item: item[1].last_report))

    def set_peer_timeout(self, timeout: timedelta) -> None:
        """Set the time without a peer report after which a host's use is estimated."""
        self._peer_timeout = timeout

    def apply_peer_report(
        self,
        host: HostId,
        boot: BootId,
        used: Mapping[AccountId, float],
        now: datetime,
        previous: BootId = NO_BOOT,
    ) -> None:
        """Subtract what another host has charged since its last peer report.

        :param used: units charged by that host since its start, by account.
        :param previous: id of the host's start before this one, ``NO_BOOT`` when unknown.
        """
        peer = self._peers.get(host)
        if peer is not None and now > peer.last_report + self._peer_timeout:
            # its estimated use up to now counts before its report ends the estimate
            for account in self._buckets:
                self._refill(account, now)
        self._peers.pop(host, None)
        self._peers[host] = _PeerUsage(boot, now, dict(used))
        if peer is None:
            return
        if peer.boot != boot:
            is_next = peer.boot != NO_BOOT and peer.boot == previous
            if not is_next or peer.estimated_to_end is None:
                # its earlier use is unknown or already estimated
                return
            peer.begin_process()
        # what was withheld for an account that the host never charged is given back, too
        for account in {**used, **peer.withheld}:
            units = used.get(account, peer.used.get(account, 0.0))
            if units == peer.used.get(account) and account not in peer.estimated:
                continue
            bucket = self._refill(account, now)
            if bucket is not None:
                reported = units - peer.used.get(account, 0.0)
                estimated = peer.estimated.get(account, 0.0)
                # less than before is a refund, and so is what was estimated too high
                unused = max(0.0, peer.withheld.get(account, 0.0) - reported)
                charged = max(0.0, reported - estimated) - unused if estimated else reported
                bucket.level = min(bucket.quota.burst, bucket.level - charged)

    def note_end(self, host: HostId, now: datetime) -> None:
        """Record that the process of a silent host is known to have ended by *now*.

        What it may have used before stays charged. A share is withheld on, as another process may
        have started; its first report tells exactly what the host used since *now*.
        """
        peer = self._peers.get(host)
        if peer is None or peer.estimated_to_end is not None:
            return
        for account in self._buckets:
            self._refill(account, now)
        peer.estimated_to_end = dict(peer.estimated)
        peer.withheld = dict.fromkeys(peer.withheld, 0.0)

    def charge(self, account: AccountId, cost: float, now: datetime) -> timedelta | None:
        """Take *cost* units from the account's bucket.

        :returns: ``None`` when they were taken, else the time until they are available.
        """
        bucket = self._refill(account, now)
        if bucket is None:
            return None
        # a call larger than the burst could never run otherwise: a full bucket admits it
        missing = min(cost, bucket.quota.burst) - bucket.level
        if missing > 0:
            return timedelta(seconds=missing / bucket.quota.rate)
        bucket.level -= cost
        self._used[account] = self._used.get(account, 0.0) + cost
        return None

    def list_remaining(self, now: datetime) -> dict[AccountId, float]:
        """Return the units left in each account's bucket; negative for a debt."""
        return {
            account: bucket.level
            for account in self._buckets
            if (bucket := self._refill(account, now)) is not None
        }

    def refund(self, account: AccountId, cost: float) -> None:
        """Credit the account with the units charged for a call that did not run."""
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.level = min(bucket.quota.burst, bucket.level + cost)
            self._used[account] = max(0.0, self._used.get(account, 0.0) - cost)

    def _refill(self, account: AccountId, now: datetime) -> _AccountBucket | None:
        bucket = self._buckets.get(account)
        if bucket is None:
            return None
        elapsed = (now - bucket.updated).total_seconds()
        gained = elapsed * bucket.quota.rate
        peer_rate = bucket.quota.rate / (len(self._peers) + 1)
        silent = list(takewhile(lambda p: self._is_silent(p, now), self._peers.values()))
        for peer in silent:
            silent_since = peer.last_report + self._peer_timeout
            silent_seconds = (now - max(silent_since, bucket.updated)).total_seconds()
            taken = min(silent_seconds, elapsed) * peer_rate
            gained -= taken
            for sums in (peer.estimated, peer.withheld):
                sums[account] = sums.get(account, 0.0) + taken
        floor = -MAX_DEBT.total_seconds() * bucket.quota.rate
        forgiven = max(0.0, floor - bucket.level)
        bucket.level = min(bucket.quota.burst, max(floor, bucket.level) + gained)
        bucket.updated = now
        withheld = sum(peer.withheld[account] for peer in silent)
        lacking = bucket.quota.burst - bucket.level
        _bound_withheld(silent, account, min(lacking, max(0.0, withheld - forgiven)))
        return bucket

    def _is_silent(self, peer: _PeerUsage, now: datetime) -> bool:
        return peer.last_report + self._peer_timeout < now


def _bound_withheld(silent: Sequence[_PeerUsage], account: AccountId, most: float) -> None:
    """Reduce what was withheld for silent hosts to *most* units together."""
    withheld = sum(peer.withheld[account] for peer in silent)
    if withheld > most:
        for peer in silent:
            peer.withheld[account] *= most / withheld
