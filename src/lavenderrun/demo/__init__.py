"""A whole deployment, or stand-ins for outside systems, in one process on loopback."""

from __future__ import annotations

from lavenderrun.demo._demo import Demo
from lavenderrun.demo._standins import Standins

__all__ = ["Demo", "Standins"]
