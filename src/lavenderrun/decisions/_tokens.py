"""Estimates the token count of a text."""

from __future__ import annotations

CHARACTERS_PER_TOKEN = 4


def estimate_tokens(text: str) -> int:
    """Return the estimated number of tokens in *text*, at least one."""
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))
