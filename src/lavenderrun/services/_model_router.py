"""Service ``model_router``: accepts model requests on an entry and routes messages to them."""

from __future__ import annotations

from typing import ClassVar

from twisted.internet.defer import Deferred

from lavenderrun.decisions import RetryBudget, compute_queue_weights
from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.services._agent_chooser import AgentChooser
from lavenderrun.services._drain import Drain
from lavenderrun.services._event_emitter import EventEmitter
from lavenderrun.services._model_request import ModelRun
from lavenderrun.services._run_boundary import run_guarded
from lavenderrun.types import (
    AccountId,
    Admission,
    AdmittedModel,
    AnswerSink,
    AttemptFailed,
    CrashingTextKeeper,
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

RESERVED_RETRIES = 20.0
"""Retries allowed at any time: as many as the requests that one lost decode engine held."""


class EndedRequestHandle:
    """Handle of a request that was refused at once."""

    def cancel(self) -> None:
        """Do nothing: the request has ended."""


class ModelRouterService:
    """Runs the model requests of this entry."""

    needs: ClassVar[tuple[str, ...]] = (
        "links",
        "document",
        "admission",
        "limits",
        "quarantine",
        "crashing_texts",
        "record",
    )

    def __init__(self, kernel: Kernel) -> None:
        self.clock = kernel.clock
        self.random_source = kernel.random_source
        self.links = kernel.find("links", Links)
        self.limits = kernel.find("limits", Limits)
        self.quarantine = kernel.find("quarantine", QuarantineKeeper)
        self.crashing_texts = kernel.find("crashing_texts", CrashingTextKeeper)
        self.events = EventEmitter.from_kernel(kernel)
        self.chooser = AgentChooser(kernel)
        self.retry_budget = RetryBudget(Document().retry_share, RESERVED_RETRIES)
        self._admission = kernel.find("admission", Admission)
        self._document = kernel.find("document", DocumentSource)
        self._runs: dict[RequestId, ModelRun] = {}
        self._queue_weights: dict[AccountId, float] = {}
        self._drain = Drain(kernel.clock, self._is_busy, limit=None)

    def start(self) -> None:
        """Subscribe to agents' messages, links, withdrawn keys and the document."""
        for kind in (SeatPromised, Prefilled, Frame, AttemptFailed):
            self.links.subscribe(kind, self._handle_message)
        self.links.watch(self._handle_link_up, self._handle_link_down)
        self.links.watch_silence(self._handle_link_silence)
        self._admission.watch(self._refuse_withdrawn)
        self._document.watch(self._apply_document)

    def stop(self) -> Deferred[None]:
        """Wait until every accepted request has ended."""
        return self._drain.start()

    def _is_busy(self) -> bool:
        return bool(self._runs)

    def submit(self, request: ModelRequest, sink: AnswerSink) -> RequestHandle:
        """Admit *request* and write its answer or refusal to *sink*."""
        admitted = self._admission.admit_model(request)
        if isinstance(admitted, Refused):
            self.events.emit(RequestRefused(request.request, admitted))
            sink.refuse(admitted)
            return EndedRequestHandle()
        return self._begin_run(request, admitted, sink)

    def find_weight(self, admitted: AdmittedModel) -> float:
        """Return the weight of a request's client account in the agents' queues."""
        if admitted.account is None:
            return admitted.weight
        return self._queue_weights.get(admitted.account, admitted.weight)

    def find_refusal(self, run: ModelRun) -> Refusal | None:
        """Return why a run may not start now, ``None`` when it may."""
        return self._admission.find_refusal(run.admitted)

    def remove_run(self, run: ModelRun) -> None:
        """Remove a run that has ended."""
        self._runs.pop(run.request.request, None)
        self._drain.finish_if_idle()

    def _begin_run(
        self, request: ModelRequest, admitted: AdmittedModel, sink: AnswerSink
    ) -> RequestHandle:
        run = ModelRun(self, request, admitted, sink)
        self._runs[request.request] = run
        self.retry_budget.note_first_try(admitted.account, self.clock.now())
        run_guarded(run, run.begin)
        return run

    def _handle_message(self, link: Link, message: Message) -> None:
        run = self._runs.get(message.request)  # type: ignore[attr-defined]
        if run is not None:
            run_guarded(run, run.handle_message, link, message)

    def _handle_link_up(self, link: Link) -> None:
        self.chooser.add_agent(link)
        for run in list(self._runs.values()):
            run_guarded(run, run.handle_link_up, link)

    def _handle_link_silence(self, link: Link) -> None:
        for run in list(self._runs.values()):
            run_guarded(run, run.handle_link_silence, link)

    def _handle_link_down(self, link: Link) -> None:
        self.chooser.remove_agent(link)
        for run in list(self._runs.values()):
            run_guarded(run, run.handle_link_down, link)

    def _refuse_withdrawn(self) -> None:
        for run in list(self._runs.values()):
            if self.find_refusal(run) is Refusal.UNKNOWN_KEY:
                run_guarded(run, run.refuse_unstarted, Refusal.UNKNOWN_KEY)

    def _apply_document(self, document: Document) -> None:
        self.retry_budget.share = document.retry_share
        self.chooser.apply_document(document)
        self._queue_weights = compute_queue_weights(document)


@SERVICES.register("model_router")
def make_model_router(kernel: Kernel) -> ModelRouterService:
    """Make the service ``model_router``."""
    return ModelRouterService(kernel)
