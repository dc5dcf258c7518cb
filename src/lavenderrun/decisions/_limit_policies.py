"""Limit policies: how the rate of each account is divided over the hosts."""

from __future__ import annotations

from datetime import timedelta

from lavenderrun.decisions._rate_slice_views import RateSliceTerms
from lavenderrun.kernel import Registry

LIMIT_POLICIES: Registry[RateSliceTerms] = Registry("limit policy")

SHORT_LEASE = timedelta(seconds=6)

RATE_SLICES = LIMIT_POLICIES.register("slots")(RateSliceTerms())
"""Rate slices under a long lease, each with a standby; hosts lend to one another."""

LONG_LEASE = LIMIT_POLICIES.register("long_lease")(RateSliceTerms(standby=False))
"""Rate slices under a long lease without a standby; unused until it ends if their host is lost."""

STATIC = LIMIT_POLICIES.register("static")(RateSliceTerms(lending=False))
"""Static division: each host spends only its own rate slices, without loans."""

STORE_LEASE = LIMIT_POLICIES.register("store_lease")(
    RateSliceTerms(standby=False, lease=SHORT_LEASE, renew_every=timedelta(seconds=2))
)
"""Rate slices under short leases from the store, without standbys."""

OWNER = LIMIT_POLICIES.register("owner")(RateSliceTerms(slices=1, groups=64))
"""One rate slice per group of accounts: a single host owns it and all others borrow from it."""

TOGETHER = LIMIT_POLICIES.register("together")(
    RateSliceTerms(start_delay=timedelta(milliseconds=400))
)
"""Like ``slots``, with a short start delay for few hosts that start together, as in a demo."""
