"""The operator's configuration, decoded into the product's types."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated, Final

import msgspec

from lavenderrun.dispatch import digest_key
from lavenderrun.types import (
    AccountId,
    AccountQuota,
    CallerLimits,
    CallRoute,
    ClientAccount,
    Configuration,
    Delivery,
    DocumentVersion,
    EngineConfiguration,
    QuotaUnit,
    Repeatability,
    RouteName,
    ServiceConfiguration,
    ServiceGroup,
    WeightedService,
)

STREAM: Final = "stream"
SAFE: Final = "safe"
KINDS: Final = {STREAM, SAFE, "unsafe"}
TOKENS: Final = "tokens"

EXPORT_LIFE: Final = timedelta(milliseconds=500)
"""How long engines keep exported KV cache when the configuration does not say."""

ROUTE_TIMEOUT: Final = timedelta(seconds=30)
"""Time-out of a route that states none."""

Amount = Annotated[float, msgspec.Meta(ge=0)]


class _Share(msgspec.Struct):
    service: str
    weight: Amount


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: Amount | None = None
    slo_ms: Amount | None = None  # objective of the answer or its first event
    priority: int = 0
    service: str | None = None
    split: list[_Share] | None = None
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: Amount | None = None


class _Engine(msgspec.Struct, rename="kebab"):
    kv_tokens: int
    kv_hold_s: Amount | None = None


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="kebab"):
    max_body_bytes: int = 4194304
    idle_timeout_ms: Amount = 15000


class _Tenant(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = "requests"
    plain_tokens: int = 0
    rate_per_s: Amount = 0
    burst: Amount = 0


class _Document(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration.

    :raises ValueError: names the field that can not be read.
    """
    try:
        found = msgspec.json.decode(value, type=_Document)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from error
    return Configuration(
        DocumentVersion(found.version),
        tuple(_convert_route(route) for route in found.routes),
        {ServiceGroup(s.name): _convert_service(s) for s in found.services},
        tuple(_convert_account(tenant) for tenant in found.tenants),
        CallerLimits(
            found.limits.max_body_bytes,
            timedelta(milliseconds=found.limits.idle_timeout_ms),
        ),
    )


def _convert_route(route: _Route) -> CallRoute:
    if route.kind not in KINDS:
        msg = f"routes: kind of {route.name!r} is not known"
        raise ValueError(msg)
    if route.split:
        services = tuple(WeightedService(ServiceGroup(s.service), s.weight) for s in route.split)
    elif route.service is not None:
        services = (WeightedService(ServiceGroup(route.service), 1.0),)
    else:
        msg = f"routes: {route.name!r} leads to no service"
        raise ValueError(msg)
    timeout = ROUTE_TIMEOUT if route.timeout_ms is None else _milliseconds(route.timeout_ms)
    gap = None if route.gap_aim_ms is None else _milliseconds(route.gap_aim_ms)
    safe = route.kind == SAFE
    return CallRoute(
        RouteName(route.name),
        route.host,
        route.prefix,
        Repeatability.IDEMPOTENT if safe else Repeatability.AT_MOST_ONCE,
        Delivery.EVENTS if route.kind == STREAM else Delivery.WHOLE,
        route.resumable,
        timeout,
        timeout if route.slo_ms is None else _milliseconds(route.slo_ms),
        gap,
        route.priority,
        max(1, route.attempts),
        route.public,
        services,
    )


def _convert_service(service: _Service) -> ServiceConfiguration:
    engine = service.engine
    facts = None
    if engine is not None:
        life = EXPORT_LIFE if engine.kv_hold_s is None else timedelta(seconds=engine.kv_hold_s)
        facts = EngineConfiguration(engine.kv_tokens, life)
    return ServiceConfiguration(ServiceGroup(service.name), facts)


def _convert_account(tenant: _Tenant) -> ClientAccount:
    quota = None
    if tenant.rate_per_s:
        unit = QuotaUnit.TOKENS if tenant.unit == TOKENS else QuotaUnit.REQUESTS
        quota = AccountQuota(unit, tenant.rate_per_s, tenant.burst, tenant.plain_tokens)
    keys = frozenset(digest_key(key) for key in tenant.api_keys)
    return ClientAccount(AccountId(tenant.name), keys, tenant.priority, quota)


def _milliseconds(amount: float) -> timedelta:
    return timedelta(milliseconds=amount)
