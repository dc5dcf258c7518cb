"""daemons."""

from __future__ import annotations
