"""Kernel services that join decisions to codecs on the one loop."""

from __future__ import annotations

from lavenderrun.services._admission import AdmissionService
from lavenderrun.services._decode_agent import DecodeAgent
from lavenderrun.services._document import DocumentService
from lavenderrun.services._front import FrontService
from lavenderrun.services._links import LinksService
from lavenderrun.services._listener import Listener, ListenError
from lavenderrun.services._model_router import ModelRouter
from lavenderrun.services._prefill_agent import PrefillAgent
from lavenderrun.services._store import STORE_DIALECTS, StoreClient, StoreCounters, StoreSettings
from lavenderrun.services._store_http import HttpStore
from lavenderrun.services._transport_grpc import GrpcTransport

__all__ = [
    "STORE_DIALECTS",
    "AdmissionService",
    "DecodeAgent",
    "DocumentService",
    "FrontService",
    "GrpcTransport",
    "HttpStore",
    "LinksService",
    "ListenError",
    "Listener",
    "ModelRouter",
    "PrefillAgent",
    "StoreClient",
    "StoreCounters",
    "StoreSettings",
]
