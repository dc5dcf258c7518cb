"""What a decode agent is asked for, what it decides, and the state of a seat."""

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
    """Return the pieces of KV cache that *tokens* take."""
    return ceil(tokens / KV_BLOCK_TOKENS)


class DecodeState(Enum):
    """Stage of an attempt at its decode agent."""

    WAITING = "waiting"
    PROMISED = "promised"
    READY = "ready"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class DecodeSlotRequest:
    """What an entry asks for.

    :param job: its place in the queue; the cost is in seat seconds.
    :param tokens: length of the prompt.
    :param lead: time that prefill and transfer are expected to take.
    :param cohort: runs only among so many suspects; zero for a request that is no suspect.
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
        """Return the pieces of KV cache that the attempt may come to hold."""
        return count_kv_blocks(self.tokens + self.max_tokens)


@dataclass(frozen=True, slots=True)
class PromiseSlot:
    """Tell the entry that it has a seat."""

    key: JobKey
    holder: HostId
    ready_in: timedelta


@dataclass(frozen=True, slots=True)
class RefuseDecode:
    """Tell the entry that the attempt is over and was not run."""

    key: JobKey
    holder: HostId
    refusal: Refusal
    retry_after: timedelta = ZERO


@dataclass(frozen=True, slots=True)
class StartDecode:
    """Begin the decode."""

    key: JobKey


@dataclass(frozen=True, slots=True)
class CancelDecode:
    """Cancel the decode; :meth:`DecodeScheduler.end` follows when the engine has freed the seat."""

    key: JobKey


@dataclass(frozen=True, slots=True)
class ForgetAttempt:
    """Forget an attempt that did not run."""

    key: JobKey


DecodeAction = PromiseSlot | RefuseDecode | StartDecode | CancelDecode | ForgetAttempt


class DecodeSlotLease:
    """A lease of a seat, or the wait for one."""

    __slots__ = ("begun", "expires", "holder", "orphaned", "request", "state", "tokens")

    def __init__(self, request: DecodeSlotRequest) -> None:
        self.request = request
        self.holder = request.holder
        self.state = DecodeState.WAITING
        self.expires: datetime | None = None
        self.orphaned: datetime | None = None
        self.begun: datetime | None = None
        self.tokens = 0

    def ends_at(self) -> datetime | None:
        """Return when the lease ends unless something happens."""
        if self.state is DecodeState.STOPPING:
            return None
        instants = [at for at in (self.expires, self.orphaned) if at is not None]
        return min(instants, default=None)
