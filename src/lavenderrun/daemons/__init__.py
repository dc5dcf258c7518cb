"""Daemons: a list of service names each, and the loop that runs them.

Names are loaded on first use, so that each daemon holds only its own services.
"""

from __future__ import annotations

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
