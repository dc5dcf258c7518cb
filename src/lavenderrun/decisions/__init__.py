"""Pure policy: decisions over typed values, free of I/O, clock and randomness of their own."""

from __future__ import annotations

from lavenderrun.decisions._estimates import Mean, OutputLengths, PrefillSpeed
from lavenderrun.decisions._fairqueue import FairQueue
from lavenderrun.decisions._leases import (
    Drop,
    Promise,
    Reject,
    Run,
    SeatAction,
    SeatRequest,
    SeatState,
    Stop,
)
from lavenderrun.decisions._promises import PROMISE_POLICIES, PromisePolicy
from lavenderrun.decisions._queue import QUEUE_POLICIES, FifoQueue, Job, JobKey, QueuePolicy
from lavenderrun.decisions._seats import SeatBook
from lavenderrun.decisions._tombstones import Tombstones

__all__ = [
    "PROMISE_POLICIES",
    "QUEUE_POLICIES",
    "Drop",
    "FairQueue",
    "FifoQueue",
    "Job",
    "JobKey",
    "Mean",
    "OutputLengths",
    "PrefillSpeed",
    "Promise",
    "PromisePolicy",
    "QueuePolicy",
    "Reject",
    "Run",
    "SeatAction",
    "SeatBook",
    "SeatRequest",
    "SeatState",
    "Stop",
    "Tombstones",
]
