"""Kernel services that join decisions to codecs on the one loop."""

from __future__ import annotations

from lavenderrun.services._links import LinksService
from lavenderrun.services._transport_grpc import GrpcTransport

__all__ = ["GrpcTransport", "LinksService"]
