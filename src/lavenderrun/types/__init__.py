"""Ids, states, messages, refusals, events and the interfaces between services.

Names are loaded on first use, so that a daemon holds only the modules that it works with; the stub
beside this file lists them.
"""

from __future__ import annotations

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
