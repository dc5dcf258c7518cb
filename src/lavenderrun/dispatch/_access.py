"""Finds the route and the client account of a call."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import sha256
from typing import Final

from lavenderrun.types import (
    ROUTE_RANKS,
    CallRoute,
    ClientAccount,
    Configuration,
    KeyDigest,
    Refusal,
    combine_ranks,
)

LOWEST_RANK: Final = 1000
"""Bound of ranks in peer reports: configured ranks have none, and a report with a rank beyond it
would be dropped by all other hosts."""


BACKEND_ROUTE_RANKS: Final = 3
"""Ranks of routes that backend servers tell apart: they know ten ranks, so three of accounts."""


@dataclass(frozen=True)
class Access:
    """The route and the client account of an authorized call.

    :param account: ``None`` on an open route and when no accounts are configured.
    """

    route: CallRoute
    account: ClientAccount | None

    @property
    def rank(self) -> int:
        """Priority of the call, zero is the most urgent: by its account, then by its route.

        Ranks beyond the bounds count as the nearest one within them.
        """
        own_rank = None if self.account is None else self.account.rank
        return min(LOWEST_RANK, combine_ranks(own_rank, self.route.rank))

    @property
    def backend_rank(self) -> int:
        """Priority of the call at a backend server, which tells few ranks apart."""
        first, second = divmod(self.rank, ROUTE_RANKS)
        return first * BACKEND_ROUTE_RANKS + min(BACKEND_ROUTE_RANKS - 1, second)


class RouteIndex:
    """Finds routes by HTTP host name and path prefix; the longest prefix wins."""

    def __init__(self, routes: Iterable[CallRoute]) -> None:
        self._routes: dict[str, list[CallRoute]] = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self._routes.setdefault(route.host.lower(), []).append(route)

    def find(self, host: str, path: str) -> CallRoute | None:
        """Return the route for *path* at the HTTP host name *host*, ``None`` without one."""
        for route in self._routes.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def digest_key(key: str) -> KeyDigest:
    """Return the digest by which a configuration identifies the API key *key*."""
    return KeyDigest("sha256:" + sha256(key.encode("utf-8", "surrogatepass")).hexdigest())


def authorize_call(
    configuration: Configuration, routes: RouteIndex, host: str, path: str, key: str | None
) -> Access | Refusal:
    """Return the route and the account of a call, or why it is refused.

    :param host: HTTP host name that the caller used.
    :param key: the caller's API key, ``None`` when it sent none.
    """
    route = routes.find(host, path)
    if route is None:
        return Refusal.UNKNOWN_PATH
    if route.open or not configuration.accounts:
        return Access(route, None)
    if key is None:
        return Refusal.NO_KEY
    account = configuration.accounts_by_key.get(digest_key(key))
    return Refusal.UNKNOWN_KEY if account is None else Access(route, account)
