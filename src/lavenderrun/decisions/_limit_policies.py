"""Limit policies: how an account's rate is divided over the hosts."""

from __future__ import annotations

from datetime import timedelta

from lavenderrun.decisions._rate_slice_views import RateSliceTerms
from lavenderrun.kernel import Registry

LIMIT_POLICIES: Registry[RateSliceTerms] = Registry("limit policy")

SHORT_LEASE = timedelta(seconds=6)

SLOTS = LIMIT_POLICIES.register("slots")(RateSliceTerms())
"""Slots under a long lease with a standby each; hosts lend to one another."""

LONG_LEASE = LIMIT_POLICIES.register("long_lease")(RateSliceTerms(standby=False))
"""Slots under a long lease without a standby: a lost host's part is idle until it lapses."""

STATIC = LIMIT_POLICIES.register("static")(RateSliceTerms(lending=False))
"""Static division: each host spends its own slots only."""

STORE_LEASE = LIMIT_POLICIES.register("store_lease")(
    RateSliceTerms(standby=False, lease=SHORT_LEASE, renew_every=timedelta(seconds=2))
)
"""Short leases from the store only."""

OWNER = LIMIT_POLICIES.register("owner")(RateSliceTerms(slices=1, groups=64))
"""One owner an account: every other host borrows from it."""

TOGETHER = LIMIT_POLICIES.register("together")(RateSliceTerms(gather=timedelta(milliseconds=400)))
"""The same as ``slots`` for a few hosts that start at the same moment, as a demonstration's do."""
