"""Other hosts that hold rate slices, by their own reports."""

from __future__ import annotations

from collections.abc import Iterable

from lavenderrun.decisions._rate_slice_views import (
    RateSliceTerms,
    find_account_group,
    find_slice_group,
)
from lavenderrun.types import AccountId, HostId, RateSliceId


class SliceHolders:
    """The hosts that can lend, by group of accounts."""

    def __init__(self, terms: RateSliceTerms) -> None:
        self._terms = terms
        self._by_group: dict[int, set[HostId]] = {group: set() for group in range(terms.groups)}

    def note(self, host: HostId, slices: Iterable[RateSliceId]) -> None:
        """Replace what is known of *host* by all rate slices that it holds."""
        groups = {find_slice_group(slice_id) for slice_id in slices}
        for group, hosts in self._by_group.items():
            if group in groups:
                hosts.add(host)
            else:
                hosts.discard(host)

    def find(self, account: AccountId) -> list[HostId]:
        """Return the other hosts that hold rate slices of the account's group, sorted by id."""
        return sorted(self._by_group[find_account_group(account, self._terms)])
