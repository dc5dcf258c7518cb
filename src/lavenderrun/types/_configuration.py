"""Configuration of a gateway: routes, services, client accounts and limits on callers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from functools import cached_property
from typing import Final

from lavenderrun.types._ids import (
    AccountId,
    DocumentVersion,
    KeyDigest,
    RouteName,
    ServiceGroup,
)
from lavenderrun.types._states import Repeatability


class Delivery(Enum):
    """How an answer is delivered: as one body or as a stream of events."""

    WHOLE = "whole"
    EVENTS = "events"


class QuotaUnit(Enum):
    """What a client account's quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True)
class WeightedService:
    """A service that a route sends calls to.

    :param weight: share of the route's calls, relative to the weights of its other services.
    """

    service: ServiceGroup
    weight: float


@dataclass(frozen=True)
class CallRoute:
    """Rules for the calls under one host name and path prefix.

    :param prefix: begins and ends with a slash; the longest matching prefix wins.
    :param resumable: an interrupted stream may continue at another backend server.
    :param timeout: maximum time until the final answer.
    :param objective: time to the answer, or to its first event, that callers expect.
    :param gap_objective: longest pause between events that callers expect.
    :param rank: priority, zero is the most urgent.
    :param attempts: maximum number of backend servers that one call is sent to.
    :param open: served without an API key.
    :param reuses_prefixes: its prompts have parts in common that engines keep.
    """

    name: RouteName
    host: str
    prefix: str
    repeatability: Repeatability
    delivery: Delivery
    resumable: bool
    timeout: timedelta
    objective: timedelta
    gap_objective: timedelta | None
    rank: int
    attempts: int
    open: bool
    services: tuple[WeightedService, ...]
    reuses_prefixes: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a call may run more than once."""
        if self.delivery is Delivery.EVENTS:
            return self.resumable
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclass(frozen=True)
class EngineConfiguration:
    """Properties that all engines of a model service share.

    :param kv_tokens: tokens of KV cache that one engine holds.
    :param export_lifetime: how long an engine keeps KV cache for another engine.
    :param hold_lifetime: longest time for which an engine reserves capacity for a call, zero when
        it does not.
    :param role_change_time: how long an engine that changes its role serves no calls, zero when
        unknown.
    """

    kv_tokens: int
    export_lifetime: timedelta
    hold_lifetime: timedelta = timedelta(0)
    role_change_time: timedelta = timedelta(0)


ROUTE_RANKS: Final = 10
"""Ranks of routes that are told apart among calls of one rank of accounts; lower ones are alike."""


def combine_ranks(account_rank: int | None, route_rank: int) -> int:
    """Return the rank of a call: by the rank of its account first, then by that of its route.

    Calls of accounts of one rank keep the order of their routes.

    :param account_rank: ``None`` leaves the order to the route.
    """
    first = route_rank if account_rank is None else account_rank
    return max(0, first) * ROUTE_RANKS + min(ROUTE_RANKS - 1, max(0, route_rank))


@dataclass(frozen=True)
class ServiceConfiguration:
    """A service of backend servers; a plain service has no *engine*.

    :param cold_time: how long its servers are cold after a start during traffic.
    :param cold_rate: calls a second that a cold server takes, zero for no bound.
    """

    name: ServiceGroup
    engine: EngineConfiguration | None = None
    cold_time: timedelta = timedelta(0)
    cold_rate: float = 0.0


DEFAULT_HEAD_BYTES: Final = 16384
"""Largest head of a request until a configuration sets another one."""


@dataclass(frozen=True)
class CallerLimits:
    """Limits on callers.

    :param body_bytes: maximum size of a body.
    :param idle_timeout: how long a connection may stay idle.
    :param head_timeout: how long the head of a request may take, ``None`` for the idle timeout.
    :param head_bytes: maximum size of a head.
    """

    body_bytes: int
    idle_timeout: timedelta
    head_timeout: timedelta | None = None
    head_bytes: int = DEFAULT_HEAD_BYTES


@dataclass(frozen=True)
class AccountQuota:
    """Rate and burst of one client account, summed over all hosts.

    :param rate: units per second.
    :param burst: units that may be used at once.
    :param default_cost: tokens charged for a call that declares none.
    """

    unit: QuotaUnit
    rate: float
    burst: float
    default_cost: int


@dataclass(frozen=True)
class ClientAccount:
    """A client account, the digests of its API keys and its quota.

    :param rank: priority, zero is the most urgent; ``None`` leaves it to the route.
    :param quota: ``None`` for no limit.
    """

    id: AccountId
    keys: frozenset[KeyDigest]
    rank: int | None
    quota: AccountQuota | None


@dataclass(frozen=True)
class Configuration:
    """One version of the whole configuration."""

    version: DocumentVersion
    routes: tuple[CallRoute, ...]
    services: dict[ServiceGroup, ServiceConfiguration]
    accounts: tuple[ClientAccount, ...]
    limits: CallerLimits

    @cached_property
    def has_stream_ranks(self) -> bool:
        """Whether streams differ in rank, by their accounts or by their routes."""
        streams = {route.rank for route in self.routes if route.delivery is Delivery.EVENTS}
        return len(streams) > 1 or len({account.rank for account in self.accounts}) > 1

    @cached_property
    def lowest_rank(self) -> int:
        """The least urgent rank that calls can have."""
        account_ranks = {account.rank for account in self.accounts} | {None}
        return max(
            (combine_ranks(rank, route.rank) for rank in account_ranks for route in self.routes),
            default=0,
        )

    @cached_property
    def accounts_by_key(self) -> dict[KeyDigest, ClientAccount]:
        """The client account of each key digest."""
        return {digest: account for account in self.accounts for digest in account.keys}
