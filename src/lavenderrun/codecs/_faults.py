"""Faults in files that operators write, with field path and line."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pydantic import ValidationError

from lavenderrun.codecs._lines import FieldLines, FieldPath


@dataclass(frozen=True)
class Fault:
    """One fault in a file.

    :param path: dotted field path, empty for the file as a whole.
    :param line: line in the file from one, zero when unknown.
    :param text: what is wrong, without the value, which may be a secret.
    """

    path: str
    line: int
    text: str

    def __str__(self) -> str:
        place = f"line {self.line}: " if self.line else ""
        field = f"{self.path}: " if self.path else ""
        return f"{place}{field}{self.text}"


@dataclass(frozen=True)
class FaultList:
    """Sentinel for a file that is refused, with all faults in it."""

    faults: tuple[Fault, ...]


def render_path(path: FieldPath) -> str:
    """Return a path of names and indexes as text, such as ``accounts[0].rate``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{_replace_unprintable(part)}"
    return text.removeprefix(".")


def make_fault(path: FieldPath, text: str, lines: FieldLines) -> Fault:
    """Return a fault at *path* with the line of its nearest known parent."""
    return Fault(render_path(path), lines.find(path), text)


def convert_errors(error: ValidationError, lines: FieldLines) -> list[Fault]:
    """Return a fault for each error that pydantic reports, without the invalid values."""
    details = error.errors(include_url=False, include_context=False, include_input=False)
    return [make_fault(detail["loc"], _clean_message(detail["msg"]), lines) for detail in details]


def make_fault_list(faults: Iterable[Fault]) -> FaultList:
    """Return *faults* without duplicates, sorted by line and path."""
    return FaultList(tuple(sorted(set(faults), key=lambda fault: (fault.line, fault.path))))


def _clean_message(text: str) -> str:
    text = text.removeprefix("Value error, ")
    return text[:1].lower() + text[1:]


def _replace_unprintable(name: str) -> str:
    return "".join(char if char.isprintable() else "?" for char in name[:64])
