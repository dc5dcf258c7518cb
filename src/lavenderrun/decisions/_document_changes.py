"""Differences between two versions of the document, field by field."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from lavenderrun.types import Change

NAME_FIELDS = ("id", "name")


def find_changes(before: dict[str, Any], after: dict[str, Any]) -> tuple[Change, ...]:
    """Return the fields that differ between two documents, given as plain data."""
    return tuple(_compare("", before, after))


def _compare(path: str, before: Any, after: Any) -> Iterator[Change]:
    if before == after:
        return
    old, new = _index_by_name(before), _index_by_name(after)
    if old is None or new is None:
        yield Change(path, before, after)
        return
    for name in sorted({*old, *new}):
        inner = f"{path}.{name}" if path else name
        yield from _compare(inner, old.get(name), new.get(name))


def _index_by_name(value: Any) -> dict[str, Any] | None:
    """Return the items of *value* by name, ``None`` when its items have no unique names."""
    if isinstance(value, dict):
        return value
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        return None
    names = [next((item[f] for f in NAME_FIELDS if f in item), None) for item in value]
    if None in names or len(set(names)) < len(names):
        return None
    return dict(zip(map(str, names), value, strict=True))
