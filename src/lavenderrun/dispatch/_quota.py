"""Quotas of client accounts, summed over all hosts.

Each host keeps a copy of the fleet's bucket of every account. Its own charges are taken at once,
those of other hosts when their counters arrive. A host that has not been heard of for a while is
taken to use its equal share, so that the two sides of a partition keep the sum within the rate.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.types import AccountId, AccountQuota, BootId, HostId

SILENCE: Final = timedelta(seconds=1)
"""Four missed reports; a host that was silent for longer is reckoned at its share."""

DEBT_MOST: Final = timedelta(seconds=4)
"""Deepest debt of a bucket, as time at its rate; a late report must not lock an account out."""


@dataclass
class _Bucket:
    quota: AccountQuota
    level: float
    at: datetime


@dataclass
class _Peer:
    boot: BootId
    heard: datetime
    used: dict[AccountId, float]
    reckoned: dict[AccountId, float] = field(default_factory=dict)


class QuotaLedger:
    """Charges accounts against the fleet's quota as this host sees it."""

    def __init__(self) -> None:
        self._buckets: dict[AccountId, _Bucket] = {}
        self._peers: dict[HostId, _Peer] = {}
        self._used: dict[AccountId, float] = {}

    @property
    def used(self) -> Mapping[AccountId, float]:
        """Units that this host has charged since its start, by account."""
        return self._used

    def configure(self, quotas: Mapping[AccountId, AccountQuota], now: datetime) -> None:
        """Take the quotas in force; what was used of a bucket stays used."""
        buckets = {}
        for account, quota in quotas.items():
            old = self._refill(account, now)
            level = quota.burst
            if old is not None:
                level -= old.quota.burst - old.level
            buckets[account] = _Bucket(quota, level, now)
        self._buckets = buckets

    def keep_peers(self, hosts: Mapping[HostId, datetime]) -> None:
        """Reckon with exactly these other hosts.

        :param hosts: since when each is known.
        """
        for host in set(self._peers) - set(hosts):
            del self._peers[host]
        for host, since in hosts.items():
            self._peers.setdefault(host, _Peer(BootId(""), since, {}))

    def apply_peer_report(
        self, host: HostId, boot: BootId, used: Mapping[AccountId, float], now: datetime
    ) -> None:
        """Take another host's counters."""
        for account in self._buckets:
            self._refill(account, now)
        peer = self._peers.get(host)
        if peer is None or peer.boot != boot:
            # what it used before is unknown or was reckoned
            self._peers[host] = _Peer(boot, now, dict(used))
            return
        for account, bucket in self._buckets.items():
            fresh = used.get(account, 0.0) - peer.used.get(account, 0.0)
            reckoned = peer.reckoned.get(account, 0.0)
            bucket.level -= max(0.0, fresh - reckoned)
        self._peers[host] = _Peer(boot, now, dict(used))

    def charge(self, account: AccountId, cost: float, now: datetime) -> timedelta | None:
        """Take *cost* from the account's bucket.

        :returns: ``None`` when it was taken, else the time until it may be asked for again.
        """
        bucket = self._refill(account, now)
        if bucket is None:
            return None
        # a call larger than the burst is let in by a full bucket
        missing = min(cost, bucket.quota.burst) - bucket.level
        if missing > 0:
            return timedelta(seconds=missing / bucket.quota.rate)
        bucket.level -= cost
        self._used[account] = self._used.get(account, 0.0) + cost
        return None

    def left(self, now: datetime) -> dict[AccountId, float]:
        """Return the units in each account's bucket; below zero for a debt."""
        return {
            account: bucket.level
            for account in self._buckets
            if (bucket := self._refill(account, now)) is not None
        }

    def refund(self, account: AccountId, cost: float) -> None:
        """Return the charge of a call that was not run."""
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.level = min(bucket.quota.burst, bucket.level + cost)
            self._used[account] = max(0.0, self._used.get(account, 0.0) - cost)

    def _refill(self, account: AccountId, now: datetime) -> _Bucket | None:
        bucket = self._buckets.get(account)
        if bucket is None:
            return None
        passed = (now - bucket.at).total_seconds()
        gained = passed * bucket.quota.rate
        share = bucket.quota.rate / (len(self._peers) + 1)
        for peer in self._peers.values():
            silent = (now - max(peer.heard + SILENCE, bucket.at)).total_seconds()
            if silent > 0:
                taken = min(silent, passed) * share
                gained -= taken
                peer.reckoned[account] = peer.reckoned.get(account, 0.0) + taken
        floor = -DEBT_MOST.total_seconds() * bucket.quota.rate
        bucket.level = min(bucket.quota.burst, max(floor, bucket.level) + gained)
        bucket.at = now
        return bucket
