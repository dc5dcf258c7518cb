"""Lines and short texts of a prompt by which prompts that share a piece of text are recognised."""

from __future__ import annotations

import re
from functools import cached_property
from hashlib import blake2b
from heapq import nsmallest
from itertools import pairwise
from typing import Final

from lavenderrun.decisions._admission import find_shared_parts
from lavenderrun.types import PartId, TextId

MAX_TEXTS: Final = 2048
"""Texts kept of one prompt; of a longer one those with the lowest ids, the same on every host."""

ID_SIZE: Final = 7
"""Size of an id in bytes."""

MAX_ID: Final = (1 << 8 * ID_SIZE) - 1

PAIR_FACTOR: Final = 0x9E3779B97F4A7D
"""Odd factor on the first word of a pair, so that the order of its words counts."""

_WORD: Final = re.compile(r"\w+|[^\w\s]+")


class SharedTexts:
    """What other prompts may share with *prompt*; its short texts are found on first use."""

    def __init__(self, prompt: str) -> None:
        self._prompt = prompt
        self.lines: tuple[PartId, ...] = find_shared_parts(prompt)

    @cached_property
    def texts(self) -> frozenset[TextId]:
        """The ids of the short texts of the prompt."""
        return find_texts(self._prompt)


def find_texts(prompt: str) -> frozenset[TextId]:
    """Return the ids of the words of a prompt and of its pairs of adjacent words.

    Prompts that share a piece of text share its words and pairs, wherever it begins in a line.
    """
    words = _WORD.findall(prompt)
    ids = {word: _hash_word(word) for word in set(words)}
    pairs = {
        first * PAIR_FACTOR + second & MAX_ID
        for first, second in pairwise([ids[word] for word in words])
    }
    return frozenset(map(TextId, nsmallest(MAX_TEXTS, pairs.union(ids.values()))))


def _hash_word(word: str) -> int:
    content = word.encode("utf-8", "surrogatepass")
    return int.from_bytes(blake2b(content, digest_size=ID_SIZE).digest())
