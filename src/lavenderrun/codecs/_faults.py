"""Faults of files that operators write, with field path and line."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pydantic import ValidationError

from lavenderrun.codecs._lines import Lines, Path


@dataclass(frozen=True)
class Fault:
    """One thing that is wrong in a file.

    :param path: dotted field path, empty when the file as a whole is meant.
    :param line: line in the file from one, zero when it is not known.
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
    """Sentinel that stands for a file that is refused whole; holds every fault of it."""

    faults: tuple[Fault, ...]


def render_path(path: Path) -> str:
    """Return ``accounts[0].rate`` for a path of names and indexes."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{_printable(part)}"
    return text.removeprefix(".")


def make_fault(path: Path, text: str, lines: Lines) -> Fault:
    """Return a fault at *path* with the line of its nearest known parent."""
    return Fault(render_path(path), lines.find(path), text)


def faults_of(error: ValidationError, lines: Lines) -> list[Fault]:
    """Return a fault for each complaint of pydantic; values are left out."""
    details = error.errors(include_url=False, include_context=False, include_input=False)
    return [make_fault(detail["loc"], _sentence(detail["msg"]), lines) for detail in details]


def refuse(faults: Iterable[Fault]) -> FaultList:
    """Return the sentinel over *faults* in the order of their lines."""
    return FaultList(tuple(sorted(set(faults), key=lambda fault: (fault.line, fault.path))))


def _sentence(text: str) -> str:
    text = text.removeprefix("Value error, ")
    return text[:1].lower() + text[1:]


def _printable(name: str) -> str:
    return "".join(char if char.isprintable() else "?" for char in name[:64])
