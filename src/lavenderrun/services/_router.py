"""Service ``router``: takes the requests of all front ends of an entry."""

from __future__ import annotations

from typing import ClassVar, Protocol

from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.services._model_router import ModelRouterService
from lavenderrun.types import AnswerSink, ModelRequest, PlainRequest, ReplySink, RequestHandle


class PlainRouter(Protocol):
    """Service ``plain_router``: runs calls to plain services."""

    def submit(self, request: PlainRequest, sink: ReplySink) -> RequestHandle:
        """Run a call and write its reply or refusal to *sink*."""


class RouterService:
    """Passes model requests and plain calls to the service that runs them."""

    needs: ClassVar[tuple[str, ...]] = ("model_router", "plain_router")

    def __init__(self, models: ModelRouterService, plain: PlainRouter) -> None:
        self._models = models
        self._plain = plain

    def start(self) -> None:
        """Do nothing: the routers behind it start by themselves."""

    def stop(self) -> None:
        """Do nothing: the routers behind it wait for their requests."""

    def submit_model(self, request: ModelRequest, sink: AnswerSink) -> RequestHandle:
        """Run a model request and write its answer or refusal to *sink*."""
        return self._models.submit(request, sink)

    def submit_plain(self, request: PlainRequest, sink: ReplySink) -> RequestHandle:
        """Run a call to a plain service and write its reply or refusal to *sink*."""
        return self._plain.submit(request, sink)


@SERVICES.register("router")
def make_router_service(kernel: Kernel) -> RouterService:
    """Make the service ``router``."""
    plain = kernel.find("plain_router", PlainRouter)
    return RouterService(kernel.find("model_router", ModelRouterService), plain)
