"""Slots: fixed parts of all accounts' rates, each spent by one host at a time.

A holder spends a slot while two leases hold, both counted from before the message was sent that
renewed them: a long one on the slot's row in the store, and a short one that its standby, named in
the row, renews by vouching. Only the standby may take the slot over soon after the holder fell
silent, and only by a conditional write; so a lost host costs its slots for seconds, while a store
outage costs nothing as long as the vouching goes on. When the vouching stops and goes on later, so
does the holder: the standby vouches only for a row that it has not tried to take over.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from datetime import datetime
from zlib import crc32

from lavenderrun.decisions._rate_slice_states import Gained, HeldState, find_standby
from lavenderrun.decisions._rate_slice_views import (
    RateSliceTerms,
    RateSliceView,
    RateSliceWrite,
    StoredRateSlice,
)
from lavenderrun.dispatch import HostIncarnation
from lavenderrun.types import NO_HOST, HeldRateSlice, RateSliceId, RateSliceRow

CLAIMS_AT_ONCE = 4


class RateSliceKeeper:
    """Decides which slots this host claims, renews, takes over and frees.

    :param me: this life of this host.
    :param began: when this host started; it claims nothing while peers may still be linking.
    """

    def __init__(
        self,
        me: HostIncarnation,
        slots: Sequence[RateSliceId],
        terms: RateSliceTerms,
        began: datetime,
    ) -> None:
        self.terms = terms
        self._me = me
        self._began = began
        self._views = {slot: RateSliceView(began) for slot in slots}
        self._held: dict[RateSliceId, HeldState] = {}
        self._suspended: dict[RateSliceId, HeldState] = {}
        self._attempted: dict[RateSliceId, int] = {}
        self._writing: dict[RateSliceId, RateSliceWrite] = {}
        self._order = sorted(slots, key=lambda slot: crc32(f"{me.host}/{slot}".encode()))
        self._crowd = 0
        self._crowd_since = began

    @property
    def held(self) -> Iterable[RateSliceId]:
        """The slots that this host may spend until they lapse."""
        return self._held.keys()

    def find_end(self, slots: Iterable[RateSliceId]) -> datetime | None:
        """Return when the first of the held among *slots* lapses, ``None`` when none is held."""
        ends = [self._held[slot].find_end(self.terms) for slot in slots if slot in self._held]
        return min(ends, default=None)

    def drop_lapsed(self, now: datetime) -> list[tuple[datetime, RateSliceId]]:
        """Stop holding the slots that lapsed and return them with the instants, earliest first.

        A slot whose row's lease goes on is held again once its standby vouches again.
        """
        ends = [(state.find_end(self.terms), slot) for slot, state in self._held.items()]
        lapsed = sorted((end, slot) for end, slot in ends if end <= now)
        for _, slot in lapsed:
            self._suspended[slot] = self._held.pop(slot)
        for slot, state in list(self._suspended.items()):
            if state.base + self.terms.lease <= now:
                del self._suspended[slot]
        return lapsed

    # the store

    def observe(self, rows: dict[RateSliceId, StoredRateSlice], now: datetime) -> None:
        """Take what a read returned; slots without a row have never been held."""
        for slot, view in self._views.items():
            stored = rows.get(slot)
            if stored is None:
                view.note_absent(now)
            else:
                view.note(stored.version, stored.row, now)
                self._drop_if_lost(slot)

    def plan_write(self, peers: Sequence[HostIncarnation], now: datetime) -> list[RateSliceWrite]:
        """Return the writes to send now; each is answered by one of the methods below.

        :param peers: the other live hosts that may hold slots.
        """
        if len(peers) != self._crowd:
            self._crowd, self._crowd_since = len(peers), now
        states = {**self._held, **self._suspended}
        writes = [self._plan_held(slot, peers, now) for slot in sorted(states)]
        planned = [write for write in writes if write is not None]
        planned += self._plan_claims(peers, now)
        for write in planned:
            self._writing[write.slot] = write
            state = states.get(write.slot)
            standby = write.standby
            if state is None:
                self._attempted[write.slot] = write.expect
            # the write may take effect unseen: its standby must consent as well from now on
            if state is not None and standby is not None:
                state.consents.setdefault(standby, now)
        return planned

    def plan_release(
        self, now: datetime, slots: Iterable[RateSliceId] | None = None
    ) -> list[RateSliceWrite]:
        """Give slots up at once and return the writes that free their rows."""
        states = {**self._held, **self._suspended}
        writes = []
        for slot in list(states if slots is None else slots):
            version = states[slot].version
            self._forget_state(slot)
            row = RateSliceRow(quiet=self.terms.loan_lease)
            writes.append(RateSliceWrite(slot, version, row, now))
            self._writing[slot] = writes[-1]
        return writes

    def confirm(self, write: RateSliceWrite, version: int, now: datetime) -> Gained | None:
        """Take the store's confirmation; return the slot when it was gained by it."""
        self._writing.pop(write.slot, None)
        self._views[write.slot].note(version, write.row, now)
        if write.row.holder == NO_HOST:
            return None
        state = self._held.get(write.slot)
        known_state = state or self._suspended.pop(write.slot, None)
        consents: dict[HostIncarnation, datetime] = {}
        if write.standby is not None:
            known = known_state.consents.get(write.standby) if known_state else None
            consents[write.standby] = max(known or write.sent, write.sent)
        fresh = HeldState(version, write.sent, consents)
        if fresh.find_end(self.terms) <= now:
            self._held.pop(write.slot, None)
            return None
        self._held[write.slot] = fresh
        if state is not None:
            return None
        # a renewal that comes after the lapse tells nothing of what was spent before
        return Gained(write.slot, write.earned_from if write.claim else now)

    def note_conflict(
        self, write: RateSliceWrite, current: StoredRateSlice | None, now: datetime
    ) -> None:
        """Take a conflict: the row is another than the write expected."""
        self._writing.pop(write.slot, None)
        if current is None:
            return
        self._views[write.slot].note(current.version, current.row, now)
        state = self._held.get(write.slot) or self._suspended.get(write.slot)
        if state is None or self._drop_if_lost(write.slot):
            return
        # one of our own writes without a reply; the lease stays that of the confirmed one
        state.version = current.version
        standby = find_standby(current.row)
        known = {} if standby is None else {standby: state.consents.get(standby, state.base)}
        state.consents = known

    def note_no_reply(self, write: RateSliceWrite) -> None:
        """Take the store's silence: the write may have taken effect or may do so yet."""
        self._writing.pop(write.slot, None)

    # vouching

    def find_standby_requests(self) -> dict[HostIncarnation, list[HeldRateSlice]]:
        """Return whom to ask to vouch for which held slots."""
        asked: dict[HostIncarnation, list[HeldRateSlice]] = {}
        for slot, state in sorted({**self._held, **self._suspended}.items()):
            for peer in state.consents:
                asked.setdefault(peer, []).append(HeldRateSlice(slot, state.version))
        return asked

    def note_standby_grant(
        self, peer: HostIncarnation, slots: Iterable[RateSliceId], sent: datetime
    ) -> None:
        """Take a standby's consent to a message that left at *sent*."""
        for slot in slots:
            state = self._held.get(slot) or self._suspended.get(slot)
            if state is not None and peer in state.consents:
                state.consents[peer] = max(state.consents[peer], sent)

    def resume(self, now: datetime) -> None:
        """Hold the suspended slots again whose standbys vouch again."""
        for slot, state in list(self._suspended.items()):
            if state.find_end(self.terms) > now:
                self._held[slot] = self._suspended.pop(slot)

    def vouch(self, slots: Iterable[HeldRateSlice], now: datetime) -> list[RateSliceId]:
        """Promise not to take these slots over; return those promised."""
        promised = []
        for held in slots:
            view = self._views.get(held.slice_id)
            if view is None or self._is_busy(held.slice_id):
                continue
            # an own attempt, or a later row, may already have ended the asker's right
            if max(view.version, self._attempted.get(held.slice_id, -1) + 1) > held.version:
                continue
            view.note(held.version, None, now)
            view.vouched = now
            promised.append(held.slice_id)
        return promised

    def has_silent_holder(self, now: datetime) -> bool:
        """Tell whether a holder that this host vouches for has fallen silent."""
        ages = [now - view.vouched for view in self._views.values() if view.vouched is not None]
        return any(self.terms.suspicion < age < self.terms.standby_lease * 4 for age in ages)

    # plans

    def _is_busy(self, slot: RateSliceId) -> bool:
        return slot in self._held or slot in self._suspended or slot in self._writing

    def _forget_state(self, slot: RateSliceId) -> None:
        self._held.pop(slot, None)
        self._suspended.pop(slot, None)

    def _drop_if_lost(self, slot: RateSliceId) -> bool:
        """Forget a slot whose row names another holder; tell whether it was so."""
        view = self._views[slot]
        lost = view.row is not None and view.known and not view.is_mine(self._me)
        if lost:
            self._forget_state(slot)
        return lost

    def _plan_held(
        self, slot: RateSliceId, peers: Sequence[HostIncarnation], now: datetime
    ) -> RateSliceWrite | None:
        if slot in self._writing:
            return None
        state = self._held.get(slot) or self._suspended[slot]
        current = find_standby(self._views[slot].row)
        wanted = current if current in peers and self._is_heard(state, current, now) else None
        if wanted is None:
            wanted = self._choose_standby(slot, [peer for peer in peers if peer != current])
        settled = wanted == current and set(state.consents) <= {current}
        if settled and now - state.base < self.terms.renew_every:
            return None
        return RateSliceWrite(slot, state.version, self._make_row(wanted), now)

    def _is_heard(self, state: HeldState, standby: HostIncarnation | None, now: datetime) -> bool:
        if standby is None:
            return False
        consent = state.consents.get(standby)
        return consent is None or now - consent < self.terms.suspicion

    def _plan_claims(self, peers: Sequence[HostIncarnation], now: datetime) -> list[RateSliceWrite]:
        if now - self._began < self.terms.gather:
            return []
        target = self.find_target(len(peers))
        mine = {*self._held, *self._suspended, *self._writing}
        missing = min(CLAIMS_AT_ONCE, target - len(mine))
        claims: list[RateSliceWrite] = []
        for slot in self._order:
            if self._is_busy(slot):
                continue
            claim = self._plan_claim(slot, peers, now, wanted=len(claims) < missing)
            if claim is not None:
                claims.append(claim)
        return claims

    def _plan_claim(
        self, slot: RateSliceId, peers: Sequence[HostIncarnation], now: datetime, *, wanted: bool
    ) -> RateSliceWrite | None:
        view = self._views[slot]
        free_from = view.find_free(self._me, self.terms)
        if free_from is None or now < free_from or not view.known:
            return None
        # an attempt on a stale row is mostly in vain, and ends the vouching for its holder
        if not view.is_mine(self._me) and not view.is_fresh(now, self.terms):
            return None
        # a standby takes over above its target too: nobody else may do so as soon
        if not wanted and not view.names_standby(self._me):
            return None
        row = self._make_row(self._choose_standby(slot, peers))
        earned_from = None if view.version == 0 else free_from
        if view.is_mine(self._me):
            earned_from = now
        return RateSliceWrite(slot, view.version, row, now, claim=True, earned_from=earned_from)

    def find_surplus(self, peers: int, now: datetime) -> list[RateSliceId]:
        """Return a slot to free when this host holds more than its part for a while."""
        if now - self._crowd_since < self.terms.settle or not peers:
            return []
        surplus = [slot for slot in self._order if slot in self._held and slot not in self._writing]
        return surplus[-1:] if len(self._held) > self.find_target(peers) else []

    def find_target(self, peers: int) -> int:
        """Return how many slots this host should hold."""
        return -(-len(self._views) // (peers + 1))

    def _choose_standby(
        self, slot: RateSliceId, peers: Sequence[HostIncarnation]
    ) -> HostIncarnation | None:
        if not self.terms.standby:
            return None
        rank = {peer: crc32(f"{slot}/{peer.host}".encode()) for peer in peers}
        return max(peers, key=lambda peer: (rank[peer], peer.host), default=None)

    def _make_row(self, standby: HostIncarnation | None) -> RateSliceRow:
        if standby is None:
            return RateSliceRow(self._me.host, self._me.boot)
        return RateSliceRow(self._me.host, self._me.boot, standby.host, standby.boot)
