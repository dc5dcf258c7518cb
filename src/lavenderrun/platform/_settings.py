"""The platform's settings file."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated

import msgspec

from lavenderrun.platform._addresses import is_address
from lavenderrun.types import DataCentre, GatewayBounds, GatewaySettings, HostId

Count = Annotated[float, msgspec.Meta(ge=0)]


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Bounds(msgspec.Struct, rename="kebab"):
    grace_s: Count
    retry_ratio: Count
    retry_window_s: Count
    retry_slack: Count


class _Platform(msgspec.Struct):
    addr: str


class _File(msgspec.Struct, rename="kebab"):
    node: str
    ip: str
    zone: str
    listen: _Listen
    port_range: tuple[int, int]
    bounds: _Bounds
    platform: _Platform


class SettingsError(Exception):
    """A settings file that can not be used; names the field."""


def read_platform_settings(text: bytes, *, metrics_port: int) -> GatewaySettings:
    """Return the settings in the platform's JSON file.

    :param metrics_port: port of the metrics page, which the file does not name.
    :raises SettingsError: names the field that is missing or wrong.
    """
    try:
        found = msgspec.json.decode(text, type=_File)
    except msgspec.DecodeError as error:
        raise SettingsError(str(error)) from error
    addresses = {
        "listen.front": found.listen.front,
        "listen.ready": found.listen.ready,
        "platform.addr": found.platform.addr,
    }
    for field, address in addresses.items():
        if not is_address(address):
            msg = f"{field}: {address!r} is not an IP number and a port"
            raise SettingsError(msg)
    bounds = found.bounds
    return GatewaySettings(
        HostId(found.node),
        DataCentre(found.zone),
        callers=found.listen.front,
        readiness=found.listen.ready,
        peers=f"{found.ip}:{found.port_range[0]}",
        metrics=f"{found.ip}:{metrics_port}",
        store=found.platform.addr,
        bounds=GatewayBounds(
            timedelta(seconds=bounds.grace_s),
            bounds.retry_ratio,
            timedelta(seconds=bounds.retry_window_s),
            # the platform's name says slack for what is a reserve of resends a window
            bounds.retry_slack,
        ),
    )
