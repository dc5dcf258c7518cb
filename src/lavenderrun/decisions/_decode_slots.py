"""Requests for decode slots, the actions that a decode agent takes, and leases of slots."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum
from math import ceil

from lavenderrun.decisions._queue import Job, JobKey
from lavenderrun.types import HostId, Refusal, RouteName

KV_BLOCK_TOKENS = 1000
ZERO = timedelta(0)


def count_kv_blocks(tokens: int) -> int:
    """Return the number of KV blocks that *tokens* fill."""
    return ceil(tokens / KV_BLOCK_TOKENS)


class DecodeState(Enum):
    """State of an attempt at its decode agent.

    :cvar WAITING: queued for a slot.
    :cvar PROMISED: a slot is promised; the export is not ready.
    :cvar READY: the export is ready; the slot may still be in use.
    :cvar RUNNING: the engine runs the decode.
    :cvar STOPPING: the decode is cancelled; the engine has not freed the slot.
    """

    WAITING = "waiting"
    PROMISED = "promised"
    READY = "ready"
    RUNNING = "running"
    STOPPING = "stopping"


ALONE = 1
"""Cohort of a suspect that runs without any other request."""


@dataclass(frozen=True, slots=True)
class DecodeSlotRequest:
    """Request of an entry for a decode slot.

    :param job: the queued job; its cost is in slot seconds.
    :param tokens: tokens of the prompt.
    :param max_tokens: most tokens of the answer.
    :param lead: time that prefill and transfer are expected to take.
    :param cohort: most suspects without output, this one included, that may be on the engine
        together, :data:`ALONE` for one that runs without any other request; zero for a request that
        is not a suspect.
    :param holder: the entry.
    """

    job: Job
    route: RouteName
    tokens: int
    max_tokens: int
    lead: timedelta
    cohort: int
    holder: HostId

    @property
    def kv_blocks(self) -> int:
        """Return the most KV blocks that the attempt may fill."""
        return count_kv_blocks(self.tokens + self.max_tokens)


@dataclass(frozen=True, slots=True)
class PromiseSlot:
    """Tell the entry that a decode slot is promised to the attempt.

    :param ready_in: time until the slot is expected to be free.
    """

    key: JobKey
    holder: HostId
    ready_in: timedelta


@dataclass(frozen=True, slots=True)
class RefuseDecode:
    """Tell the entry that the attempt has ended without being run."""

    key: JobKey
    holder: HostId
    refusal: Refusal
    retry_after: timedelta = ZERO


@dataclass(frozen=True, slots=True)
class StartDecode:
    """Start the decode on the engine."""

    key: JobKey


@dataclass(frozen=True, slots=True)
class CancelDecode:
    """Cancel the decode; the agent calls :meth:`DecodeScheduler.end` once its slot is free."""

    key: JobKey


@dataclass(frozen=True, slots=True)
class ForgetAttempt:
    """Drop the state of an attempt that was not run."""

    key: JobKey


DecodeAction = PromiseSlot | RefuseDecode | StartDecode | CancelDecode | ForgetAttempt


class DecodeSlotLease:
    """Lease of a decode slot, or a request that waits for one.

    :ivar cohort: that of the request while the attempt is a suspect on its engine, then zero.
    :ivar waits_since: when the request for the slot came.
    :ivar expires: when a lease that is not running ends, ``None`` while waiting or running.
    :ivar orphaned: when a running decode whose entry is lost is cancelled, ``None`` otherwise.
    :ivar started_at: start of the decode on the engine.
    :ivar tokens: tokens of the answer so far.
    """

    __slots__ = (
        "cohort",
        "expires",
        "holder",
        "orphaned",
        "request",
        "started_at",
        "state",
        "tokens",
        "waits_since",
    )

    def __init__(self, request: DecodeSlotRequest, now: datetime) -> None:
        self.request = request
        self.cohort = request.cohort
        self.waits_since = now
        self.holder = request.holder
        self.state = DecodeState.WAITING
        self.expires: datetime | None = None
        self.orphaned: datetime | None = None
        self.started_at: datetime | None = None
        self.tokens = 0

    def find_end(self) -> datetime | None:
        """Return when the lease ends on its own, ``None`` while it has no time limit."""
        if self.state is DecodeState.STOPPING:
            return None
        instants = [at for at in (self.expires, self.orphaned) if at is not None]
        return min(instants, default=None)
