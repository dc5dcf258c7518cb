"""Service ``model_router``: takes model requests on an entry and drives each to its one end."""

from __future__ import annotations

from typing import ClassVar

from twisted.internet.defer import Deferred

from lavenderrun.decisions import RetryBudget, compute_queue_weights
from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.services._agent_chooser import AgentChooser
from lavenderrun.services._drain import Drain
from lavenderrun.services._event_emitter import EventEmitter
from lavenderrun.services._model_request import ModelRun
from lavenderrun.types import (
    AccountId,
    Admission,
    AdmittedModel,
    AnswerSink,
    AttemptFailed,
    Document,
    DocumentSource,
    Frame,
    Limits,
    Link,
    Links,
    Message,
    ModelRequest,
    Prefilled,
    QuarantineKeeper,
    Refusal,
    Refused,
    RequestHandle,
    RequestId,
    RequestRefused,
    SeatPromised,
)

RETRY_RESERVE = 20.0
"""Retries that are always allowed at once: the requests that one lost decode engine held."""


class DeadTicket:
    """Ticket of a request that has already ended."""

    def cancel(self) -> None:
        """Nothing is left to cancel."""


class ModelRouterService:
    """The live model requests of this entry."""

    needs: ClassVar[tuple[str, ...]] = (
        "links",
        "document",
        "admission",
        "limits",
        "quarantine",
        "record",
    )

    def __init__(self, kernel: Kernel) -> None:
        self.clock = kernel.clock
        self.random_source = kernel.random_source
        self.links = kernel.find("links", Links)
        self.limits = kernel.find("limits", Limits)
        self.quarantine = kernel.find("quarantine", QuarantineKeeper)
        self.events = EventEmitter.from_kernel(kernel)
        self.chooser = AgentChooser(kernel)
        self.retries = RetryBudget(Document().retry_share, RETRY_RESERVE)
        self._admission = kernel.find("admission", Admission)
        self._document = kernel.find("document", DocumentSource)
        self._runs: dict[RequestId, ModelRun] = {}
        self._shares: dict[AccountId, float] = {}
        self._drain = Drain(kernel.clock, self._is_busy, limit=None)

    def start(self) -> None:
        """Listen to agents, to the document and to withdrawn keys."""
        for kind in (SeatPromised, Prefilled, Frame, AttemptFailed):
            self.links.subscribe(kind, self._take)
        self.links.watch(self._link_up, self._link_down)
        self._admission.watch(self._drop_withdrawn)
        self._document.watch(self._take_document)

    def stop(self) -> Deferred[None]:
        """Wait until every accepted request has ended."""
        return self._drain.start()

    def _is_busy(self) -> bool:
        return bool(self._runs)

    def submit(self, request: ModelRequest, sink: AnswerSink) -> RequestHandle:
        """Serve *request* into *sink*; see ``Router.submit_model``."""
        admitted = self._admission.admit_model(request)
        if isinstance(admitted, Refused):
            self.events.emit(RequestRefused(request.request, admitted))
            sink.refuse(admitted)
            return DeadTicket()
        return self._run(request, admitted, sink)

    def weigh(self, admitted: AdmittedModel) -> float:
        """Return the share of a request's account at the agents' queues."""
        if admitted.account is None:
            return admitted.weight
        return self._shares.get(admitted.account, admitted.weight)

    def find_refusal(self, run: ModelRun) -> Refusal | None:
        """Return why a run may not start now; see ``Admission``."""
        return self._admission.find_refusal(run.admitted)

    def forget(self, run: ModelRun) -> None:
        """Drop an ended run."""
        self._runs.pop(run.request.request, None)
        self._drain.finish_if_idle()

    def _run(
        self, request: ModelRequest, admitted: AdmittedModel, sink: AnswerSink
    ) -> RequestHandle:
        run = ModelRun(self, request, admitted, sink)
        self._runs[request.request] = run
        self.retries.note_first_try(admitted.account, self.clock.now())
        run.begin()
        return run

    def _take(self, link: Link, message: Message) -> None:
        run = self._runs.get(message.request)  # type: ignore[attr-defined]
        if run is not None:
            run.take(link, message)

    def _link_up(self, link: Link) -> None:
        self.chooser.add_agent(link)
        for run in list(self._runs.values()):
            run.link_up(link)

    def _link_down(self, link: Link) -> None:
        self.chooser.remove_agent(link)
        for run in list(self._runs.values()):
            run.link_down(link)

    def _drop_withdrawn(self) -> None:
        for run in list(self._runs.values()):
            if self.find_refusal(run) is Refusal.UNKNOWN_KEY:
                run.withdraw(Refusal.UNKNOWN_KEY)

    def _take_document(self, document: Document) -> None:
        self.retries.share = document.retry_share
        self.chooser.apply_document(document)
        self._shares = compute_queue_weights(document)


@SERVICES.register("model_router")
def make_model_router(kernel: Kernel) -> ModelRouterService:
    """Make the service."""
    return ModelRouterService(kernel)
