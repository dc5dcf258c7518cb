"""Orders to change their role that engines have accepted, as all gateways know them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.types import BackendId, BackendRole, FencingNumber, Incarnation, Member

MAX_ROLE_CHANGE_TIME: Final = timedelta(seconds=10)
"""Time after which an ordered role change is no longer expected."""

MAX_ORDERS: Final = 1024
"""Orders that are kept, ended ones too; the oldest are of engines that are long gone."""


@dataclass(frozen=True)
class RoleOrder:
    """An order that one run of an engine accepted.

    :param fencing: fencing number of the lease under which it was sent.
    :param sequence: orders that the engine had accepted before since its start.
    """

    member: BackendId
    incarnation: Incarnation
    role: BackendRole
    fencing: FencingNumber
    sequence: int

    def follows(self, other: RoleOrder) -> bool:
        """Tell whether the engine accepted this order after *other*."""
        return (self.fencing, self.sequence) > (other.fencing, other.sequence)


class RoleOrders:
    """The newest order of each run of an engine, and how long its change is still expected.

    Gateways pass on the orders that they hear of, so that one that starts anew knows them. An order
    that has ended stays known: hearing of it again does not begin it again.
    """

    def __init__(self) -> None:
        # in the order in which they were last heard of
        self._newest: dict[Incarnation, RoleOrder] = {}
        self._expected_until: dict[Incarnation, datetime] = {}

    def record(self, order: RoleOrder, left: timedelta, now: datetime) -> None:
        """Record an order.

        :param left: how much longer its change is expected.
        """
        known = self._newest.pop(order.incarnation, None)
        if known is None or order.follows(known):
            known = order
            self._expected_until[order.incarnation] = now + min(left, MAX_ROLE_CHANGE_TIME)
        self._newest[order.incarnation] = known
        while len(self._newest) > MAX_ORDERS:
            oldest = next(iter(self._newest))
            del self._newest[oldest]
            self._expected_until.pop(oldest, None)

    def list_pending(
        self, find_member: Callable[[BackendId], Member | None], now: datetime
    ) -> Mapping[RoleOrder, timedelta]:
        """Return the orders that engines have not carried out, and how long that is expected.

        :param find_member: returns an engine by its row, ``None`` without one.
        """
        pending = {}
        for incarnation, until in list(self._expected_until.items()):
            order = self._newest[incarnation]
            member = find_member(order.member)
            if now >= until:
                del self._expected_until[incarnation]
            elif member is None or member.incarnation != incarnation:
                # the row of the run that accepted the order may be late
                continue
            elif member.role is order.role:
                del self._expected_until[incarnation]
            else:
                pending[order] = until - now
        return pending
