"""Decodes the operator's configuration into the types of the gateway."""

from __future__ import annotations

from datetime import timedelta
from typing import Final

import msgspec

from lavenderrun.decoding import Amount, Count, Milliseconds, Seconds, decode_json
from lavenderrun.dispatch import digest_key
from lavenderrun.types import (
    DEFAULT_HEAD_BYTES,
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
ROUTE_KINDS: Final = {STREAM, SAFE, "unsafe"}
TOKENS: Final = "tokens"

DEFAULT_EXPORT_LIFETIME: Final = timedelta(milliseconds=500)
"""How long engines keep exported KV cache, unless the configuration sets it."""

DEFAULT_ROUTE_TIMEOUT: Final = timedelta(seconds=30)
"""Time-out of a route that sets none."""


class _SplitEntry(msgspec.Struct):
    service: str
    weight: Amount


class _RouteEntry(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: Milliseconds | None = None
    slo_ms: Milliseconds | None = None  # latency objective of the answer or its first event
    priority: int = 0
    service: str | None = None
    split: list[_SplitEntry] | None = None
    attempts: Count = 1
    public: bool = False
    resumable: bool = False
    sticky: bool = False
    gap_aim_ms: Milliseconds | None = None


class _EngineEntry(msgspec.Struct, rename="kebab"):
    kv_tokens: Count
    kv_hold_s: Seconds | None = None
    hold_ms: Milliseconds = 0  # longest lifetime of a hold; zero without holds
    swap_s: Seconds = 0.0


class _ServiceEntry(msgspec.Struct, rename="kebab"):
    name: str
    engine: _EngineEntry | None = None
    cold_s: Seconds | None = None
    cold_per_s: Amount | None = None


class _LimitsEntry(msgspec.Struct, rename="kebab"):
    header_bytes: Count = DEFAULT_HEAD_BYTES
    max_body_bytes: Count = 4194304
    idle_timeout_ms: Milliseconds = 15000
    header_timeout_ms: Milliseconds | None = None


class _AccountEntry(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = "requests"
    plain_tokens: Count = 0
    rate_per_s: Amount = 0
    burst: Amount = 0


class _ConfigurationDocument(msgspec.Struct):
    version: Count
    routes: list[_RouteEntry] = []
    services: list[_ServiceEntry] = []
    limits: _LimitsEntry = msgspec.field(default_factory=_LimitsEntry)
    tenants: list[_AccountEntry] = []


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration in a JSON document.

    :raises ValueError: when a field is missing or wrong; names the field.
    """
    document = decode_json(value, _ConfigurationDocument)
    return Configuration(
        DocumentVersion(document.version),
        tuple(_convert_route(route) for route in document.routes),
        {ServiceGroup(s.name): _convert_service(s) for s in document.services},
        tuple(_convert_account(account) for account in document.tenants),
        CallerLimits(
            document.limits.max_body_bytes,
            timedelta(milliseconds=document.limits.idle_timeout_ms),
            None
            if document.limits.header_timeout_ms is None
            else timedelta(milliseconds=document.limits.header_timeout_ms),
            document.limits.header_bytes,
        ),
    )


def _convert_route(route: _RouteEntry) -> CallRoute:
    if route.kind not in ROUTE_KINDS:
        msg = f"routes: unknown kind {route.kind!r} of route {route.name!r}"
        raise ValueError(msg)
    if route.split:
        services = tuple(WeightedService(ServiceGroup(s.service), s.weight) for s in route.split)
    elif route.service is not None:
        services = (WeightedService(ServiceGroup(route.service), 1.0),)
    else:
        msg = f"routes: route {route.name!r} has no service"
        raise ValueError(msg)
    timeout = (
        DEFAULT_ROUTE_TIMEOUT
        if route.timeout_ms is None
        else _convert_milliseconds(route.timeout_ms)
    )
    gap = None if route.gap_aim_ms is None else _convert_milliseconds(route.gap_aim_ms)
    safe = route.kind == SAFE
    return CallRoute(
        RouteName(route.name),
        route.host,
        route.prefix,
        Repeatability.IDEMPOTENT if safe else Repeatability.AT_MOST_ONCE,
        Delivery.EVENTS if route.kind == STREAM else Delivery.WHOLE,
        route.resumable,
        timeout,
        timeout if route.slo_ms is None else _convert_milliseconds(route.slo_ms),
        gap,
        route.priority,
        max(1, route.attempts),
        route.public,
        services,
        route.sticky,
    )


def _convert_service(service: _ServiceEntry) -> ServiceConfiguration:
    engine = service.engine
    engine_configuration = None
    if engine is not None:
        lifetime = (
            DEFAULT_EXPORT_LIFETIME
            if engine.kv_hold_s is None
            else timedelta(seconds=engine.kv_hold_s)
        )
        engine_configuration = EngineConfiguration(
            engine.kv_tokens,
            lifetime,
            _convert_milliseconds(engine.hold_ms),
            timedelta(seconds=engine.swap_s),
        )
    cold_time = timedelta(seconds=service.cold_s or 0)
    name = ServiceGroup(service.name)
    return ServiceConfiguration(name, engine_configuration, cold_time, service.cold_per_s or 0)


def _convert_account(account: _AccountEntry) -> ClientAccount:
    quota = None
    if account.rate_per_s:
        unit = QuotaUnit.TOKENS if account.unit == TOKENS else QuotaUnit.REQUESTS
        quota = AccountQuota(unit, account.rate_per_s, account.burst, account.plain_tokens)
    keys = frozenset(digest_key(key) for key in account.api_keys)
    return ClientAccount(AccountId(account.name), keys, account.priority, quota)


def _convert_milliseconds(amount: float) -> timedelta:
    return timedelta(milliseconds=amount)
