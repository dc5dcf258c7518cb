"""States and kinds of values."""

from __future__ import annotations

from enum import Enum


class HostRole(Enum):
    """Role of a daemon."""

    ENTRY = "entry"
    AGENT = "agent"


class BackendRole(Enum):
    """What a backend server does."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class Repeatability(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


class Outcome(Enum):
    """What is known about a request that did not finish."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class FinishReason(Enum):
    """Why a decode ended."""

    STOP = "stop"
    LENGTH = "length"


class HostState(Enum):
    """How the other hosts see a host."""

    LIVE = "live"
    LEAVING = "leaving"
    LOST = "lost"


class Step(Enum):
    """Stage of a request at which a failure or refusal occurred."""

    ADMISSION = "admission"
    LIMIT = "limit"
    CLAIM = "claim"
    SEAT = "seat"
    PREFILL = "prefill"
    TRANSFER = "transfer"
    DECODE = "decode"
    CALL = "call"
    STORE = "store"
    LINK = "link"
    ORDER = "order"


class Invariant(Enum):
    """Properties that must always hold, one member for each requirement."""

    NO_MEMORY_HELD = "no_memory_held"
    ANSWERED_ONCE = "answered_once"
    KEY_BOUND = "key_bound"
    RATE_KEPT = "rate_kept"
    WHOLE_ANSWER = "whole_answer"
    NOT_RUN_TRUE = "not_run_true"
    AT_MOST_ONCE = "at_most_once"
    LEAVING_NO_WORK = "leaving_no_work"
    LEAVING_SERVER_LEFT_ALONE = "leaving_server_left_alone"
    REST_KEPT = "rest_kept"
    STOP_CUTS_NONE = "stop_cuts_none"
    DOCUMENT_MONOTONE = "document_monotone"
    BEGUN_NOT_CUT = "begun_not_cut"
