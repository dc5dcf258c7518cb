"""Leases on rate slices: fixed parts of all accounts' rates, each spent by one host at a time.

A holder may spend a rate slice while two leases are valid: a long lease on the slice's row in the
store, and a short lease granted by the standby that the row names. Both count from before the
renewing message was sent. Only the standby may take a slice over soon after its holder fell
silent, and only by a conditional write. A lost host's slices are therefore unused for seconds
only, and a store outage costs nothing while standbys keep granting. If grants stop and resume, the
holder resumes as well, because a standby grants only for rows that it has not tried to take over.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from datetime import datetime
from zlib import crc32

from lavenderrun.decisions._rate_slice_states import GainedRateSlice, HeldSliceState, find_standby
from lavenderrun.decisions._rate_slice_views import (
    RateSliceTerms,
    RateSliceView,
    RateSliceWrite,
    StoredRateSlice,
)
from lavenderrun.dispatch import HostIncarnation
from lavenderrun.types import NO_HOST, HeldRateSlice, RateSliceId, RateSliceRow

MAX_CLAIMS_PER_PLAN = 4


class RateSliceKeeper:
    """Decides which rate slices this host claims, renews, takes over and frees.

    :param me: this host and its current boot.
    :param began: when this host started; it claims nothing while peers may still be connecting.
    """

    def __init__(
        self,
        me: HostIncarnation,
        slices: Sequence[RateSliceId],
        terms: RateSliceTerms,
        began: datetime,
    ) -> None:
        self.terms = terms
        self._me = me
        self._began = began
        self._views = {slice_id: RateSliceView(began) for slice_id in slices}
        self._held: dict[RateSliceId, HeldSliceState] = {}
        self._suspended: dict[RateSliceId, HeldSliceState] = {}
        self._attempted_versions: dict[RateSliceId, int] = {}
        self._pending_writes: dict[RateSliceId, RateSliceWrite] = {}
        self._preference = sorted(
            slices, key=lambda slice_id: crc32(f"{me.host}/{slice_id}".encode())
        )
        self._peer_count = 0
        self._peer_count_since = began

    @property
    def held(self) -> Iterable[RateSliceId]:
        """The rate slices that this host may spend until their leases end."""
        return self._held.keys()

    def find_expiry(self, slices: Iterable[RateSliceId]) -> datetime | None:
        """Return when the first lease among *slices* ends, ``None`` when none of them is held."""
        ends = [
            self._held[slice_id].find_expiry(self.terms)
            for slice_id in slices
            if slice_id in self._held
        ]
        return min(ends, default=None)

    def suspend_expired(self, now: datetime) -> list[tuple[datetime, RateSliceId]]:
        """Suspend the rate slices whose leases ended; return them with the times, earliest first.

        A suspended slice is held again once its standby grants again, while the lease on its row
        is still valid.
        """
        ends = [(state.find_expiry(self.terms), slice_id) for slice_id, state in self._held.items()]
        expired = sorted((end, slice_id) for end, slice_id in ends if end <= now)
        for _, slice_id in expired:
            self._suspended[slice_id] = self._held.pop(slice_id)
        for slice_id, state in list(self._suspended.items()):
            if state.renewed_at + self.terms.lease <= now:
                del self._suspended[slice_id]
        return expired

    # the store

    def observe(self, rows: dict[RateSliceId, StoredRateSlice], now: datetime) -> None:
        """Record the rows that a read returned; a rate slice without a row was never held."""
        for slice_id, view in self._views.items():
            stored = rows.get(slice_id)
            if stored is None:
                view.note_absent(now)
            else:
                view.note_version(stored.version, stored.row, now)
                self._drop_if_lost(slice_id)

    def plan_write(self, peers: Sequence[HostIncarnation], now: datetime) -> list[RateSliceWrite]:
        """Return the writes to send now.

        Each write is followed by one call of :meth:`confirm`, :meth:`note_conflict` or
        :meth:`note_no_reply`.

        :param peers: the other live hosts that may hold rate slices.
        """
        if len(peers) != self._peer_count:
            self._peer_count, self._peer_count_since = len(peers), now
        states = {**self._held, **self._suspended}
        writes = [self._plan_renewal(slice_id, peers, now) for slice_id in sorted(states)]
        planned = [write for write in writes if write is not None]
        planned += self._plan_claims(peers, now)
        for write in planned:
            self._pending_writes[write.slice_id] = write
            state = states.get(write.slice_id)
            standby = write.standby
            if state is None:
                self._attempted_versions[write.slice_id] = write.expect
            # the write may take effect without a reply: its standby must grant as well from now on
            if state is not None and standby is not None:
                state.granted_at.setdefault(standby, now)
        return planned

    def plan_release(
        self, now: datetime, slices: Iterable[RateSliceId] | None = None
    ) -> list[RateSliceWrite]:
        """Give up rate slices at once and return the writes that free their rows.

        :param slices: the slices to give up, ``None`` for all.
        """
        states = {**self._held, **self._suspended}
        writes = []
        for slice_id in list(states if slices is None else slices):
            version = states[slice_id].version
            self._drop_state(slice_id)
            row = RateSliceRow(quiet=self.terms.loan_lease)
            writes.append(RateSliceWrite(slice_id, version, row, now))
            self._pending_writes[slice_id] = writes[-1]
        return writes

    def confirm(self, write: RateSliceWrite, version: int, now: datetime) -> GainedRateSlice | None:
        """Record that the store accepted a write; return the rate slice if it was gained."""
        self._pending_writes.pop(write.slice_id, None)
        self._views[write.slice_id].note_version(version, write.row, now)
        if write.row.holder == NO_HOST:
            return None
        state = self._held.get(write.slice_id)
        known_state = state or self._suspended.pop(write.slice_id, None)
        granted_at: dict[HostIncarnation, datetime] = {}
        if write.standby is not None:
            known = known_state.granted_at.get(write.standby) if known_state else None
            granted_at[write.standby] = max(known or write.sent, write.sent)
        renewed = HeldSliceState(version, write.sent, granted_at)
        if renewed.find_expiry(self.terms) <= now:
            self._held.pop(write.slice_id, None)
            return None
        self._held[write.slice_id] = renewed
        if state is not None:
            return None
        # a renewal confirmed after the lease ended does not show what was spent before
        return GainedRateSlice(write.slice_id, write.unspent_since if write.claim else now)

    def note_conflict(
        self, write: RateSliceWrite, current: StoredRateSlice | None, now: datetime
    ) -> None:
        """Record that the store refused a write because the row has another version."""
        self._pending_writes.pop(write.slice_id, None)
        if current is None:
            return
        self._views[write.slice_id].note_version(current.version, current.row, now)
        state = self._held.get(write.slice_id) or self._suspended.get(write.slice_id)
        if state is None or self._drop_if_lost(write.slice_id):
            return
        # the row is from an own write without a reply; the lease is that of the confirmed write
        state.version = current.version
        standby = find_standby(current.row)
        known = (
            {} if standby is None else {standby: state.granted_at.get(standby, state.renewed_at)}
        )
        state.granted_at = known

    def note_no_reply(self, write: RateSliceWrite) -> None:
        """Record that a write got no reply; it may have taken effect or may still do so."""
        self._pending_writes.pop(write.slice_id, None)

    # standby leases

    def find_standby_requests(self) -> dict[HostIncarnation, list[HeldRateSlice]]:
        """Return the rate slices to request standby leases for, by standby."""
        requests: dict[HostIncarnation, list[HeldRateSlice]] = {}
        for slice_id, state in sorted({**self._held, **self._suspended}.items()):
            for peer in state.granted_at:
                requests.setdefault(peer, []).append(HeldRateSlice(slice_id, state.version))
        return requests

    def note_standby_grant(
        self, peer: HostIncarnation, slices: Iterable[RateSliceId], sent: datetime
    ) -> None:
        """Record that a standby granted the request that was sent at *sent*."""
        for slice_id in slices:
            state = self._held.get(slice_id) or self._suspended.get(slice_id)
            if state is not None and peer in state.granted_at:
                state.granted_at[peer] = max(state.granted_at[peer], sent)

    def resume(self, now: datetime) -> None:
        """Hold the suspended rate slices again whose standbys have granted again."""
        for slice_id, state in list(self._suspended.items()):
            if state.find_expiry(self.terms) > now:
                self._held[slice_id] = self._suspended.pop(slice_id)

    def grant_standby_leases(
        self, slices: Iterable[HeldRateSlice], now: datetime
    ) -> list[RateSliceId]:
        """Grant a holder standby leases on rate slices; return those granted.

        This host does not take over a granted slice before the standby lease has ended.
        """
        granted = []
        for held in slices:
            view = self._views.get(held.slice_id)
            if view is None or self._is_busy(held.slice_id):
                continue
            # an own takeover attempt or a newer row may already have replaced the holder
            if (
                max(view.version, self._attempted_versions.get(held.slice_id, -1) + 1)
                > held.version
            ):
                continue
            view.note_version(held.version, None, now)
            view.granted_at = now
            granted.append(held.slice_id)
        return granted

    def has_silent_holder(self, now: datetime) -> bool:
        """Tell whether a holder that this host grants standby leases to has fallen silent."""
        ages = [
            now - view.granted_at for view in self._views.values() if view.granted_at is not None
        ]
        return any(self.terms.silence_timeout < age < self.terms.standby_lease * 4 for age in ages)

    # plans

    def _is_busy(self, slice_id: RateSliceId) -> bool:
        return (
            slice_id in self._held
            or slice_id in self._suspended
            or slice_id in self._pending_writes
        )

    def _drop_state(self, slice_id: RateSliceId) -> None:
        self._held.pop(slice_id, None)
        self._suspended.pop(slice_id, None)

    def _drop_if_lost(self, slice_id: RateSliceId) -> bool:
        """Drop a rate slice whose row names another holder; return whether it did."""
        view = self._views[slice_id]
        lost = view.row is not None and view.is_known and not view.is_held_by(self._me)
        if lost:
            self._drop_state(slice_id)
        return lost

    def _plan_renewal(
        self, slice_id: RateSliceId, peers: Sequence[HostIncarnation], now: datetime
    ) -> RateSliceWrite | None:
        if slice_id in self._pending_writes:
            return None
        state = self._held.get(slice_id) or self._suspended[slice_id]
        current = find_standby(self._views[slice_id].row)
        wanted = current if current in peers and self._is_granting(state, current, now) else None
        if wanted is None:
            wanted = self._choose_standby(slice_id, [peer for peer in peers if peer != current])
        settled = wanted == current and set(state.granted_at) <= {current}
        if settled and now - state.renewed_at < self.terms.renew_every:
            return None
        return RateSliceWrite(slice_id, state.version, self._make_row(wanted), now)

    def _is_granting(
        self, state: HeldSliceState, standby: HostIncarnation | None, now: datetime
    ) -> bool:
        if standby is None:
            return False
        last_grant = state.granted_at.get(standby)
        return last_grant is None or now - last_grant < self.terms.silence_timeout

    def _plan_claims(self, peers: Sequence[HostIncarnation], now: datetime) -> list[RateSliceWrite]:
        if now - self._began < self.terms.start_delay:
            return []
        target = self.find_target(len(peers))
        mine = {*self._held, *self._suspended, *self._pending_writes}
        missing = min(MAX_CLAIMS_PER_PLAN, target - len(mine))
        claims: list[RateSliceWrite] = []
        for slice_id in self._preference:
            if self._is_busy(slice_id):
                continue
            claim = self._plan_claim(slice_id, peers, now, wanted=len(claims) < missing)
            if claim is not None:
                claims.append(claim)
        return claims

    def _plan_claim(
        self,
        slice_id: RateSliceId,
        peers: Sequence[HostIncarnation],
        now: datetime,
        *,
        wanted: bool,
    ) -> RateSliceWrite | None:
        view = self._views[slice_id]
        free_from = view.find_claim_time(self._me, self.terms)
        if free_from is None or now < free_from or not view.is_known:
            return None
        # a claim on a stale row mostly fails, and stops this host's grants to the holder
        if not view.is_held_by(self._me) and not view.is_recently_read(now, self.terms):
            return None
        # a standby takes over even above its target, because no other host may do so this early
        if not wanted and not view.names_standby(self._me):
            return None
        row = self._make_row(self._choose_standby(slice_id, peers))
        unspent_since = None if view.version == 0 else free_from
        if view.is_held_by(self._me):
            unspent_since = now
        return RateSliceWrite(
            slice_id, view.version, row, now, claim=True, unspent_since=unspent_since
        )

    def find_surplus(self, peers: int, now: datetime) -> list[RateSliceId]:
        """Return a rate slice to free if this host has held more than its target for a while.

        :param peers: number of other hosts that may hold slices.
        """
        if now - self._peer_count_since < self.terms.surplus_delay or not peers:
            return []
        surplus = [
            slice_id
            for slice_id in self._preference
            if slice_id in self._held and slice_id not in self._pending_writes
        ]
        return surplus[-1:] if len(self._held) > self.find_target(peers) else []

    def find_target(self, peers: int) -> int:
        """Return how many rate slices this host should hold.

        :param peers: number of other hosts that may hold slices.
        """
        return -(-len(self._views) // (peers + 1))

    def _choose_standby(
        self, slice_id: RateSliceId, peers: Sequence[HostIncarnation]
    ) -> HostIncarnation | None:
        if not self.terms.standby:
            return None
        rank = {peer: crc32(f"{slice_id}/{peer.host}".encode()) for peer in peers}
        return max(peers, key=lambda peer: (rank[peer], peer.host), default=None)

    def _make_row(self, standby: HostIncarnation | None) -> RateSliceRow:
        if standby is None:
            return RateSliceRow(self._me.host, self._me.boot)
        return RateSliceRow(self._me.host, self._me.boot, standby.host, standby.boot)
