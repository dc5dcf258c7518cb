"""Standby leases, exchanged between the holders of rate slices and their standbys."""

from __future__ import annotations

from datetime import datetime

import msgspec

from lavenderrun.decisions import HostIncarnation, RateLimiter, RateSliceTerms
from lavenderrun.kernel import Clock
from lavenderrun.types import Link, Links, StandbyLeaseGrant, StandbyLeaseRequest

MAX_PENDING_REQUESTS = 64


class PendingLeaseRequest(msgspec.Struct, frozen=True):
    """A standby lease request that has not been answered.

    :param peer: the standby that was asked.
    :param sent: when the request was sent; the lease counts from here.
    """

    peer: HostIncarnation
    sent: datetime


class StandbyLeaseExchange:
    """Requests standby leases for this host's rate slices, and grants them to other hosts.

    A standby lease is the promise of a standby not to take a rate slice over for a while.
    """

    def __init__(
        self, clock: Clock, links: Links, limiter: RateLimiter, terms: RateSliceTerms
    ) -> None:
        self._clock = clock
        self._links = links
        self._limiter = limiter
        self._terms = terms
        self._pending: dict[int, PendingLeaseRequest] = {}
        self._number = 0
        self._next_request_at = clock.now()

    def start(self) -> None:
        """Subscribe to the messages of standby leases."""
        self._links.subscribe(StandbyLeaseRequest, self._handle_request)
        self._links.subscribe(StandbyLeaseGrant, self._handle_grant)

    def send_requests(self, now: datetime) -> None:
        """Send a request to each standby when the next request is due."""
        if now < self._next_request_at:
            return
        self._next_request_at = now + self._terms.request_standby_every
        for peer, slices in self._limiter.slice_keeper.find_standby_requests().items():
            link = self._links.find(peer.host)
            if link is None or link.peer.boot != peer.boot:
                continue
            self._number += 1
            self._pending[self._number] = PendingLeaseRequest(peer, now)
            link.send(StandbyLeaseRequest(self._number, slices))
        while len(self._pending) > MAX_PENDING_REQUESTS:
            del self._pending[next(iter(self._pending))]

    def _handle_request(self, link: Link, message: StandbyLeaseRequest) -> None:
        now = self._clock.now()
        self._limiter.sync(now)
        link.send(
            StandbyLeaseGrant(
                message.number, self._limiter.slice_keeper.grant_standby_leases(message.slices, now)
            )
        )

    def _handle_grant(self, link: Link, message: StandbyLeaseGrant) -> None:
        request = self._pending.pop(message.number, None)
        peer = HostIncarnation(link.peer.host, link.peer.boot)
        if request is None or request.peer != peer:
            return
        now = self._clock.now()
        self._limiter.sync(now)
        self._limiter.slice_keeper.note_standby_grant(peer, message.slices, request.sent)
        self._limiter.slice_keeper.resume(now)
        self._limiter.sync(now)
