"""Simulated callers: what each one observes of its request, and when."""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from lavenderrun.bench._workload import Offered, OfferedCall
from lavenderrun.kernel import Clock
from lavenderrun.types import (
    CallerBegan,
    CallerFinished,
    CallerGone,
    CallerRefused,
    EventData,
    FinishReason,
    HostId,
    Outcome,
    Refusal,
    Refused,
    Repeatability,
    RequestId,
    Targets,
)

Emit = Callable[[HostId, EventData], None]

CALLERS = HostId("callers")
IDEMPOTENT = Repeatability.IDEMPOTENT


@dataclass
class Observation:
    """What a caller has observed of one request.

    :param sent: time of the first attempt.
    :param first: time of the first part of the answer.
    :param last: time of the last part of the answer.
    :param tokens: number of output tokens received, for a model request.
    :param gone: the caller's connection broke before the answer ended.
    """

    offered: Offered
    targets: Targets
    sent: datetime
    first: datetime | None = None
    last: datetime | None = None
    tokens: int = 0
    finished: bool = False
    refused: Refused | None = None
    gone: bool = False

    def is_lost(self) -> bool:
        """Tell whether an idempotent request got no answer and was not refused as not run."""
        offered = self.offered
        if isinstance(offered, OfferedCall) and offered.repeatability is not IDEMPOTENT:
            return False
        not_run = self.refused is not None and self.refused.outcome is Outcome.NOT_RUN
        return not self.finished and not not_run

    def is_good(self) -> bool:
        """Tell whether the request finished within both latency targets."""
        if not self.finished or self.first is None or self.last is None:
            return False
        if self.first - self.sent > self.targets.first_token:
            return False
        if isinstance(self.offered, OfferedCall) or self.tokens < 2:
            return True
        return (self.last - self.first) / (self.tokens - 1) <= self.targets.between_tokens


@dataclass
class Observations:
    """The observations of all callers of a run."""

    all: list[Observation] = field(default_factory=list)

    def count_refusals(self) -> Counter[Refusal]:
        """Return the number of refusals by reason."""
        return Counter(each.refused.refusal for each in self.all if each.refused is not None)


class CallerSink:
    """Sink through which a model answer or a plain reply reaches its caller after a delay."""

    def __init__(
        self,
        clock: Clock,
        delay: timedelta,
        emit: Emit,
        request: RequestId,
        observation: Observation,
    ) -> None:
        self.request = request
        self._clock = clock
        self._delay = delay
        self._emit = emit
        self._observation = observation
        self._digest = hashlib.blake2b(digest_size=8)
        self._open = True
        self.closed: Callable[[], object] = lambda: None

    @property
    def is_open(self) -> bool:
        """Whether the caller still waits for the end of the answer."""
        return self._open

    def put_tokens(self, tokens: list[str]) -> None:
        """Deliver output tokens of a model answer."""
        self._schedule(self._observe_tokens, tokens)

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Deliver status and headers of a plain reply."""
        del headers
        self._schedule(self._observe, str(status))

    def put_body(self, data: bytes) -> None:
        """Deliver a part of a plain reply's body."""
        self._schedule(self._observe, data.decode())

    def finish(self, reason: FinishReason | None = None) -> None:
        """Deliver the end of the answer."""
        del reason
        self._schedule(self._observe_end)

    def refuse(self, refused: Refused) -> None:
        """Deliver a refusal."""
        self._schedule(self._observe_refusal, refused)

    def hang_up(self) -> None:
        """Break the connection because the caller or the entry host is gone."""
        if self._open:
            self._open = False
            self.closed()
            self._observation.gone = True
            self._emit(CALLERS, CallerGone(self.request))

    def _schedule(self, call: Callable[..., None], *args: object) -> None:
        self._clock.call_later(self._delay, call, *args)

    def _observe_tokens(self, tokens: list[str]) -> None:
        self._observation.tokens += len(tokens)
        self._observe("".join(tokens))

    def _observe(self, text: str) -> None:
        now = self._clock.now()
        if self._observation.first is None:
            self._observation.first = now
            self._emit(CALLERS, CallerBegan(self.request))
        self._observation.last = now
        self._digest.update(text.encode())

    def _observe_end(self) -> None:
        self._emit_end(CallerFinished(self.request, self._digest.hexdigest()))
        self._observation.finished = True
        # an empty answer has no first part, so its end counts as one
        self._observation.first = self._observation.first or self._clock.now()
        self._observation.last = self._clock.now()

    def _observe_refusal(self, refused: Refused) -> None:
        self._emit_end(CallerRefused(self.request, refused))
        self._observation.refused = refused

    def _emit_end(self, data: EventData) -> None:
        # a second end is recorded too, so that the invariant check reports it
        if not self._observation.gone:
            self._emit(CALLERS, data)
        self._open = False
        self.closed()


def digest_answer(text: str) -> str:
    """Return the digest of a complete answer, as a caller computes it from the parts."""
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
