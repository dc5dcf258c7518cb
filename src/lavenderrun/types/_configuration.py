"""The configuration of a gateway: hosts' routes, services, client accounts and callers' limits."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from functools import cached_property

from lavenderrun.types._ids import (
    AccountId,
    DocumentVersion,
    KeyDigest,
    RouteName,
    ServiceGroup,
)
from lavenderrun.types._states import Repeatability


class Delivery(Enum):
    """How an answer arrives."""

    WHOLE = "whole"
    EVENTS = "events"


class QuotaUnit(Enum):
    """What an account's quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True)
class WeightedService:
    """One service that a route leads to.

    :param weight: its share of the route's calls against the other services.
    """

    service: ServiceGroup
    weight: float


@dataclass(frozen=True)
class CallRoute:
    """Rules for the calls under one host and path prefix.

    :param prefix: begins and ends with a slash; the longest that fits wins.
    :param resumable: an interrupted stream may go on at another backend server.
    :param timeout: longest time until the final answer.
    :param objective: time until the answer, or its first event, that callers expect.
    :param gap_objective: longest pause between events that callers expect.
    :param rank: urgency, zero is first.
    :param attempts: most backend servers that one call may be sent to.
    :param open: served without a key.
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

    @property
    def is_idempotent(self) -> bool:
        """Whether a call may run more than once."""
        if self.delivery is Delivery.EVENTS:
            return self.resumable
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclass(frozen=True)
class EngineConfiguration:
    """What the engines of a model service have in common.

    :param kv_tokens: tokens of KV cache that one engine holds.
    :param export_lifetime: how long an engine keeps KV cache for another one.
    """

    kv_tokens: int
    export_lifetime: timedelta


@dataclass(frozen=True)
class ServiceConfiguration:
    """A service; one without *engine* is a plain one."""

    name: ServiceGroup
    engine: EngineConfiguration | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Most bytes of a body, and how long a connection may idle."""

    body_bytes: int
    idle_timeout: timedelta


@dataclass(frozen=True)
class AccountQuota:
    """Rate and burst of one account, summed over all hosts.

    :param rate: units a second.
    :param burst: units that may come at once.
    :param default_cost: tokens of a call that declares none.
    """

    unit: QuotaUnit
    rate: float
    burst: float
    default_cost: int


@dataclass(frozen=True)
class ClientAccount:
    """A client account, the digests of its keys and its quota.

    :param rank: urgency, zero is first; ``None`` leaves it to the route.
    :param quota: ``None`` for no limit.
    """

    id: AccountId
    keys: frozenset[KeyDigest]
    rank: int | None
    quota: AccountQuota | None


@dataclass(frozen=True)
class Configuration:
    """The whole configuration in one version."""

    version: DocumentVersion
    routes: tuple[CallRoute, ...]
    services: dict[ServiceGroup, ServiceConfiguration]
    accounts: tuple[ClientAccount, ...]
    limits: CallerLimits

    @cached_property
    def accounts_by_key(self) -> dict[KeyDigest, ClientAccount]:
        """The account of each key."""
        return {digest: account for account in self.accounts for digest in account.keys}
