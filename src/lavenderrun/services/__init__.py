"""Services that join decisions to codecs on the one loop; each registers itself."""

from __future__ import annotations

from lavenderrun.services._front import FrontService
from lavenderrun.services._listener import Listener, ListenError

__all__ = ["FrontService", "ListenError", "Listener"]
