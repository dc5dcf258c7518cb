"""Pure policy: time, randomness and input come in as arguments, decisions go out."""

from __future__ import annotations

from lavenderrun.decisions import _invariants_fleet as _invariants_fleet
from lavenderrun.decisions import _invariants_requests as _invariants_requests
from lavenderrun.decisions._admission import AdmissionIndex
from lavenderrun.decisions._affinity import (
    PREFILL_PLACEMENTS,
    PrefillNeed,
    PrefillPlacement,
    PrefixIndex,
    hash_blocks,
)
from lavenderrun.decisions._assignment import Assignment, Place, assign
from lavenderrun.decisions._calls import CallLedger
from lavenderrun.decisions._changes import find_changes
from lavenderrun.decisions._claims import (
    ClaimVerdict,
    judge_claim,
    may_dispatch,
    trusts_not_started,
)
from lavenderrun.decisions._estimates import Mean, PrefillSpeed
from lavenderrun.decisions._fairqueue import FairQueue
from lavenderrun.decisions._freshness import Freshness, FreshnessRules, choose_voters, has_majority
from lavenderrun.decisions._holders import Holders
from lavenderrun.decisions._invariants import INVARIANT_CHECKS, RecordIndex, Violation, check_record
from lavenderrun.decisions._keys import grant_key, withdraw_key
from lavenderrun.decisions._leases import (
    Drop,
    Promise,
    Reject,
    Run,
    SeatAction,
    SeatRequest,
    SeatState,
    Stop,
    count_pieces,
)
from lavenderrun.decisions._lengths import OutputLengths
from lavenderrun.decisions._limit_policies import LIMIT_POLICIES
from lavenderrun.decisions._limits import FleetLimits, HeldCharge, Shortfall
from lavenderrun.decisions._membership import RowWatch, choose_dials
from lavenderrun.decisions._orders import Blocked, Orderer, PlannedOrder
from lavenderrun.decisions._placement import (
    PLACEMENTS,
    Candidate,
    Chance,
    Choice,
    Need,
    Placement,
    Reason,
    RejectedHost,
    count_free,
)
from lavenderrun.decisions._pool import Pool
from lavenderrun.decisions._prefills import (
    Abort,
    Compute,
    PrefillAction,
    PrefillBook,
    PrefillOrder,
    RefusePrefill,
    Release,
)
from lavenderrun.decisions._promises import PROMISE_POLICIES, PromisePolicy
from lavenderrun.decisions._quarantine import MAX_CRASHES, Probes, Quarantine, find_home
from lavenderrun.decisions._queue import QUEUE_POLICIES, FifoQueue, Job, JobKey, QueuePolicy
from lavenderrun.decisions._retries import RetryBudget
from lavenderrun.decisions._routes import find_plain_route
from lavenderrun.decisions._seats import SeatBook
from lavenderrun.decisions._sends import RecentSends
from lavenderrun.decisions._shares import find_shares
from lavenderrun.decisions._slot_views import SlotTerms, SlotWrite, StoredSlot, make_slots
from lavenderrun.decisions._slots import SlotKeeper
from lavenderrun.decisions._stream import Assembly, Progress
from lavenderrun.decisions._tokens import count_tokens
from lavenderrun.decisions._tombstones import Tombstones
from lavenderrun.decisions._transfers import LinkBudget
from lavenderrun.decisions._tries import AfterFailure, Tries, find_backoff
from lavenderrun.dispatch import (
    FenceGate,
    LeaseKeeper,
    LeaseTerms,
    LeaseWrite,
    Peer,
    StoredLease,
    digest_key,
)

__all__ = [
    "INVARIANT_CHECKS",
    "LIMIT_POLICIES",
    "MAX_CRASHES",
    "PLACEMENTS",
    "PREFILL_PLACEMENTS",
    "PROMISE_POLICIES",
    "QUEUE_POLICIES",
    "Abort",
    "AdmissionIndex",
    "AfterFailure",
    "Assembly",
    "Assignment",
    "Blocked",
    "CallLedger",
    "Candidate",
    "Chance",
    "Choice",
    "ClaimVerdict",
    "Compute",
    "Drop",
    "FairQueue",
    "FenceGate",
    "FifoQueue",
    "FleetLimits",
    "Freshness",
    "FreshnessRules",
    "HeldCharge",
    "Holders",
    "Job",
    "JobKey",
    "LeaseKeeper",
    "LeaseTerms",
    "LeaseWrite",
    "LinkBudget",
    "Mean",
    "Need",
    "Orderer",
    "OutputLengths",
    "Peer",
    "Place",
    "Placement",
    "PlannedOrder",
    "Pool",
    "PrefillAction",
    "PrefillBook",
    "PrefillNeed",
    "PrefillOrder",
    "PrefillPlacement",
    "PrefillSpeed",
    "PrefixIndex",
    "Probes",
    "Progress",
    "Promise",
    "PromisePolicy",
    "Quarantine",
    "QueuePolicy",
    "Reason",
    "RecentSends",
    "RecordIndex",
    "RefusePrefill",
    "Reject",
    "RejectedHost",
    "Release",
    "RetryBudget",
    "RowWatch",
    "Run",
    "SeatAction",
    "SeatBook",
    "SeatRequest",
    "SeatState",
    "Shortfall",
    "SlotKeeper",
    "SlotTerms",
    "SlotWrite",
    "Stop",
    "StoredLease",
    "StoredSlot",
    "Tombstones",
    "Tries",
    "Violation",
    "assign",
    "check_record",
    "choose_dials",
    "choose_voters",
    "count_free",
    "count_pieces",
    "count_tokens",
    "digest_key",
    "find_backoff",
    "find_changes",
    "find_home",
    "find_plain_route",
    "find_shares",
    "grant_key",
    "has_majority",
    "hash_blocks",
    "judge_claim",
    "make_slots",
    "may_dispatch",
    "trusts_not_started",
    "withdraw_key",
]
