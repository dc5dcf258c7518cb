"""Vouching between the holders of slots and their standbys."""

from __future__ import annotations

from datetime import datetime

import msgspec

from lavenderrun.decisions import FleetLimits, Peer, SlotTerms
from lavenderrun.kernel import Clock
from lavenderrun.types import Link, Links, Vouch, Vouched

MOST_UNANSWERED = 64


class SentVouch(msgspec.Struct, frozen=True):
    """A message that a standby has not answered."""

    peer: Peer
    sent: datetime


class Vouching:
    """Asks the standbys of this host's slots to vouch, and vouches for others."""

    def __init__(self, clock: Clock, links: Links, fleet: FleetLimits, terms: SlotTerms) -> None:
        self._clock = clock
        self._links = links
        self._fleet = fleet
        self._terms = terms
        self._sent: dict[int, SentVouch] = {}
        self._number = 0
        self._due = clock.now()

    def start(self) -> None:
        """Take messages."""
        self._links.subscribe(Vouch, self._take_vouch)
        self._links.subscribe(Vouched, self._take_vouched)

    def ask(self, now: datetime) -> None:
        """Ask all standbys when it is time to."""
        if now < self._due:
            return
        self._due = now + self._terms.vouch_every
        for peer, slots in self._fleet.keeper.find_vouchers().items():
            link = self._links.find(peer.host)
            if link is None or link.peer.boot != peer.boot:
                continue
            self._number += 1
            self._sent[self._number] = SentVouch(peer, now)
            link.send(Vouch(self._number, slots))
        while len(self._sent) > MOST_UNANSWERED:
            del self._sent[next(iter(self._sent))]

    def _take_vouch(self, link: Link, message: Vouch) -> None:
        now = self._clock.now()
        self._fleet.sync(now)
        link.send(Vouched(message.number, self._fleet.keeper.vouch(message.slots, now)))

    def _take_vouched(self, link: Link, message: Vouched) -> None:
        sent = self._sent.pop(message.number, None)
        peer = Peer(link.peer.host, link.peer.boot)
        if sent is None or sent.peer != peer:
            return
        now = self._clock.now()
        self._fleet.sync(now)
        self._fleet.keeper.take_vouch(peer, message.slots, sent.sent)
        self._fleet.keeper.resume(now)
        self._fleet.sync(now)
