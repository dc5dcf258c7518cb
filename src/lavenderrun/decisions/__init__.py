"""Pure policy: no I/O library, no wall clock."""

from __future__ import annotations

from lavenderrun.decisions._routes import find_model_route, find_plain_route

__all__ = ["find_model_route", "find_plain_route"]
