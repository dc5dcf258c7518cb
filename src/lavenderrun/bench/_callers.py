"""Callers: send what is offered, note what they see and when."""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from lavenderrun.bench._workload import Offered, OfferedCall
from lavenderrun.kernel import Clock
from lavenderrun.types import (
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
class Sighting:
    """What a caller has seen of one request.

    :param sent: when it was first sent.
    :param tokens: output tokens of a model request.
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
        """Tell whether a repeatable request got neither an answer nor a true "not run"."""
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
class Sightings:
    """All that the callers of a run have seen."""

    all: list[Sighting] = field(default_factory=list)

    def count_refusals(self) -> Counter[Refusal]:
        """Return how often each reason was given."""
        return Counter(each.refused.refusal for each in self.all if each.refused is not None)


class CallerSink:
    """Where one answer arrives at its caller; takes both kinds of answer."""

    def __init__(
        self, clock: Clock, delay: timedelta, emit: Emit, request: RequestId, sighting: Sighting
    ) -> None:
        self.request = request
        self._clock = clock
        self._delay = delay
        self._emit = emit
        self._sighting = sighting
        self._digest = hashlib.blake2b(digest_size=8)
        self._open = True
        self.closed: Callable[[], object] = lambda: None

    @property
    def is_open(self) -> bool:
        """Whether the caller still waits."""
        return self._open

    def put_tokens(self, tokens: list[str]) -> None:
        """Take tokens."""
        self._later(self._see_tokens, tokens)

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Take status and headers of a reply."""
        del headers
        self._later(self._see, str(status))

    def put_body(self, data: bytes) -> None:
        """Take a part of a reply's body."""
        self._later(self._see, data.decode())

    def finish(self, reason: FinishReason | None = None) -> None:
        """Take the end."""
        del reason
        self._later(self._see_end)

    def refuse(self, refused: Refused) -> None:
        """Take a refusal."""
        self._later(self._see_refusal, refused)

    def hang_up(self) -> None:
        """See nothing more; the caller or the entry host is gone."""
        if self._open:
            self._open = False
            self.closed()
            self._sighting.gone = True
            self._emit(CALLERS, CallerGone(self.request))

    def _later(self, call: Callable[..., None], *args: object) -> None:
        self._clock.call_later(self._delay, call, *args)

    def _see_tokens(self, tokens: list[str]) -> None:
        self._sighting.tokens += len(tokens)
        self._see("".join(tokens))

    def _see(self, text: str) -> None:
        now = self._clock.now()
        self._sighting.first = self._sighting.first or now
        self._sighting.last = now
        self._digest.update(text.encode())

    def _see_end(self) -> None:
        self._emit_end(CallerFinished(self.request, self._digest.hexdigest()))
        self._sighting.finished = True
        # an answer without a token is still an answer
        self._sighting.first = self._sighting.first or self._clock.now()
        self._sighting.last = self._clock.now()

    def _see_refusal(self, refused: Refused) -> None:
        self._emit_end(CallerRefused(self.request, refused))
        self._sighting.refused = refused

    def _emit_end(self, what: EventData) -> None:
        # a second end is emitted as well, for the invariant check to see
        if not self._sighting.gone:
            self._emit(CALLERS, what)
        self._open = False
        self.closed()


def digest_answer(text: str) -> str:
    """Return the digest of a whole answer as its caller takes it."""
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
