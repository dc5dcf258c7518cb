"""States and kinds that a value can take."""

from __future__ import annotations

from enum import Enum


class HostRole(Enum):
    """What a daemon does."""

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
    """What is known of a request that did not finish."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class FinishReason(Enum):
    """Why a decode ended."""

    STOP = "stop"
    LENGTH = "length"


class HostState(Enum):
    """What the others hold of a host."""

    LIVE = "live"
    LEAVING = "leaving"
    LOST = "lost"


class Step(Enum):
    """Stage of a request's path at which something arose."""

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
    """What must always hold, one member a line of the brief."""

    NO_MEMORY_HELD = "no_memory_held"
    ANSWERED_ONCE = "answered_once"
    KEY_BOUND = "key_bound"
    RATE_KEPT = "rate_kept"
    WHOLE_ANSWER = "whole_answer"
    NOT_RUN_TRUE = "not_run_true"
    AT_MOST_ONCE = "at_most_once"
    LEAVING_NO_WORK = "leaving_no_work"
    STOP_CUTS_NONE = "stop_cuts_none"
    DOCUMENT_MONOTONE = "document_monotone"
