"""Sub-commands; each module registers itself."""

from __future__ import annotations

from lavenderrun.commands._main import main

__all__ = ["main"]
