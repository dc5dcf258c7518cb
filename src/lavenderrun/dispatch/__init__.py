"""Decisions of a gateway without I/O: which calls run, where, and what follows a failure."""

from __future__ import annotations

from lavenderrun.dispatch._access import Access, RouteIndex, authorize_call, digest_key
from lavenderrun.dispatch._attempt_decisions import (
    AttemptDecision,
    AttemptOutcome,
    decide_after_attempt,
)
from lavenderrun.dispatch._computations import PromptComputations, estimate_computation
from lavenderrun.dispatch._crashing_parts import (
    MAX_SHARED_PARTS,
    CrashingParts,
    PartReport,
    ServerCrash,
)
from lavenderrun.dispatch._departures import DepartureNotices
from lavenderrun.dispatch._health import BackendHealth, HealthTracker
from lavenderrun.dispatch._leases import (
    FencingGuard,
    HostIncarnation,
    LeaseKeeper,
    LeaseTerms,
    LeaseWrite,
    StoredLease,
)
from lavenderrun.dispatch._line_selection import LineSelection, LineTraits
from lavenderrun.dispatch._occupancy import FleetOccupancy, Reservations
from lavenderrun.dispatch._placement import (
    PLACEMENTS,
    CallRequirements,
    Placement,
    PlacementContext,
    has_capacity,
    has_decode_engine,
)
from lavenderrun.dispatch._queue_order import (
    MAX_QUEUE_WAIT,
    MIN_SERVICE_TIME,
    QueuedCall,
    can_start,
    make_sort_key,
    misses_objective,
)
from lavenderrun.dispatch._quota import QuotaLedger
from lavenderrun.dispatch._resends import ASSUMED_HOSTS, ResendBudget
from lavenderrun.dispatch._rests import ServerRests
from lavenderrun.dispatch._roles import RoleBalancer, RoleChange
from lavenderrun.dispatch._suspects import SuspectTracker, make_fingerprint
from lavenderrun.dispatch._unreached import UnreachedAddresses, find_return

__all__ = [
    "ASSUMED_HOSTS",
    "MAX_QUEUE_WAIT",
    "MAX_SHARED_PARTS",
    "MIN_SERVICE_TIME",
    "PLACEMENTS",
    "Access",
    "AttemptDecision",
    "AttemptOutcome",
    "BackendHealth",
    "CallRequirements",
    "CrashingParts",
    "DepartureNotices",
    "FencingGuard",
    "FleetOccupancy",
    "HealthTracker",
    "HostIncarnation",
    "LeaseKeeper",
    "LeaseTerms",
    "LeaseWrite",
    "LineSelection",
    "LineTraits",
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
    "UnreachedAddresses",
    "authorize_call",
    "can_start",
    "decide_after_attempt",
    "digest_key",
    "estimate_computation",
    "find_return",
    "has_capacity",
    "has_decode_engine",
    "make_fingerprint",
    "make_sort_key",
    "misses_objective",
]
