"""Decisions of a gateway without I/O: which calls run, where, and what follows a failure."""

from __future__ import annotations

from lavenderrun.dispatch._access import Access, RouteIndex, authorize_call, digest_key
from lavenderrun.dispatch._attempt_decisions import (
    AttemptDecision,
    AttemptOutcome,
    decide_after_attempt,
)
from lavenderrun.dispatch._call_durations import CallDurations
from lavenderrun.dispatch._computations import PromptComputations, estimate_computation
from lavenderrun.dispatch._crashing_parts import (
    MAX_SHARED_PARTS,
    CrashingParts,
    PartReport,
    ServerCrash,
)
from lavenderrun.dispatch._departures import DepartureNotices
from lavenderrun.dispatch._grace_period import GracePeriod
from lavenderrun.dispatch._health import BackendHealth, HealthTracker
from lavenderrun.dispatch._leases import (
    FencingGuard,
    HostIncarnation,
    LeaseKeeper,
    LeaseTerms,
    LeaseWrite,
    StoredLease,
)
from lavenderrun.dispatch._occupancy import FleetOccupancy, Reservations
from lavenderrun.dispatch._placement import (
    PLACEMENTS,
    CallRequirements,
    Placement,
    PlacementContext,
    has_capacity,
)
from lavenderrun.dispatch._queue_order import (
    MAX_QUEUE_WAIT,
    QueuedCall,
    make_sort_key,
    misses_objective,
)
from lavenderrun.dispatch._quota import QuotaLedger
from lavenderrun.dispatch._resends import ASSUMED_HOSTS, ResendBudget
from lavenderrun.dispatch._rests import ServerRests
from lavenderrun.dispatch._roles import RoleBalancer, RoleChange
from lavenderrun.dispatch._suspects import SuspectTracker, make_fingerprint

__all__ = [
    "ASSUMED_HOSTS",
    "MAX_QUEUE_WAIT",
    "MAX_SHARED_PARTS",
    "PLACEMENTS",
    "Access",
    "AttemptDecision",
    "AttemptOutcome",
    "BackendHealth",
    "CallDurations",
    "CallRequirements",
    "CrashingParts",
    "DepartureNotices",
    "FencingGuard",
    "FleetOccupancy",
    "GracePeriod",
    "HealthTracker",
    "HostIncarnation",
    "LeaseKeeper",
    "LeaseTerms",
    "LeaseWrite",
    "PartReport",
    "Placement",
    "PlacementContext",
    "PromptComputations",
    "QueuedCall",
    "QuotaLedger",
    "ResendBudget",
    "Reservations",
    "RoleBalancer",
    "RoleChange",
    "RouteIndex",
    "ServerCrash",
    "ServerRests",
    "StoredLease",
    "SuspectTracker",
    "authorize_call",
    "decide_after_attempt",
    "digest_key",
    "estimate_computation",
    "has_capacity",
    "make_fingerprint",
    "make_sort_key",
    "misses_objective",
]
