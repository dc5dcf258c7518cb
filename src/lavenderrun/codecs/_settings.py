"""Settings files of the daemons."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from ipaddress import ip_address
from typing import Any, Final, TypeVar

from lavenderrun.codecs._document import FileFormat, build, parse
from lavenderrun.codecs._faults import FaultList, make_fault, make_fault_list
from lavenderrun.codecs._lines import FieldPath
from lavenderrun.kernel import Registry
from lavenderrun.types import DaemonSettings

S = TypeVar("S", bound=DaemonSettings)

FoundFaults = Iterator[tuple[FieldPath, str]]
Check = Callable[[Mapping[str, Any]], FoundFaults]

MAX_PORT: Final = 65535
TLS_SECTIONS: Final = ("host", "front", "admin")

SETTINGS_CHECKS: Registry[Check] = Registry("settings check")


def read_settings(text: str | bytes, kind: type[S]) -> S | FaultList:
    """Return the settings in a TOML text, or all faults in it."""
    parsed = parse(text, FileFormat.TOML)
    if isinstance(parsed, FaultList):
        return parsed
    data, lines = parsed
    settings = build(kind, data, lines)
    faults = [
        make_fault(path, message, lines)
        for _, check in SETTINGS_CHECKS
        for path, message in check(data)
    ]
    if isinstance(settings, FaultList):
        faults.extend(settings.faults)
    if isinstance(settings, FaultList) or faults:
        return make_fault_list(faults)
    return settings


def _list_sections(data: Mapping[str, Any]) -> Iterator[tuple[str, Mapping[str, Any]]]:
    return ((name, section) for name, section in data.items() if isinstance(section, dict))


@SETTINGS_CHECKS.register("boot")
def check_boot(data: Mapping[str, Any]) -> FoundFaults:
    """Report a ``boot`` field, which is never read from a file."""
    if "boot" in data:
        yield ("boot",), "extra inputs are not permitted"


@SETTINGS_CHECKS.register("addresses")
def check_addresses(data: Mapping[str, Any]) -> FoundFaults:
    """Report addresses other than an IP address with a port."""
    for name, section in _list_sections(data):
        for field in ("listen", "address"):
            value = section.get(field)
            if isinstance(value, str) and not _is_address(value):
                yield (name, field), "must be an IP number and a port"
    host = data.get("host")
    listen = host.get("listen") if isinstance(host, dict) else None
    if isinstance(listen, str) and listen.endswith(":0"):
        yield ("host", "listen"), "needs a port, since the other daemons dial it"


@SETTINGS_CHECKS.register("store")
def check_store(data: Mapping[str, Any]) -> FoundFaults:
    """Report a URL of the table service that is not HTTP to an IP address."""
    store = data.get("store")
    url = store.get("url", "") if isinstance(store, dict) else None
    if isinstance(url, str) and not _is_url(url):
        yield ("store", "url"), "must be http:// or https:// with an IP number and a port"


@SETTINGS_CHECKS.register("certificates")
def check_certificates(data: Mapping[str, Any]) -> FoundFaults:
    """Report certificates without private key or, for links, without authority, and the reverse."""
    for name, section in _list_sections(data):
        if name not in TLS_SECTIONS:
            continue
        fields = ["certificate", "private_key"] + ["authority"] * (name == "host")
        missing = [field for field in fields if section.get(field) is None]
        if len(missing) < len(fields):
            yield from (
                ((name, field), f"is missing; {_join_field_names(fields)}") for field in missing
            )


def _join_field_names(fields: list[str]) -> str:
    return f"{', '.join(fields[:-1])} and {fields[-1]} go together"


def _is_url(value: str) -> bool:
    scheme, separator, rest = value.partition("://")
    return bool(separator) and scheme in {"http", "https"} and _is_address(rest.partition("/")[0])


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdecimal() and int(port) <= MAX_PORT
