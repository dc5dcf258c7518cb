"""Text of the stand-in engines: the next token depends on the whole text so far and on no state.

A decode that goes on elsewhere from the prompt and the tokens already delivered therefore yields
exactly the rest, and a test can work out the whole answer beforehand.
"""

from __future__ import annotations

import zlib

from lavenderrun.types import FinishReason

CHARACTERS_A_TOKEN = 4
MEAN_TOKENS = 120
"""Mean length of an answer in tokens; lengths are geometric."""

POISON_PREFILL = "\x00poison-prefill"
"""Text that crashes each engine at the end of its prefill."""
POISON_DECODE = "\x00poison-decode"
"""Text that crashes each engine at its first decode step."""

_LETTERS = "abcdefghijklmnopqrstuvwxyz"
_WORDS = [f" {a}{b}{c}" for a in _LETTERS for b in "aeiou" for c in _LETTERS]
_MIX = 0x9E3779B1


def count_tokens(text: str) -> int:
    """Return the tokens of *text*, at about four characters a token."""
    return -(-len(text) // CHARACTERS_A_TOKEN)


class Writer:
    """Continues a text token by token.

    :param text: all text so far.
    :param limit: most tokens still allowed.
    :param mean: mean length of an answer in tokens.
    """

    def __init__(self, text: str, limit: int, mean: int = MEAN_TOKENS) -> None:
        self._state = zlib.crc32(text.encode())
        self._left = limit
        self._mean = mean
        self.finish: FinishReason | None = None

    def write(self) -> str:
        """Return the next token and set :attr:`finish` when it is the last."""
        token = _WORDS[_mix(self._state) % len(_WORDS)]
        self._state = zlib.crc32(token.encode(), self._state)
        self._left -= 1
        if _mix(self._state) % self._mean == 0:
            self.finish = FinishReason.STOP
        elif self._left <= 0:
            self.finish = FinishReason.LENGTH
        return token


def expected_tokens(prompt: str, max_tokens: int, mean: int = MEAN_TOKENS) -> list[str]:
    """Return the whole answer that every engine gives to *prompt*."""
    writer = Writer(prompt, max_tokens, mean)
    tokens = []
    while writer.finish is None:
        tokens.append(writer.write())
    return tokens


def _mix(state: int) -> int:
    state = (state ^ (state >> 15)) * _MIX & 0xFFFFFFFF
    return state ^ (state >> 13)
