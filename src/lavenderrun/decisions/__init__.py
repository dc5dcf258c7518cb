"""Decisions without I/O: time, randomness and input are arguments, decisions are results."""

from __future__ import annotations

from lavenderrun.decisions import _invariants_fleet as _invariants_fleet
from lavenderrun.decisions import _invariants_notices as _invariants_notices
from lavenderrun.decisions import _invariants_requests as _invariants_requests
from lavenderrun.decisions._admission import AdmissionIndex
from lavenderrun.decisions._answer_assembly import AnswerAssembly, AnswerProgress
from lavenderrun.decisions._assignment import Assignment, ModelRole, assign
from lavenderrun.decisions._attempt_history import AttemptHistory, RetryDecision, find_backoff
from lavenderrun.decisions._call_history import CallHistory
from lavenderrun.decisions._candidate_pool import CandidatePool
from lavenderrun.decisions._claims import (
    ClaimResult,
    classify_claim,
    may_dispatch,
    trusts_not_started,
)
from lavenderrun.decisions._decode_scheduler import DecodeScheduler
from lavenderrun.decisions._decode_slots import (
    CancelDecode,
    DecodeAction,
    DecodeSlotRequest,
    DecodeState,
    ForgetAttempt,
    PromiseSlot,
    RefuseDecode,
    StartDecode,
    count_kv_blocks,
)
from lavenderrun.decisions._document_changes import find_changes
from lavenderrun.decisions._estimates import PrefillTimeEstimator
from lavenderrun.decisions._fair_queue import FairQueue
from lavenderrun.decisions._freshness import (
    DocumentFreshness,
    FreshnessRules,
    choose_voters,
    has_majority,
)
from lavenderrun.decisions._invariants import INVARIANT_CHECKS, RecordIndex, Violation, check_record
from lavenderrun.decisions._keys import grant_key, withdraw_key
from lavenderrun.decisions._limit_policies import LIMIT_POLICIES
from lavenderrun.decisions._link_budget import LinkBudget
from lavenderrun.decisions._link_silence import (
    LinkSilence,
    find_link_patience,
    find_silent_after,
    weigh_link_silence,
)
from lavenderrun.decisions._membership import StaleRowDetector, choose_peer_addresses
from lavenderrun.decisions._orders import BlockedOrder, OrderPlanner, PlannedOrder
from lavenderrun.decisions._output_lengths import OutputLengths
from lavenderrun.decisions._placement import (
    PLACEMENTS,
    Candidate,
    Choice,
    Placement,
    PlacementRequirements,
    RandomSource,
    RejectedHost,
    RejectionReason,
    count_free,
)
from lavenderrun.decisions._prefill_placement import (
    PREFILL_PLACEMENTS,
    PrefillPlacement,
    PrefillRequirements,
    PrefixIndex,
    hash_blocks,
)
from lavenderrun.decisions._prefill_scheduler import (
    CancelPrefill,
    FreeExport,
    PrefillAction,
    PrefillRequest,
    PrefillScheduler,
    RefusePrefill,
    StartPrefill,
)
from lavenderrun.decisions._promises import PROMISE_POLICIES, PromisePolicy
from lavenderrun.decisions._prompt_texts import SharedTexts, find_texts
from lavenderrun.decisions._quarantine import (
    GUILTY_MEMORY,
    MAX_CRASHES,
    ProbeLeases,
    Quarantine,
    find_probe_coordinator,
    limit_age,
)
from lavenderrun.decisions._queue import QUEUE_POLICIES, FifoQueue, Job, JobKey, QueuePolicy
from lavenderrun.decisions._queue_weights import compute_queue_weights
from lavenderrun.decisions._rate_limiter import ChargeFailure, RateLimiter, RefundableCharge
from lavenderrun.decisions._rate_slice_views import (
    RateSliceTerms,
    RateSliceWrite,
    StoredRateSlice,
    make_rate_slice_ids,
)
from lavenderrun.decisions._rate_slices import RateSliceKeeper
from lavenderrun.decisions._recent_sends import RecentSends
from lavenderrun.decisions._retry_budget import RetryBudget
from lavenderrun.decisions._routes import find_plain_route
from lavenderrun.decisions._run_time import ALIVE_INTERVAL, SETTLE_TIME, RunTime
from lavenderrun.decisions._slice_holders import SliceHolders
from lavenderrun.decisions._tokens import estimate_tokens
from lavenderrun.decisions._tombstones import Tombstones
from lavenderrun.dispatch import (
    FencingGuard,
    HostIncarnation,
    LeaseKeeper,
    LeaseTerms,
    LeaseWrite,
    StoredLease,
    digest_key,
)

__all__ = [
    "ALIVE_INTERVAL",
    "GUILTY_MEMORY",
    "INVARIANT_CHECKS",
    "LIMIT_POLICIES",
    "MAX_CRASHES",
    "PLACEMENTS",
    "PREFILL_PLACEMENTS",
    "PROMISE_POLICIES",
    "QUEUE_POLICIES",
    "SETTLE_TIME",
    "AdmissionIndex",
    "AnswerAssembly",
    "AnswerProgress",
    "Assignment",
    "AttemptHistory",
    "BlockedOrder",
    "CallHistory",
    "CancelDecode",
    "CancelPrefill",
    "Candidate",
    "CandidatePool",
    "ChargeFailure",
    "Choice",
    "ClaimResult",
    "DecodeAction",
    "DecodeScheduler",
    "DecodeSlotRequest",
    "DecodeState",
    "DocumentFreshness",
    "FairQueue",
    "FencingGuard",
    "FifoQueue",
    "ForgetAttempt",
    "FreeExport",
    "FreshnessRules",
    "HostIncarnation",
    "Job",
    "JobKey",
    "LeaseKeeper",
    "LeaseTerms",
    "LeaseWrite",
    "LinkBudget",
    "LinkSilence",
    "ModelRole",
    "OrderPlanner",
    "OutputLengths",
    "Placement",
    "PlacementRequirements",
    "PlannedOrder",
    "PrefillAction",
    "PrefillPlacement",
    "PrefillRequest",
    "PrefillRequirements",
    "PrefillScheduler",
    "PrefillTimeEstimator",
    "PrefixIndex",
    "ProbeLeases",
    "PromisePolicy",
    "PromiseSlot",
    "Quarantine",
    "QueuePolicy",
    "RandomSource",
    "RateLimiter",
    "RateSliceKeeper",
    "RateSliceTerms",
    "RateSliceWrite",
    "RecentSends",
    "RecordIndex",
    "RefundableCharge",
    "RefuseDecode",
    "RefusePrefill",
    "RejectedHost",
    "RejectionReason",
    "RetryBudget",
    "RetryDecision",
    "RunTime",
    "SharedTexts",
    "SliceHolders",
    "StaleRowDetector",
    "StartDecode",
    "StartPrefill",
    "StoredLease",
    "StoredRateSlice",
    "Tombstones",
    "Violation",
    "assign",
    "check_record",
    "choose_peer_addresses",
    "choose_voters",
    "classify_claim",
    "compute_queue_weights",
    "count_free",
    "count_kv_blocks",
    "digest_key",
    "estimate_tokens",
    "find_backoff",
    "find_changes",
    "find_link_patience",
    "find_plain_route",
    "find_probe_coordinator",
    "find_silent_after",
    "find_texts",
    "grant_key",
    "has_majority",
    "hash_blocks",
    "limit_age",
    "make_rate_slice_ids",
    "may_dispatch",
    "trusts_not_started",
    "weigh_link_silence",
    "withdraw_key",
]
