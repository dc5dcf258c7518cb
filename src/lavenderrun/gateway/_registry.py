"""Registry of a gateway's services; their names differ from those of the entry and the agent."""

from __future__ import annotations

from typing import Final

from lavenderrun.kernel import Registry, ServiceFactory

GATEWAY_SERVICES: Final[Registry[ServiceFactory]] = Registry("gateway service")
