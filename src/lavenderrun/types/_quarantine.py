"""Messages, values and interface of the quarantine for requests that crash backend servers."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

import msgspec
from twisted.internet.defer import Deferred

from lavenderrun.types._ids import AccountId, AttemptId, Fingerprint, RequestId, RouteName
from lavenderrun.types._messages import Message, message


class QuarantineVerdict(Enum):
    """What is held of a fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    GUILTY = "guilty"


class Suspect(msgspec.Struct, frozen=True):
    """A fingerprint under suspicion, as operators see it.

    :param strikes: crashes of backend servers that ran it.
    """

    fingerprint: Fingerprint
    account: AccountId | None
    route: RouteName
    strikes: int
    verdict: QuarantineVerdict


@message("strike")
class Strike(Message, tag="strike", frozen=True):
    """A backend server crashed while it ran an attempt; entries tell one another."""

    fingerprint: Fingerprint
    request: RequestId
    attempt: AttemptId
    account: AccountId | None
    route: RouteName


@message("acquitted")
class Acquitted(Message, tag="acquitted", frozen=True):
    """The fingerprint ran to its end, or an operator released it; its strikes are dropped."""

    fingerprint: Fingerprint


@message("probe_ask")
class ProbeRequest(Message, tag="probe_ask", frozen=True):
    """An entry asks the home of a suspect for leave to run it."""

    fingerprint: Fingerprint
    request: RequestId


@message("probe_answer")
class ProbeAnswer(Message, tag="probe_answer", frozen=True):
    """The home's answer; without leave the entry asks again later."""

    fingerprint: Fingerprint
    request: RequestId
    granted: bool


@message("probe_end")
class ProbeEnd(Message, tag="probe_end", frozen=True):
    """The run is over."""

    fingerprint: Fingerprint
    request: RequestId


class QuarantineKeeper(Protocol):
    """Service ``quarantine``: strikes and verdicts over the whole fleet."""

    def verdict(self, fingerprint: Fingerprint) -> QuarantineVerdict:
        """Return what is held of *fingerprint*."""

    def find_suspect_limit(self, fingerprint: Fingerprint) -> int:
        """Return how many suspects may share a backend server with it, zero for no suspect."""

    def strike(self, strike: Strike) -> None:
        """Note a crash and tell the other entries."""

    def acquit(self, fingerprint: Fingerprint) -> None:
        """Drop the strikes of a fingerprint that ran to its end, here and elsewhere."""

    def begin_probe(self, fingerprint: Fingerprint, request: RequestId) -> Deferred[None]:
        """Fire once this request may run alone; cancel it to give up."""

    def end_probe(self, fingerprint: Fingerprint, request: RequestId) -> None:
        """The run alone is over."""

    def suspects(self) -> Sequence[Suspect]:
        """Return all fingerprints under suspicion."""

    def release(self, fingerprint: Fingerprint) -> Deferred[None]:
        """Drop the strikes by an operator's order; fails when the store can't be reached."""
