"""Versioned encoding of rows in the table service.

A row is the MessagePack of an encoding version and a struct. Old versions stay registered with
an upgrade, so that hosts of two releases can share a table.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from lavenderrun.kernel import Registry

R = TypeVar("R", bound=msgspec.Struct)


class RowError(ValueError):
    """A row that cannot be decoded.

    :param field: path of the invalid field, ``$`` for the row as a whole.
    """

    def __init__(self, table: str, key: str, field: str, reason: str) -> None:
        super().__init__(f"row {key!r} of table {table!r}, field {field}: {reason}")
        self.table = table
        self.key = key
        self.field = field


class RowEncoding(msgspec.Struct, frozen=True):
    """One version of the encoding of a table's rows.

    :param upgrade: converts a decoded struct to the newest version.
    """

    version: int
    struct: type[msgspec.Struct]
    upgrade: Callable[[Any], Any]


ROWS: Registry[RowEncoding] = Registry("row encoding")


def row(
    table: str, version: int, upgrade: Callable[[Any], Any] = lambda value: value
) -> Callable[[type[R]], type[R]]:
    """Return a decorator that registers a struct as the given version of a table's rows."""

    def decorate(struct: type[R]) -> type[R]:
        ROWS.register(f"{table}/{version}")(RowEncoding(version, struct, upgrade))
        return struct

    return decorate


class RowCodec:
    """Encodes rows in a table's newest version and decodes all registered versions."""

    def __init__(self, table: str) -> None:
        self._table = table
        encodings = [kind for name, kind in ROWS if name.rpartition("/")[0] == table]
        self._encodings = {kind.version: kind for kind in encodings}
        self._newest = max(self._encodings)
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, value: msgspec.Struct) -> bytes:
        """Return the bytes of a struct of the newest version."""
        return self._encoder.encode((self._newest, value))

    def decode(self, key: str, data: bytes) -> Any:
        """Return the struct in *data*, upgraded to the newest version.

        :raises RowError: names table, key and field.
        """
        try:
            version, body = msgspec.msgpack.decode(data, type=tuple[int, msgspec.Raw])
        except (msgspec.DecodeError, RecursionError) as error:
            raise RowError(self._table, key, "$", str(error)) from None
        encoding = self._encodings.get(version)
        if encoding is None:
            known = ", ".join(map(str, sorted(self._encodings)))
            reason = f"unknown version {version}; known: {known}"
            raise RowError(self._table, key, "version", reason)
        try:
            return encoding.upgrade(msgspec.msgpack.decode(body, type=encoding.struct))
        except (msgspec.DecodeError, RecursionError) as error:
            reason, _, path = str(error).partition(" - at ")
            raise RowError(self._table, key, path.strip("`") or "$", reason) from None
