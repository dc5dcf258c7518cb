"""Kernel services: they connect decisions, codecs and connections, on one event loop."""

from __future__ import annotations

from lavenderrun.services import _admin_document as _admin_document
from lavenderrun.services import _admin_pages as _admin_pages
from lavenderrun.services import _metrics_events as _metrics_events
from lavenderrun.services import _metrics_states as _metrics_states
from lavenderrun.services._admin import AdminService
from lavenderrun.services._admin_endpoints import ADMIN_ENDPOINTS
from lavenderrun.services._admission import AdmissionService
from lavenderrun.services._certificates import CertificateError
from lavenderrun.services._crashing_texts import CrashingTextsService
from lavenderrun.services._decode_agent import DecodeAgent
from lavenderrun.services._departure import DepartureAnnouncer
from lavenderrun.services._document import DocumentService
from lavenderrun.services._engine_http import HttpEngine
from lavenderrun.services._front import FrontService
from lavenderrun.services._http_client import BytesBody
from lavenderrun.services._leases import LeasesService
from lavenderrun.services._limits import LimitsService
from lavenderrun.services._links import LinksService
from lavenderrun.services._listener import Listener, ListenError, check_tls_files
from lavenderrun.services._membership import MembershipService
from lavenderrun.services._metrics import METRICS, MetricsService
from lavenderrun.services._metrics_page import MetricsPageService
from lavenderrun.services._model_router import ModelRouterService
from lavenderrun.services._order_agent import OrderAgent
from lavenderrun.services._orders import OrdersService
from lavenderrun.services._plain_agent import PlainAgent
from lavenderrun.services._plain_http import HttpPlainBackend
from lavenderrun.services._plain_router import PlainRouterService
from lavenderrun.services._policies import PolicyNames
from lavenderrun.services._prefill_agent import PrefillAgent
from lavenderrun.services._quarantine import QuarantineService
from lavenderrun.services._readiness import READINESS_CHECKS, check_readiness
from lavenderrun.services._record import RecordService
from lavenderrun.services._router import RouterService
from lavenderrun.services._status import STATUS_SECTIONS
from lavenderrun.services._store import STORE_DIALECTS, StoreClient, StoreCounters
from lavenderrun.services._store_http import HttpStore
from lavenderrun.services._transport_grpc import GrpcTransport
from lavenderrun.services._wakes import WakesService

__all__ = [
    "ADMIN_ENDPOINTS",
    "METRICS",
    "READINESS_CHECKS",
    "STATUS_SECTIONS",
    "STORE_DIALECTS",
    "AdminService",
    "AdmissionService",
    "BytesBody",
    "CertificateError",
    "CrashingTextsService",
    "DecodeAgent",
    "DepartureAnnouncer",
    "DocumentService",
    "FrontService",
    "GrpcTransport",
    "HttpEngine",
    "HttpPlainBackend",
    "HttpStore",
    "LeasesService",
    "LimitsService",
    "LinksService",
    "ListenError",
    "Listener",
    "MembershipService",
    "MetricsPageService",
    "MetricsService",
    "ModelRouterService",
    "OrderAgent",
    "OrdersService",
    "PlainAgent",
    "PlainRouterService",
    "PolicyNames",
    "PrefillAgent",
    "QuarantineService",
    "RecordService",
    "RouterService",
    "StoreClient",
    "StoreCounters",
    "WakesService",
    "check_readiness",
    "check_tls_files",
]
