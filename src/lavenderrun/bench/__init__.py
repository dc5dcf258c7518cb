"""bench."""

from __future__ import annotations
