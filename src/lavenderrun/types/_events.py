"""Events of the record that logs, metrics and invariant checks read."""

from __future__ import annotations

from datetime import datetime
from enum import Enum
from typing import Any

import msgspec

from lavenderrun.types._ids import HostId


class EventKind(Enum):
    """What happened; the comment of each member names its fields."""

    REQUEST_ACCEPTED = "request_accepted"  # request, account, route, tokens, key_digest
    REQUEST_FINISHED = "request_finished"  # request, tokens, digest
    REQUEST_REFUSED = "request_refused"  # request, refusal, outcome
    REQUEST_CANCELLED = "request_cancelled"  # request
    SEAT_PROMISED = "seat_promised"  # request, attempt, backend
    SEAT_FREED = "seat_freed"  # request, attempt, backend
    PREFILL_STARTED = "prefill_started"  # request, attempt, backend, tokens
    PREFILL_DONE = "prefill_done"  # request, attempt, backend, tokens, cached
    PREFILL_USED = "prefill_used"  # request, attempt, tokens
    PREFILL_WASTED = "prefill_wasted"  # request, attempt, tokens
    BACKEND_RUN = "backend_run"  # request, attempt, backend, account, repeatability
    BACKEND_ENDED = "backend_ended"  # request, attempt, backend
    BACKEND_CRASHED = "backend_crashed"  # backend, fingerprints
    EXPORT_HELD = "export_held"  # request, attempt, backend
    EXPORT_FREED = "export_freed"  # request, attempt, backend
    TOKENS_GRANTED = "tokens_granted"  # account, requests, tokens
    TOKENS_RETURNED = "tokens_returned"  # account, requests, tokens
    DOCUMENT_IN_FORCE = "document_in_force"  # version
    KEY_WITHDRAWN = "key_withdrawn"  # key_digest, account
    HOST_LEAVING = "host_leaving"  # host
    ROUTED = "routed"  # request, chosen, rejected
    PLACED = "placed"  # model, backend, order


class Event(msgspec.Struct, frozen=True):
    """One thing that happened on one host.

    :param at: the emitting host's clock.
    :param fields: plain values by name; never a key or a body.
    """

    at: datetime
    host: HostId
    kind: EventKind
    fields: dict[str, Any]
