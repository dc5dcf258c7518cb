"""Registries that decorators fill and that callers search by name."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class UnknownNameError(LookupError):
    """A name that is not registered."""

    def __init__(self, kind: str, name: str, known: list[str]) -> None:
        super().__init__(f"unknown {kind} {name!r}: one of {', '.join(known) or 'none'}")
        self.kind = kind
        self.name = name


class Registry(Generic[T]):
    """Entries of one kind, each under a name.

    :param kind: kind of the entries, for error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that puts its argument under *name*.

        :raises ValueError: when the name is taken.
        """

        def decorate(entry: T) -> T:
            if name in self._entries:
                msg = f"{self._kind} {name!r} is registered twice"
                raise ValueError(msg)
            self._entries[name] = entry
            return entry

        return decorate

    def find(self, name: str) -> T:
        """Return the entry under *name*.

        :raises UnknownNameError: when there is none.
        """
        try:
            return self._entries[name]
        except KeyError:
            raise UnknownNameError(self._kind, name, self.names()) from None

    def names(self) -> list[str]:
        """Return all names in alphabetical order."""
        return sorted(self._entries)

    def __iter__(self) -> Iterator[tuple[str, T]]:
        return iter(sorted(self._entries.items()))

    def __contains__(self, name: object) -> bool:
        return name in self._entries
