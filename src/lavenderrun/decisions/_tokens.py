"""Estimate of token counts."""

from __future__ import annotations

CHARACTERS_A_TOKEN = 4


def estimate_tokens(text: str) -> int:
    """Return the estimated number of tokens in *text*, at least one."""
    return max(1, -(-len(text) // CHARACTERS_A_TOKEN))
