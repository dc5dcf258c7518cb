"""Pure policy of a gateway: which calls run, where, and what follows when they fail."""

from __future__ import annotations

from lavenderrun.dispatch._access import Access, HostRoutes, digest_key, judge_access
from lavenderrun.dispatch._health import HealthBook, MemberHealth
from lavenderrun.dispatch._leases import (
    FenceGate,
    LeaseKeeper,
    LeaseTerms,
    LeaseWrite,
    Peer,
    StoredLease,
)
from lavenderrun.dispatch._occupancy import Occupancy, Reserved
from lavenderrun.dispatch._placement import PLACEMENTS, Need, Placement, Sight, has_room
from lavenderrun.dispatch._quota import QuotaLedger
from lavenderrun.dispatch._resends import UNKNOWN_HOSTS, ResendBudget
from lavenderrun.dispatch._roles import RoleBalance, RoleChange
from lavenderrun.dispatch._suspects import SuspectBook, make_fingerprint
from lavenderrun.dispatch._verdicts import Attempted, Verdict, judge_attempt
from lavenderrun.dispatch._waiting import PATIENCE_MOST, Waiting, is_late, order_key

__all__ = [
    "PATIENCE_MOST",
    "PLACEMENTS",
    "UNKNOWN_HOSTS",
    "Access",
    "Attempted",
    "FenceGate",
    "HealthBook",
    "HostRoutes",
    "LeaseKeeper",
    "LeaseTerms",
    "LeaseWrite",
    "MemberHealth",
    "Need",
    "Occupancy",
    "Peer",
    "Placement",
    "QuotaLedger",
    "ResendBudget",
    "Reserved",
    "RoleBalance",
    "RoleChange",
    "Sight",
    "StoredLease",
    "SuspectBook",
    "Verdict",
    "Waiting",
    "digest_key",
    "has_room",
    "is_late",
    "judge_access",
    "judge_attempt",
    "make_fingerprint",
    "order_key",
]
