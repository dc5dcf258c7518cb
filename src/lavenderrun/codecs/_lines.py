"""Where the fields of a TOML or JSON text stand."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property

Path = tuple[str | int, ...]

TOKEN = re.compile(
    r'''(?P<string>"""(?:\\.|[^\\])*?"""(?:"{0,2})|\'\'\'.*?\'\'\'(?:'{0,2})'''
    r"""|"(?:\\.|[^"\\\n])*"|'[^'\n]*')"""
    r"""|(?P<comment>\#[^\n]*)|(?P<newline>\n)|(?P<mark>[\[\]{}=:,])|(?P<bare>[^\s\[\]{}=:,"'\#]+)""",
    re.DOTALL,
)
NESTING_MAX = 64


@dataclass
class _Places:
    known: dict[Path, int] = field(default_factory=dict)
    repeated: list[Path] = field(default_factory=list)

    def note(self, path: Path, line: int) -> None:
        self.known.setdefault(path, line)


class Lines:
    """Lines of the fields of a text, from one; worked out when the first is asked for."""

    def __init__(self, walk: Callable[[], _Places]) -> None:
        self._walk = walk

    @cached_property
    def _places(self) -> _Places:
        return self._walk()

    @property
    def repeated(self) -> list[Path]:
        """Fields that a JSON object names twice."""
        return self._places.repeated

    def find(self, path: Path) -> int:
        """Return the line of *path* or of its nearest known parent, zero when there is none."""
        for size in range(len(path), 0, -1):
            line = self._places.known.get(path[:size])
            if line is not None:
                return line
        return 0


@dataclass(frozen=True)
class _Token:
    kind: str
    text: str
    line: int


def locate_toml(text: str) -> Lines:
    """Return the lines of the fields of *text*, which is valid TOML."""
    return Lines(lambda: _Walker(text).walk_toml())


def locate_json(text: str) -> Lines:
    """Return the lines of the fields of *text*, which is valid JSON."""
    return Lines(lambda: _Walker(text).walk_json())


class _Walker:
    def __init__(self, text: str) -> None:
        self._tokens = _split(text)
        self._at = 0
        self._lines = _Places()
        self._counts: dict[Path, int] = {}

    def walk_json(self) -> _Places:
        self._walk_value((), 0)
        return self._lines

    def walk_toml(self) -> _Places:
        table: Path = ()
        while (token := self._skip_newlines()) is not None:
            if token.text == "[" and token.kind == "mark":
                table = self._walk_header(token.line)
                continue
            start = self._at
            self._walk_pair(table, 0)
            if self._at == start:
                self._at += 1
        return self._lines

    def _walk_header(self, line: int) -> Path:
        brackets = 0
        while self._is_mark("["):
            brackets += 1
            self._at += 1
        names = self._take_key("]")
        while self._is_mark("]"):
            self._at += 1
        path: Path = ()
        for name in names[:-1]:
            path = self._into_last((*path, name))
        path = (*path, *names[-1:])
        if brackets > 1:
            count = self._counts.get(path, 0)
            self._counts[path] = count + 1
            self._lines.note(path, line)
            path = (*path, count)
        self._lines.note(path, line)
        return path

    def _into_last(self, path: Path) -> Path:
        count = self._counts.get(path)
        return path if count is None else (*path, count - 1)

    def _walk_pair(self, parent: Path, depth: int) -> None:
        token = self._peek()
        if token is None:
            return
        path = (*parent, *self._take_key("=:"))
        if path in self._lines.known and token.kind == "string":
            self._lines.repeated.append(path)
        for size in range(len(parent) + 1, len(path) + 1):
            self._lines.note(path[:size], token.line)
        if self._is_mark("=:"):
            self._at += 1
            self._walk_value(path, depth)

    def _take_key(self, ends: str) -> list[str]:
        names: list[str] = []
        while (token := self._peek()) is not None and token.kind in {"string", "bare"}:
            if token.kind == "string":
                names.append(_unquote(token.text))
            else:
                names.extend(name for name in token.text.split(".") if name)
            self._at += 1
        while (token := self._peek()) is not None and token.kind == "mark":
            if token.text in ends:
                break
            self._at += 1
        return names

    def _walk_value(self, path: Path, depth: int) -> None:
        token = self._skip_newlines()
        if token is None or depth > NESTING_MAX:
            self._at = len(self._tokens)
        elif token.kind == "mark" and token.text == "[":
            self._walk_items(path, depth)
        elif token.kind == "mark" and token.text == "{":
            self._walk_pairs(path, depth)
        else:
            self._skip_scalar()

    def _walk_items(self, path: Path, depth: int) -> None:
        self._at += 1
        index = 0
        while (token := self._skip_newlines()) is not None and not self._is_mark("]"):
            if self._is_mark(",:=}"):
                self._at += 1
                continue
            self._lines.note((*path, index), token.line)
            self._walk_value((*path, index), depth + 1)
            index += 1
        self._at += 1

    def _walk_pairs(self, path: Path, depth: int) -> None:
        self._at += 1
        while self._skip_newlines() is not None and not self._is_mark("}"):
            if self._is_mark(",:=]["):
                self._at += 1
                continue
            self._walk_pair(path, depth + 1)
        self._at += 1

    def _skip_scalar(self) -> None:
        while (token := self._peek()) is not None and token.kind != "newline":
            if token.kind == "mark" and token.text in ",]}":
                return
            self._at += 1

    def _skip_newlines(self) -> _Token | None:
        while (token := self._peek()) is not None and token.kind == "newline":
            self._at += 1
        return self._peek()

    def _is_mark(self, marks: str) -> bool:
        token = self._peek()
        return token is not None and token.kind == "mark" and token.text in marks

    def _peek(self) -> _Token | None:
        return self._tokens[self._at] if self._at < len(self._tokens) else None


def _split(text: str) -> list[_Token]:
    tokens: list[_Token] = []
    line = 1
    for match in TOKEN.finditer(text):
        kind = match.lastgroup or ""
        if kind != "comment":
            tokens.append(_Token(kind, match.group(), line))
        line += match.group().count("\n")
    return tokens


def _unquote(text: str) -> str:
    if text.startswith('"'):
        try:
            value = json.loads(text)
        except ValueError:
            value = text.strip('"')
        return str(value)
    return text.strip("'")
