"""Decisions of a gateway without I/O: which calls run, where, and what follows a failure."""

from __future__ import annotations

from lavenderrun.dispatch._access import (
    LOWEST_RANK,
    Access,
    RouteIndex,
    authorize_call,
    digest_key,
)
from lavenderrun.dispatch._acknowledgements import AcknowledgementTracker, SendState
from lavenderrun.dispatch._answer_pace import AnswerPace
from lavenderrun.dispatch._attempt_decisions import (
    AttemptDecision,
    AttemptOutcome,
    decide_after_attempt,
)
from lavenderrun.dispatch._call_durations import CallDurations
from lavenderrun.dispatch._call_shares import CallShares
from lavenderrun.dispatch._call_silence import (
    CallSilence,
    HedgeVerdict,
    ServiceSilence,
    decide_on_hedge,
    find_certainty,
)
from lavenderrun.dispatch._cold_servers import ColdServers, ColdSource, find_call_rate
from lavenderrun.dispatch._computations import PromptComputations, estimate_computation
from lavenderrun.dispatch._crash_evidence import ServerCrash, keep_newest
from lavenderrun.dispatch._crashing_parts import MAX_SHARED_PARTS, CrashingParts, PartReport
from lavenderrun.dispatch._crashing_texts import CrashingTexts, TextReport
from lavenderrun.dispatch._decode_holds import (
    DEFAULT_HOLD_POLICY,
    HOLD_POLICIES,
    HoldPolicy,
    HoldRefusals,
    HoldSituation,
    choose_hold_lifetime,
    has_lapsed,
)
from lavenderrun.dispatch._departures import DepartureNotice, DepartureNotices
from lavenderrun.dispatch._evacuations import EvacuationNotice, Evacuations
from lavenderrun.dispatch._fleet_demand import (
    ARRIVAL_WINDOW,
    NO_DEMAND,
    ArrivalWindow,
    Demand,
    FleetDemand,
    RankedDemand,
    expect_arrivals,
)
from lavenderrun.dispatch._grace_period import GracePeriod
from lavenderrun.dispatch._health import BackendHealth, HealthTracker
from lavenderrun.dispatch._held_bytes import SMALL_BYTES, ByteHolder, HeldBytes, HolderKind
from lavenderrun.dispatch._host_groups import (
    MAX_DIRECT_HOSTS,
    MAX_GROUP_HOSTS,
    NO_DATA_CENTRE,
    TAKEOVER_AFTER,
    AggregatorChoice,
    GroupPlan,
    HostGroup,
)
from lavenderrun.dispatch._leases import (
    NO_FENCING,
    FencingGuard,
    HostIncarnation,
    LeaseKeeper,
    LeaseTerms,
    LeaseWrite,
    StoredLease,
)
from lavenderrun.dispatch._limit_history import TimeLimitHistory
from lavenderrun.dispatch._line_selection import LineSelection, LineTraits
from lavenderrun.dispatch._notices import NoticeKind, ServerNotice, list_notices
from lavenderrun.dispatch._occupancy import FleetOccupancy
from lavenderrun.dispatch._placement import (
    PLACEMENTS,
    CallRequirements,
    Placement,
    PlacementContext,
    count_free_places,
    has_capacity,
    has_decode_engine,
)
from lavenderrun.dispatch._plain_loads import ExpectedLoad, PlainLoads
from lavenderrun.dispatch._prefix_reuse import ComputedPrompt, PrefixReuse
from lavenderrun.dispatch._queue_order import (
    MAX_QUEUE_WAIT,
    MIN_SERVICE_TIME,
    QueuedCall,
    can_start,
    find_rank,
    make_sort_key,
    misses_objective,
    needs_own_engine,
)
from lavenderrun.dispatch._quota import NO_BOOT, QuotaLedger
from lavenderrun.dispatch._resends import ASSUMED_HOSTS, ResendBudget
from lavenderrun.dispatch._reservation_changes import (
    RecentChanges,
    ReservationChanges,
    Reservations,
)
from lavenderrun.dispatch._rests import ServerRests
from lavenderrun.dispatch._returning_calls import ReturningCalls
from lavenderrun.dispatch._role_orders import MAX_ROLE_CHANGE_TIME, RoleOrder, RoleOrders
from lavenderrun.dispatch._role_work import FleetWork, RoleBacklog, RoleWork, measure_backlog
from lavenderrun.dispatch._roles import RoleBalancer, RoleChange
from lavenderrun.dispatch._silence import (
    EXPECTED_FACTOR,
    MIN_SUSPICION,
    QUIET_SHARE,
    REVIEW_PAUSE,
    EngineEvidence,
    SilenceDecision,
    SilenceEvidence,
    SilenceLimits,
    SilenceVerdict,
    decide_on_silence,
    find_patience,
    find_retry_pause,
    find_silence_limits,
    keeps_silent_engine,
)
from lavenderrun.dispatch._silence_tracker import SilenceTracker
from lavenderrun.dispatch._soft_state import (
    NO_SUMS,
    SUM_RULES,
    VALUE_WIDTHS,
    ServiceWork,
    SoftState,
    SumKey,
    SumKind,
    Sums,
    age_sums,
    combine_sums,
    list_sums,
    read_sums,
    subtract_sums,
)
from lavenderrun.dispatch._store_eras import EraVerdict, StoreEras
from lavenderrun.dispatch._stream_decisions import (
    RESENDS,
    CacheState,
    StreamDecision,
    StreamSituation,
    decide_after_stream_attempt,
)
from lavenderrun.dispatch._sum_aggregator import GroupSum, SumAggregator
from lavenderrun.dispatch._sum_assembler import SumAssembler, SumStamp
from lavenderrun.dispatch._sum_receiver import SumReceiver
from lavenderrun.dispatch._suspects import CallReport, SuspectTracker, make_fingerprint
from lavenderrun.dispatch._suspension_series import (
    MAX_SUSPENSIONS,
    SERIES_END,
    SuspensionSeries,
)
from lavenderrun.dispatch._text_probes import TextProbes
from lavenderrun.dispatch._unreached import UnreachedAddresses, find_return
from lavenderrun.dispatch._wait_forecast import (
    DEFAULT_REJECTION_POLICY,
    REJECTION_POLICIES,
    RETURN_SPREAD_SHARE,
    HoldTimes,
    WaitForecast,
    advise_wait,
    measure_room,
)
from lavenderrun.dispatch._waiting_order import WaitingCall, choose_next

__all__ = [
    "ARRIVAL_WINDOW",
    "ASSUMED_HOSTS",
    "DEFAULT_HOLD_POLICY",
    "DEFAULT_REJECTION_POLICY",
    "EXPECTED_FACTOR",
    "HOLD_POLICIES",
    "LOWEST_RANK",
    "MAX_DIRECT_HOSTS",
    "MAX_GROUP_HOSTS",
    "MAX_QUEUE_WAIT",
    "MAX_ROLE_CHANGE_TIME",
    "MAX_SHARED_PARTS",
    "MAX_SUSPENSIONS",
    "MIN_SERVICE_TIME",
    "MIN_SUSPICION",
    "NO_BOOT",
    "NO_DATA_CENTRE",
    "NO_DEMAND",
    "NO_FENCING",
    "NO_SUMS",
    "PLACEMENTS",
    "QUIET_SHARE",
    "REJECTION_POLICIES",
    "RESENDS",
    "RETURN_SPREAD_SHARE",
    "REVIEW_PAUSE",
    "SERIES_END",
    "SMALL_BYTES",
    "SUM_RULES",
    "TAKEOVER_AFTER",
    "VALUE_WIDTHS",
    "Access",
    "AcknowledgementTracker",
    "AggregatorChoice",
    "AnswerPace",
    "ArrivalWindow",
    "AttemptDecision",
    "AttemptOutcome",
    "BackendHealth",
    "ByteHolder",
    "CacheState",
    "CallDurations",
    "CallReport",
    "CallRequirements",
    "CallShares",
    "CallSilence",
    "ColdServers",
    "ColdSource",
    "ComputedPrompt",
    "CrashingParts",
    "CrashingTexts",
    "Demand",
    "DepartureNotice",
    "DepartureNotices",
    "EngineEvidence",
    "EraVerdict",
    "EvacuationNotice",
    "Evacuations",
    "ExpectedLoad",
    "FencingGuard",
    "FleetDemand",
    "FleetOccupancy",
    "FleetWork",
    "GracePeriod",
    "GroupPlan",
    "GroupSum",
    "HealthTracker",
    "HedgeVerdict",
    "HeldBytes",
    "HoldPolicy",
    "HoldRefusals",
    "HoldSituation",
    "HoldTimes",
    "HolderKind",
    "HostGroup",
    "HostIncarnation",
    "LeaseKeeper",
    "LeaseTerms",
    "LeaseWrite",
    "LineSelection",
    "LineTraits",
    "NoticeKind",
    "PartReport",
    "Placement",
    "PlacementContext",
    "PlainLoads",
    "PrefixReuse",
    "PromptComputations",
    "QueuedCall",
    "QuotaLedger",
    "RankedDemand",
    "RecentChanges",
    "ResendBudget",
    "ReservationChanges",
    "Reservations",
    "ReturningCalls",
    "RoleBacklog",
    "RoleBalancer",
    "RoleChange",
    "RoleOrder",
    "RoleOrders",
    "RoleWork",
    "RouteIndex",
    "SendState",
    "ServerCrash",
    "ServerNotice",
    "ServerRests",
    "ServiceSilence",
    "ServiceWork",
    "SilenceDecision",
    "SilenceEvidence",
    "SilenceLimits",
    "SilenceTracker",
    "SilenceVerdict",
    "SoftState",
    "StoreEras",
    "StoredLease",
    "StreamDecision",
    "StreamSituation",
    "SumAggregator",
    "SumAssembler",
    "SumKey",
    "SumKind",
    "SumReceiver",
    "SumStamp",
    "Sums",
    "SuspectTracker",
    "SuspensionSeries",
    "TextProbes",
    "TextReport",
    "TimeLimitHistory",
    "UnreachedAddresses",
    "WaitForecast",
    "WaitingCall",
    "advise_wait",
    "age_sums",
    "authorize_call",
    "can_start",
    "choose_hold_lifetime",
    "choose_next",
    "combine_sums",
    "count_free_places",
    "decide_after_attempt",
    "decide_after_stream_attempt",
    "decide_on_hedge",
    "decide_on_silence",
    "digest_key",
    "estimate_computation",
    "expect_arrivals",
    "find_call_rate",
    "find_certainty",
    "find_patience",
    "find_rank",
    "find_retry_pause",
    "find_return",
    "find_silence_limits",
    "has_capacity",
    "has_decode_engine",
    "has_lapsed",
    "keep_newest",
    "keeps_silent_engine",
    "list_notices",
    "list_sums",
    "make_fingerprint",
    "make_sort_key",
    "measure_backlog",
    "measure_room",
    "misses_objective",
    "needs_own_engine",
    "read_sums",
    "subtract_sums",
]
