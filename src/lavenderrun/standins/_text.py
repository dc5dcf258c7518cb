"""Text generator of the stand-in engines: the next token depends only on the text so far.

A decode that resumes on another engine from the prompt and the delivered tokens therefore yields
exactly the remaining tokens, and a test can compute the whole answer in advance.
"""

from __future__ import annotations

import zlib

from lavenderrun.types import FinishReason

CHARACTERS_PER_TOKEN = 4
MEAN_TOKENS = 120
"""Mean length of an answer in tokens; lengths are geometrically distributed."""

POISON_PREFILL = "\x00poison-prefill"
"""Text that crashes an engine at the end of its prefill."""
POISON_DECODE = "\x00poison-decode"
"""Text that crashes an engine at its first decode step."""

_LETTERS = "abcdefghijklmnopqrstuvwxyz"
_WORDS = [f" {a}{b}{c}" for a in _LETTERS for b in "aeiou" for c in _LETTERS]
_MIX_FACTOR = 0x9E3779B1


def count_tokens(text: str) -> int:
    """Return the number of tokens in *text*, at four characters per token, rounded up."""
    return -(-len(text) // CHARACTERS_PER_TOKEN)


class TokenGenerator:
    """Generates the continuation of a text token by token.

    :param text: prompt and the tokens generated so far.
    :param limit: largest number of tokens to generate.
    :ivar finish: reason of the end; ``None`` before the last token.
    :param mean: mean length of an answer in tokens.
    """

    def __init__(self, text: str, limit: int, mean: int = MEAN_TOKENS) -> None:
        self._state = zlib.crc32(text.encode())
        self._remaining = limit
        self._mean = mean
        self.finish: FinishReason | None = None

    def write(self) -> str:
        """Return the next token, and set :attr:`finish` if it is the last."""
        token = _WORDS[_mix_bits(self._state) % len(_WORDS)]
        self._state = zlib.crc32(token.encode(), self._state)
        self._remaining -= 1
        if _mix_bits(self._state) % self._mean == 0:
            self.finish = FinishReason.STOP
        elif self._remaining <= 0:
            self.finish = FinishReason.LENGTH
        return token


def expected_tokens(prompt: str, max_tokens: int, mean: int = MEAN_TOKENS) -> list[str]:
    """Return the whole answer of any engine to *prompt*."""
    generator = TokenGenerator(prompt, max_tokens, mean)
    tokens = []
    while generator.finish is None:
        tokens.append(generator.write())
    return tokens


def _mix_bits(state: int) -> int:
    state = (state ^ (state >> 15)) * _MIX_FACTOR & 0xFFFFFFFF
    return state ^ (state >> 13)
