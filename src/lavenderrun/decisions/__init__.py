"""Pure policy: decisions over typed values, free of I/O, clock and randomness of their own."""

from __future__ import annotations

from lavenderrun.decisions._affinity import (
    PREFILL_PLACEMENTS,
    PrefillNeed,
    PrefillPlacement,
    PrefixIndex,
    hash_blocks,
)
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
from lavenderrun.decisions._placement import (
    PLACEMENTS,
    Candidate,
    Chance,
    Choice,
    Need,
    Placement,
    Reason,
    RejectedHost,
)
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
from lavenderrun.decisions._queue import QUEUE_POLICIES, FifoQueue, Job, JobKey, QueuePolicy
from lavenderrun.decisions._seats import SeatBook
from lavenderrun.decisions._sends import RecentSends
from lavenderrun.decisions._tombstones import Tombstones
from lavenderrun.decisions._transfers import LinkBudget

__all__ = [
    "PLACEMENTS",
    "PREFILL_PLACEMENTS",
    "PROMISE_POLICIES",
    "QUEUE_POLICIES",
    "Abort",
    "Candidate",
    "Chance",
    "Choice",
    "Compute",
    "Drop",
    "FairQueue",
    "FifoQueue",
    "Job",
    "JobKey",
    "LinkBudget",
    "Mean",
    "Need",
    "OutputLengths",
    "Placement",
    "PrefillAction",
    "PrefillBook",
    "PrefillNeed",
    "PrefillOrder",
    "PrefillPlacement",
    "PrefillSpeed",
    "PrefixIndex",
    "Promise",
    "PromisePolicy",
    "QueuePolicy",
    "Reason",
    "RecentSends",
    "RefusePrefill",
    "Reject",
    "RejectedHost",
    "Release",
    "Run",
    "SeatAction",
    "SeatBook",
    "SeatRequest",
    "SeatState",
    "Stop",
    "Tombstones",
    "hash_blocks",
]
