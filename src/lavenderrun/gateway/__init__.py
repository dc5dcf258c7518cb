"""Services of the gateway, an entry that calls backend servers itself."""

from __future__ import annotations

from lavenderrun.gateway import _callers as _callers
from lavenderrun.gateway import _connection_watch as _connection_watch
from lavenderrun.gateway import _departure as _departure
from lavenderrun.gateway import _fleet_reports as _fleet_reports
from lavenderrun.gateway import _pages as _pages
from lavenderrun.gateway import _roles as _roles
from lavenderrun.gateway import _sum_exchange as _sum_exchange
from lavenderrun.gateway import _suspension as _suspension
from lavenderrun.gateway._bounds import BoundsService
from lavenderrun.gateway._log import BoundedLog, log
from lavenderrun.gateway._loop_watch import LoopWatch
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._ports import (
    BackendDialect,
    CallerDialect,
    EngineReport,
    HistoryGoneError,
    HoldAnswer,
    HoldResult,
    HttpAnswer,
    HttpRequest,
    OrderResult,
    RowChange,
    RowConflictError,
    RowPage,
    RowWrite,
    StoreDialect,
    StoreRefusal,
)
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._stats import GATEWAY_METRICS, LINES_DROPPED, Stats

__all__ = [
    "GATEWAY_METRICS",
    "GATEWAY_SERVICES",
    "LINES_DROPPED",
    "BackendDialect",
    "BoundedLog",
    "BoundsService",
    "CallerDialect",
    "ConnectionPool",
    "EngineReport",
    "HistoryGoneError",
    "HoldAnswer",
    "HoldResult",
    "HttpAnswer",
    "HttpRequest",
    "LoopWatch",
    "OrderResult",
    "RowChange",
    "RowConflictError",
    "RowPage",
    "RowWrite",
    "Stats",
    "StoreDialect",
    "StoreRefusal",
    "log",
]
