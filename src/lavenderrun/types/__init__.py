"""Ids, states, messages, refusals, events and the protocols of services.

Names are imported on first use, so that a daemon loads only the modules that it needs; the stub
beside this file lists them.
"""

from __future__ import annotations

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
