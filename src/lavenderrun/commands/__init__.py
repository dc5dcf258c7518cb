"""The command line: each module of this package registers sub-commands."""

from __future__ import annotations

from lavenderrun.commands._main import main

__all__ = ["main"]
