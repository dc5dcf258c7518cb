"""Reads the platform's settings file."""

from __future__ import annotations

from datetime import timedelta
from typing import Final

import msgspec

from lavenderrun.decoding import Amount, Milliseconds, Seconds, decode_json, parse_address
from lavenderrun.types import (
    DEFAULT_MEMORY,
    DataCentre,
    GatewayBounds,
    GatewaySettings,
    HostId,
)

MEGABYTE: Final = 1 << 20


class _ListenAddresses(msgspec.Struct):
    front: str
    ready: str


class _Bounds(msgspec.Struct, rename="kebab"):
    grace_s: Seconds
    retry_ratio: Amount
    retry_window_s: Seconds
    retry_slack: Amount
    drain_ms: Milliseconds = 2000
    contact_ms: Milliseconds = 3000
    config_ms: Milliseconds = 2000
    cold_over: Amount | None = None
    cold_slack: Amount | None = None


class _Limits(msgspec.Struct, rename="kebab"):
    memory_mb: Amount | None = None


class _Platform(msgspec.Struct):
    addr: str


class _SettingsFile(msgspec.Struct, rename="kebab"):
    node: str
    ip: str
    zone: str
    listen: _ListenAddresses
    port_range: tuple[int, int]
    bounds: _Bounds
    platform: _Platform
    limits: _Limits = msgspec.field(default_factory=_Limits)


class SettingsError(Exception):
    """The settings file is not valid; the message names the field."""


def read_platform_settings(text: bytes, *, metrics_port: int) -> GatewaySettings:
    """Return the settings in the platform's JSON file.

    :param metrics_port: port of the metrics page, which the file does not name.
    :raises SettingsError: when a field is missing or wrong.
    """
    try:
        settings_file = decode_json(text, _SettingsFile)
    except ValueError as error:
        raise SettingsError(str(error)) from error
    addresses = {
        "listen.front": settings_file.listen.front,
        "listen.ready": settings_file.listen.ready,
        "platform.addr": settings_file.platform.addr,
    }
    for field, address in addresses.items():
        try:
            parse_address(address)
        except ValueError as error:
            msg = f"{field}: {address!r} is not of the form IP:PORT"
            raise SettingsError(msg) from error
    bounds, memory_mb = settings_file.bounds, settings_file.limits.memory_mb
    return GatewaySettings(
        HostId(settings_file.node),
        DataCentre(settings_file.zone),
        callers=settings_file.listen.front,
        readiness=settings_file.listen.ready,
        peers=f"{settings_file.ip}:{settings_file.port_range[0]}",
        metrics=f"{settings_file.ip}:{metrics_port}",
        store=settings_file.platform.addr,
        bounds=GatewayBounds(
            timedelta(seconds=bounds.grace_s),
            timedelta(milliseconds=bounds.drain_ms),
            bounds.retry_ratio,
            timedelta(seconds=bounds.retry_window_s),
            # called slack by the platform: resends that are allowed in each window beyond the ratio
            bounds.retry_slack,
            DEFAULT_MEMORY if memory_mb is None else int(memory_mb * MEGABYTE),
            bounds.cold_over or 0,
            bounds.cold_slack or 0,
            timedelta(milliseconds=bounds.contact_ms),
            timedelta(milliseconds=bounds.config_ms),
        ),
    )
