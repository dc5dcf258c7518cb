"""Checks of the references between the parts of a document.

They read the plain data, so that references are also checked in a document with other faults.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final

from lavenderrun.codecs._lines import FieldPath
from lavenderrun.kernel import Registry
from lavenderrun.types import BackendRole, ModelRoute, PlainRoute, Targets

Data = Mapping[str, Any]
FoundFaults = Iterator[tuple[FieldPath, str]]
Check = Callable[[Data], FoundFaults]

DEFAULT_FIRST_TOKEN_SECONDS: Final = Targets().first_token.total_seconds()

REFERENCE_CHECKS: Registry[Check] = Registry("reference check")


def check_references(data: Data) -> FoundFaults:
    """Yield path and text of each fault that a registered check finds."""
    for _, check in REFERENCE_CHECKS:
        yield from check(data)


def _list_items(data: Data, name: str) -> Iterator[tuple[FieldPath, Data]]:
    section = data.get(name)
    if isinstance(section, list):
        for index, item in enumerate(section):
            if isinstance(item, dict):
                yield (name, index), item


def _list_strings(item: Data, name: str) -> Iterator[tuple[int, str]]:
    values = item.get(name)
    if isinstance(values, list):
        yield from ((i, value) for i, value in enumerate(values) if isinstance(value, str))


def _collect_names(data: Data, section: str, field: str) -> set[str]:
    return {
        item[field] for _, item in _list_items(data, section) if isinstance(item.get(field), str)
    }


def _find_repeated(fields: Iterator[tuple[FieldPath, object]], name: str) -> FoundFaults:
    seen: dict[str, FieldPath] = {}
    for path, value in fields:
        if not isinstance(value, str):
            continue
        if value in seen:
            yield path, f"{name} is used twice"
        seen.setdefault(value, path)


def _list_values(data: Data, section: str, field: str) -> Iterator[tuple[FieldPath, object]]:
    for path, item in _list_items(data, section):
        yield (*path, field), item.get(field)


@REFERENCE_CHECKS.register("ids")
def check_ids(data: Data) -> FoundFaults:
    """Report ids, names and addresses that are used twice."""
    yield from _find_repeated(_list_values(data, "accounts", "id"), "client account id")
    yield from _find_repeated(_list_values(data, "models", "name"), "model name")
    yield from _find_repeated(_list_values(data, "model_routes", "model"), "model of a route")
    yield from _find_repeated(_list_values(data, "backends", "id"), "backend server id")
    yield from _find_repeated(_list_values(data, "backends", "agent"), "agent address")
    yield from _find_repeated(_list_route_names(data), "route name")


def _list_route_names(data: Data) -> Iterator[tuple[FieldPath, object]]:
    yield from _list_values(data, "model_routes", "name")
    yield from _list_values(data, "plain_routes", "name")


@REFERENCE_CHECKS.register("keys")
def check_keys(data: Data) -> FoundFaults:
    """Report keys that are listed twice."""
    digests = (
        ((*path, "keys", index), digest)
        for path, item in _list_items(data, "accounts")
        for index, digest in _list_strings(item, "keys")
    )
    yield from _find_repeated(digests, "key digest")


@REFERENCE_CHECKS.register("accounts")
def check_accounts(data: Data) -> FoundFaults:
    """Report routes that list unknown client accounts."""
    known = _collect_names(data, "accounts", "id")
    for section in ("model_routes", "plain_routes"):
        for path, item in _list_items(data, section):
            for index, account in _list_strings(item, "accounts"):
                if account not in known:
                    yield (*path, "accounts", index), "unknown client account"
            if item.get("open") is True and item.get("accounts"):
                yield (*path, "accounts"), "an open route takes no list of client accounts"


@REFERENCE_CHECKS.register("services")
def check_services(data: Data) -> FoundFaults:
    """Report routes and backend servers that name an unknown model or service."""
    models = _collect_names(data, "models", "name")
    for path, item in _list_items(data, "model_routes"):
        if isinstance(item.get("model"), str) and item["model"] not in models:
            yield (*path, "model"), "unknown model"
    services = set()
    for path, item in _list_items(data, "backends"):
        group, plain = item.get("group"), item.get("role") == BackendRole.PLAIN.value
        if not isinstance(group, str):
            continue
        if plain:
            services.add(group)
        if plain and group in models:
            yield (*path, "group"), "a plain service has the name of a model"
        if not plain and group not in models:
            yield (*path, "group"), "unknown model"
    for path, item in _list_items(data, "plain_routes"):
        if isinstance(item.get("service"), str) and item["service"] not in services:
            yield (*path, "service"), "unknown service: no plain backend server has this group"


@REFERENCE_CHECKS.register("prefixes")
def check_prefixes(data: Data) -> FoundFaults:
    """Report plain routes that take the same prefix and method."""
    seen: dict[str, set[str]] = {}
    for path, item in _list_items(data, "plain_routes"):
        prefix = item.get("prefix")
        if not isinstance(prefix, str):
            continue
        prefix = prefix.rstrip("/")
        methods = {method for _, method in _list_strings(item, "methods")}
        taken = seen.get(prefix)
        if taken is not None and (not methods or not taken or methods & taken):
            yield (*path, "prefix"), "another route takes this prefix and method"
        seen[prefix] = methods if taken is None else methods | taken


@REFERENCE_CHECKS.register("targets")
def check_targets(data: Data) -> FoundFaults:
    """Report routes whose patience is below the target for the first token."""
    kinds: list[tuple[str, type[ModelRoute | PlainRoute]]]
    kinds = [("model_routes", ModelRoute), ("plain_routes", PlainRoute)]
    for section, kind in kinds:
        default_patience = kind.model_fields["patience"].default.total_seconds()
        for path, item in _list_items(data, section):
            targets = item.get("targets")
            first = targets.get("first_token") if isinstance(targets, dict) else None
            patience = item.get("patience", default_patience)
            if not isinstance(patience, int | float):
                continue
            if patience < (
                first if isinstance(first, int | float) else DEFAULT_FIRST_TOKEN_SECONDS
            ):
                yield (*path, "patience"), "patience is below the target for the first token"


@REFERENCE_CHECKS.register("links")
def check_links(data: Data) -> FoundFaults:
    """Report links to unknown data centres and pairs of data centres that are listed twice."""
    known = _collect_names(data, "backends", "data_centre")
    pairs: list[tuple[FieldPath, object]] = []
    for path, item in _list_items(data, "links"):
        ends = [item.get("source"), item.get("target")]
        for name, end in zip(("source", "target"), ends, strict=True):
            if isinstance(end, str) and end not in known:
                yield (*path, name), "unknown data centre: no backend server is there"
        if all(isinstance(end, str) for end in ends):
            pairs.append((path, "\n".join(map(str, ends))))
    yield from _find_repeated(iter(pairs), "link")
