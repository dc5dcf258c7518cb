"""Messages, values and protocol of the quarantine for requests that crash backend servers."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from datetime import datetime, timedelta
from enum import Enum
from typing import Protocol

import msgspec
from twisted.internet.defer import Deferred

from lavenderrun.types._ids import (
    AccountId,
    AttemptId,
    Fingerprint,
    Incarnation,
    PartId,
    RequestId,
    RouteName,
    TextId,
)
from lavenderrun.types._messages import Message, message


class QuarantineVerdict(Enum):
    """Whether requests with a fingerprint are held responsible for crashes."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    GUILTY = "guilty"


class Suspect(msgspec.Struct, frozen=True):
    """A suspected fingerprint as shown to operators.

    :param strikes: number of crashes of backend servers while they ran it.
    """

    fingerprint: Fingerprint
    account: AccountId | None
    route: RouteName
    strikes: int
    verdict: QuarantineVerdict


@message("strike")
class Strike(Message, tag="strike", frozen=True):
    """A backend server crashed while it ran an attempt; entries send this to one another.

    :param had_begun: the attempt had begun to be answered, so another one is more likely the cause.
    :param age: time since the crash, when the strike is passed on.
    :param others_unanswered: how many other attempts on the server had not begun to be answered,
        ``None`` if it is not known.
    """

    fingerprint: Fingerprint
    request: RequestId
    attempt: AttemptId
    account: AccountId | None
    route: RouteName
    had_begun: bool = False
    age: timedelta = timedelta(0)
    others_unanswered: int | None = None

    @property
    def is_explained(self) -> bool:
        """Whether an attempt on the same server is a more likely cause of its crash."""
        return self.had_begun and bool(self.others_unanswered)


@message("acquitted")
class Acquitted(Message, tag="acquitted", frozen=True):
    """The fingerprint ran to its end, or an operator released it; its strikes are deleted.

    :param age: time since then, when it is passed on.
    """

    fingerprint: Fingerprint
    age: timedelta = timedelta(0)


@message("probe_ask")
class ProbeRequest(Message, tag="probe_ask", frozen=True):
    """An entry asks the coordinator of a suspected fingerprint for permission to run it."""

    fingerprint: Fingerprint
    request: RequestId


@message("probe_answer")
class ProbeAnswer(Message, tag="probe_answer", frozen=True):
    """The coordinator's answer to a probe request; an entry without permission asks again later."""

    fingerprint: Fingerprint
    request: RequestId
    granted: bool


@message("probe_end")
class ProbeEnd(Message, tag="probe_end", frozen=True):
    """An entry tells the coordinator that its probe of a suspected fingerprint has ended."""

    fingerprint: Fingerprint
    request: RequestId


@message("part_evidence")
class PartEvidence(Message, tag="part_evidence", frozen=True):
    """What an entry knows of parts of prompts that may crash backend servers; times in seconds ago.

    The fields on texts are a part of this message, as earlier releases close a link on which a
    message of an unknown kind comes.

    :param crashes: for each part the lost attempts, with when each was sent and when it was lost.
    :param answered: parts with which a request began to be answered.
    :param text_crashes: the lost attempts, with when each was sent and when it was lost, and the
        texts inside its prompt that may be the cause.
    :param text_answered: texts inside prompts with which a request began to be answered.
    """

    crashes: Mapping[PartId, Sequence[tuple[Incarnation, float, float]]] = {}
    answered: Mapping[PartId, float] = {}
    text_crashes: Sequence[tuple[Incarnation, float, float, Sequence[TextId]]] = ()
    text_answered: Mapping[TextId, float] = {}


class PromptTexts(Protocol):
    """What prompts may share: whole lines, and texts anywhere in them."""

    @property
    def lines(self) -> Sequence[PartId]:
        """Return the lines of the prompt but the last."""

    @property
    def texts(self) -> Collection[TextId]:
        """Return the short texts of the prompt."""


class QuarantineKeeper(Protocol):
    """Service ``quarantine``: strikes and verdicts over the whole fleet."""

    def find_verdict(self, fingerprint: Fingerprint) -> QuarantineVerdict:
        """Return the current verdict on *fingerprint*."""

    def has_strikes(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a backend server crashed while it ran *fingerprint*."""

    def find_suspect_limit(self, fingerprint: Fingerprint) -> int:
        """Return how many suspects without an answer may share a server, zero for no suspect."""

    def record_strike(self, strike: Strike) -> None:
        """Record a crash and tell the other entries."""

    def clear_strikes(self, fingerprint: Fingerprint) -> None:
        """Delete the strikes of a fingerprint that ran to its end, on all entries."""

    def begin_probe(self, fingerprint: Fingerprint, request: RequestId) -> Deferred[None]:
        """Fire once this request may run alone; cancel the deferred to give up."""

    def end_probe(self, fingerprint: Fingerprint, request: RequestId) -> None:
        """End the probe that this request ran."""

    def list_suspects(self) -> Sequence[Suspect]:
        """Return all suspected fingerprints."""

    def release(self, fingerprint: Fingerprint) -> Deferred[None]:
        """Delete the strikes by an operator's order; fails when the store cannot be reached."""


class CrashingTextKeeper(Protocol):
    """Service ``crashing_texts``: lines and texts of prompts that crash backend servers."""

    def is_crashing(self, prompt: PromptTexts, request: RequestId) -> bool:
        """Tell whether a request is refused because of a line or text of its prompt."""

    def record_crash(
        self, prompt: PromptTexts, request: RequestId, attempt: AttemptId, sent: datetime
    ) -> None:
        """Record that a backend server crashed before it began to answer a request.

        :param sent: when the attempt was sent to it.
        """

    def record_answer(self, prompt: PromptTexts, request: RequestId) -> None:
        """Record that a request with *prompt* begins to be answered."""
