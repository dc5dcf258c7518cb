"""Pure policy of a gateway: which calls run, where, and what follows when they fail."""

from __future__ import annotations

from lavenderrun.dispatch._access import Access, HostRoutes, digest_key, judge_access
from lavenderrun.dispatch._health import HealthBook, MemberHealth
from lavenderrun.dispatch._occupancy import Occupancy, Reserved
from lavenderrun.dispatch._placement import PLACEMENTS, Need, Placement, Sight, has_room
from lavenderrun.dispatch._quota import QuotaLedger
from lavenderrun.dispatch._resends import ResendBudget
from lavenderrun.dispatch._verdicts import Attempted, Verdict, judge_attempt
from lavenderrun.dispatch._waiting import PATIENCE_MOST, Waiting, order_key

__all__ = [
    "PATIENCE_MOST",
    "PLACEMENTS",
    "Access",
    "Attempted",
    "HealthBook",
    "HostRoutes",
    "MemberHealth",
    "Need",
    "Occupancy",
    "Placement",
    "QuotaLedger",
    "ResendBudget",
    "Reserved",
    "Sight",
    "Verdict",
    "Waiting",
    "digest_key",
    "has_room",
    "judge_access",
    "judge_attempt",
    "order_key",
]
