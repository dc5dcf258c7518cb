"""Daemons, each defined by the list of its services, and the loop that runs them.

Names are imported on first use, so that a daemon imports only its own services.
"""

from __future__ import annotations

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
