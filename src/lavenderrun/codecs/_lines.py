"""Line numbers of the fields of a TOML or JSON text."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property

FieldPath = tuple[str | int, ...]

TOKEN = re.compile(
    r'''(?P<string>"""(?:\\.|[^\\])*?"""(?:"{0,2})|\'\'\'.*?\'\'\'(?:'{0,2})'''
    r"""|"(?:\\.|[^"\\\n])*"|'[^'\n]*')"""
    r"""|(?P<comment>\#[^\n]*)|(?P<newline>\n)|(?P<mark>[\[\]{}=:,])|(?P<bare>[^\s\[\]{}=:,"'\#]+)""",
    re.DOTALL,
)
MAX_NESTING = 64  # levels


@dataclass
class _KnownLines:
    known: dict[FieldPath, int] = field(default_factory=dict)
    repeated: list[FieldPath] = field(default_factory=list)

    def note(self, path: FieldPath, line: int) -> None:
        self.known.setdefault(path, line)


class FieldLines:
    """Line numbers of the fields of a text, from one; computed on first use."""

    def __init__(self, walk: Callable[[], _KnownLines]) -> None:
        self._walk = walk

    @cached_property
    def _known_lines(self) -> _KnownLines:
        return self._walk()

    @property
    def repeated(self) -> list[FieldPath]:
        """Fields that a JSON object names more than once."""
        return self._known_lines.repeated

    def find(self, path: FieldPath) -> int:
        """Return the line of *path* or of its nearest known parent, zero when neither is known."""
        for size in range(len(path), 0, -1):
            line = self._known_lines.known.get(path[:size])
            if line is not None:
                return line
        return 0


@dataclass(frozen=True)
class _Token:
    kind: str
    text: str
    line: int


def locate_toml(text: str) -> FieldLines:
    """Return the lines of the fields of *text*, which must be valid TOML."""
    return FieldLines(lambda: _LineWalker(text).walk_toml())


def locate_json(text: str) -> FieldLines:
    """Return the lines of the fields of *text*, which must be valid JSON."""
    return FieldLines(lambda: _LineWalker(text).walk_json())


class _LineWalker:
    def __init__(self, text: str) -> None:
        self._tokens = _tokenize(text)
        self._position = 0
        self._lines = _KnownLines()
        self._counts: dict[FieldPath, int] = {}

    def walk_json(self) -> _KnownLines:
        self._walk_value((), 0)
        return self._lines

    def walk_toml(self) -> _KnownLines:
        table: FieldPath = ()
        while (token := self._skip_newlines()) is not None:
            if token.text == "[" and token.kind == "mark":
                table = self._walk_header(token.line)
                continue
            start = self._position
            self._walk_pair(table, 0)
            if self._position == start:
                self._position += 1
        return self._lines

    def _walk_header(self, line: int) -> FieldPath:
        brackets = 0
        while self._is_punctuation("["):
            brackets += 1
            self._position += 1
        names = self._read_key("]")
        while self._is_punctuation("]"):
            self._position += 1
        path: FieldPath = ()
        for name in names[:-1]:
            path = self._find_last_item((*path, name))
        path = (*path, *names[-1:])
        if brackets > 1:
            count = self._counts.get(path, 0)
            self._counts[path] = count + 1
            self._lines.note(path, line)
            path = (*path, count)
        self._lines.note(path, line)
        return path

    def _find_last_item(self, path: FieldPath) -> FieldPath:
        count = self._counts.get(path)
        return path if count is None else (*path, count - 1)

    def _walk_pair(self, parent: FieldPath, depth: int) -> None:
        token = self._peek()
        if token is None:
            return
        path = (*parent, *self._read_key("=:"))
        if path in self._lines.known and token.kind == "string":
            self._lines.repeated.append(path)
        for size in range(len(parent) + 1, len(path) + 1):
            self._lines.note(path[:size], token.line)
        if self._is_punctuation("=:"):
            self._position += 1
            self._walk_value(path, depth)

    def _read_key(self, ends: str) -> list[str]:
        names: list[str] = []
        while (token := self._peek()) is not None and token.kind in {"string", "bare"}:
            if token.kind == "string":
                names.append(_unquote(token.text))
            else:
                names.extend(name for name in token.text.split(".") if name)
            self._position += 1
        while (token := self._peek()) is not None and token.kind == "mark":
            if token.text in ends:
                break
            self._position += 1
        return names

    def _walk_value(self, path: FieldPath, depth: int) -> None:
        token = self._skip_newlines()
        if token is None or depth > MAX_NESTING:
            self._position = len(self._tokens)
        elif token.kind == "mark" and token.text == "[":
            self._walk_items(path, depth)
        elif token.kind == "mark" and token.text == "{":
            self._walk_pairs(path, depth)
        else:
            self._skip_scalar()

    def _walk_items(self, path: FieldPath, depth: int) -> None:
        self._position += 1
        index = 0
        while (token := self._skip_newlines()) is not None and not self._is_punctuation("]"):
            if self._is_punctuation(",:=}"):
                self._position += 1
                continue
            self._lines.note((*path, index), token.line)
            self._walk_value((*path, index), depth + 1)
            index += 1
        self._position += 1

    def _walk_pairs(self, path: FieldPath, depth: int) -> None:
        self._position += 1
        while self._skip_newlines() is not None and not self._is_punctuation("}"):
            if self._is_punctuation(",:=]["):
                self._position += 1
                continue
            self._walk_pair(path, depth + 1)
        self._position += 1

    def _skip_scalar(self) -> None:
        while (token := self._peek()) is not None and token.kind != "newline":
            if token.kind == "mark" and token.text in ",]}":
                return
            self._position += 1

    def _skip_newlines(self) -> _Token | None:
        while (token := self._peek()) is not None and token.kind == "newline":
            self._position += 1
        return self._peek()

    def _is_punctuation(self, characters: str) -> bool:
        token = self._peek()
        return token is not None and token.kind == "mark" and token.text in characters

    def _peek(self) -> _Token | None:
        return self._tokens[self._position] if self._position < len(self._tokens) else None


def _tokenize(text: str) -> list[_Token]:
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
