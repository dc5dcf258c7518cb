"""Which other hosts hold slots, as they tell themselves."""

from __future__ import annotations

from collections.abc import Iterable

from lavenderrun.decisions._rate_slice_views import RateSliceTerms, find_group, find_group_of
from lavenderrun.types import AccountId, HostId, RateSliceId


class SliceHolders:
    """The hosts to ask for loans, by group of accounts."""

    def __init__(self, terms: RateSliceTerms) -> None:
        self._terms = terms
        self._by_group: dict[int, set[HostId]] = {group: set() for group in range(terms.groups)}

    def note(self, host: HostId, slots: Iterable[RateSliceId]) -> None:
        """Take note of all slots that another host holds."""
        groups = {find_group(slot) for slot in slots}
        for group, hosts in self._by_group.items():
            if group in groups:
                hosts.add(host)
            else:
                hosts.discard(host)

    def find(self, account: AccountId) -> list[HostId]:
        """Return the other hosts that hold slots of the account's group, in order."""
        return sorted(self._by_group[find_group_of(account, self._terms)])
