"""Vouching between the holders of slots and their standbys."""

from __future__ import annotations

from datetime import datetime

import msgspec

from lavenderrun.decisions import HostIncarnation, RateLimiter, RateSliceTerms
from lavenderrun.kernel import Clock
from lavenderrun.types import Link, Links, StandbyLeaseGrant, StandbyLeaseRequest

MOST_UNANSWERED = 64


class PendingLeaseRequest(msgspec.Struct, frozen=True):
    """A message that a standby has not answered."""

    peer: HostIncarnation
    sent: datetime


class StandbyLeaseExchange:
    """Asks the standbys of this host's slots to vouch, and vouches for others."""

    def __init__(
        self, clock: Clock, links: Links, fleet: RateLimiter, terms: RateSliceTerms
    ) -> None:
        self._clock = clock
        self._links = links
        self._fleet = fleet
        self._terms = terms
        self._sent: dict[int, PendingLeaseRequest] = {}
        self._number = 0
        self._due = clock.now()

    def start(self) -> None:
        """Take messages."""
        self._links.subscribe(StandbyLeaseRequest, self._take_vouch)
        self._links.subscribe(StandbyLeaseGrant, self._take_vouched)

    def ask(self, now: datetime) -> None:
        """Ask all standbys when it is time to."""
        if now < self._due:
            return
        self._due = now + self._terms.request_standby_every
        for peer, slots in self._fleet.slice_keeper.find_standby_requests().items():
            link = self._links.find(peer.host)
            if link is None or link.peer.boot != peer.boot:
                continue
            self._number += 1
            self._sent[self._number] = PendingLeaseRequest(peer, now)
            link.send(StandbyLeaseRequest(self._number, slots))
        while len(self._sent) > MOST_UNANSWERED:
            del self._sent[next(iter(self._sent))]

    def _take_vouch(self, link: Link, message: StandbyLeaseRequest) -> None:
        now = self._clock.now()
        self._fleet.sync(now)
        link.send(
            StandbyLeaseGrant(
                message.number, self._fleet.slice_keeper.grant_standby_leases(message.slices, now)
            )
        )

    def _take_vouched(self, link: Link, message: StandbyLeaseGrant) -> None:
        sent = self._sent.pop(message.number, None)
        peer = HostIncarnation(link.peer.host, link.peer.boot)
        if sent is None or sent.peer != peer:
            return
        now = self._clock.now()
        self._fleet.sync(now)
        self._fleet.slice_keeper.note_standby_grant(peer, message.slices, sent.sent)
        self._fleet.slice_keeper.resume(now)
        self._fleet.sync(now)
