"""Service ``router``: the one door for all front ends of an entry."""

from __future__ import annotations

from typing import ClassVar, Protocol

from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.services._model_router import ModelRouterService
from lavenderrun.types import AnswerSink, ModelRequest, PlainRequest, ReplySink, RequestHandle


class PlainRouter(Protocol):
    """Service ``plain_router``: serves calls for plain services."""

    def submit(self, request: PlainRequest, sink: ReplySink) -> RequestHandle:
        """Serve a call into *sink*."""


class RouterService:
    """Hands each kind of request to the service that serves it; see ``Router``."""

    needs: ClassVar[tuple[str, ...]] = ("model_router", "plain_router")

    def __init__(self, models: ModelRouterService, plain: PlainRouter) -> None:
        self._models = models
        self._plain = plain

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""

    def submit_model(self, request: ModelRequest, sink: AnswerSink) -> RequestHandle:
        """Serve a model request into *sink*."""
        return self._models.submit(request, sink)

    def submit_plain(self, request: PlainRequest, sink: ReplySink) -> RequestHandle:
        """Serve a call for a plain service into *sink*."""
        return self._plain.submit(request, sink)


@SERVICES.register("router")
def make_router_service(kernel: Kernel) -> RouterService:
    """Make the service."""
    plain = kernel.find("plain_router", PlainRouter)
    return RouterService(kernel.find("model_router", ModelRouterService), plain)
