"""Service ``plain_router``: calls of an entry for plain services."""

from __future__ import annotations

from collections.abc import Collection
from typing import ClassVar

from eliot import log_message
from twisted.internet.defer import Deferred

from lavenderrun.decisions import RetryBudget
from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.services._agent_chooser import AgentChooser
from lavenderrun.services._claim_store import ClaimStore, make_claim_key
from lavenderrun.services._drain import Drain
from lavenderrun.services._event_emitter import EventEmitter
from lavenderrun.services._plain_attempt import CallMessage
from lavenderrun.services._plain_call import PlainCall
from lavenderrun.services._plain_claim import PlainClaim
from lavenderrun.services._run_boundary import run_guarded
from lavenderrun.types import (
    Admission,
    AdmittedPlain,
    AttemptFailed,
    Document,
    DocumentSource,
    HostId,
    Limits,
    Link,
    Links,
    PlainRequest,
    Refusal,
    Refused,
    Repeatability,
    ReplyBody,
    ReplyHead,
    ReplySink,
    RequestHandle,
    RequestId,
    RequestRefused,
    Revoked,
    ServiceGroup,
    Store,
)


class RefusedRequestHandle:
    """Handle of a call that was refused on submission."""

    def cancel(self) -> None:
        """Do nothing: the call has ended."""


class PlainRouterService:
    """Accepts calls and runs each as a ``PlainCall`` until it ends."""

    needs: ClassVar[tuple[str, ...]] = (
        "links",
        "document",
        "admission",
        "limits",
        "record",
        "store",
    )

    def __init__(self, kernel: Kernel) -> None:
        self.clock = kernel.clock
        self.random_source = kernel.random_source
        self.links = kernel.find("links", Links)
        self.limits = kernel.find("limits", Limits)
        self.events = EventEmitter.from_kernel(kernel)
        self.retry_budget = RetryBudget(Document().retry_share)
        self._chooser = AgentChooser(kernel)
        self._admission = kernel.find("admission", Admission)
        self._document = kernel.find("document", DocumentSource)
        self._claim_store = ClaimStore(kernel.find("store", Store), kernel.clock)
        self._calls: dict[PlainCall, None] = {}
        self._followers: dict[RequestId, list[PlainCall]] = {}
        self._pending_writes = 0
        self._drain = Drain(kernel.clock, self._is_busy, limit=None)

    def start(self) -> None:
        """Subscribe to agents' messages, links, the document and changes of admission."""
        self.links.subscribe(ReplyHead, self._handle_message)
        self.links.subscribe(ReplyBody, self._handle_message)
        self.links.subscribe(AttemptFailed, self._handle_message)
        self.links.subscribe(Revoked, self._handle_message)
        self.links.watch(self._handle_link_up, self._handle_link_down)
        self.links.watch_silence(self._handle_link_silence)
        self._admission.watch(self._withdraw_refused)
        self._document.watch(self._apply_document)

    def stop(self) -> Deferred[None]:
        """Wait until every accepted call has ended and its outcome is stored."""
        return self._drain.start()

    def _is_busy(self) -> bool:
        return bool(self._calls) or self._pending_writes > 0

    def count_jobs(self) -> int:
        """Return the number of calls that have not ended."""
        return len(self._calls)

    def submit(self, request: PlainRequest, sink: ReplySink) -> RequestHandle:
        """Run *request* and pass its reply or refusal to *sink*; return the handle to cancel it."""
        admitted = self._admission.admit_plain(request)
        if isinstance(admitted, Refused):
            self.events.emit(RequestRefused(request.request, admitted))
            sink.refuse(admitted)
            return RefusedRequestHandle()
        call = PlainCall(self, request, admitted, sink, self._make_claim(request, admitted))
        self._calls[call] = None
        self.add_follower(request.request, call)
        self.retry_budget.note_first_try(admitted.account, self.clock.now())
        run_guarded(call, call.begin)
        return call

    def choose_agent(
        self, request: RequestId, group: ServiceGroup, tried: Collection[HostId]
    ) -> Link | None:
        """Return a link to an agent of *group*, ``None`` when there is none.

        :param tried: hosts of agents that are not chosen again.
        """
        return self._chooser.choose_plain(request, group, tried)

    def find_refusal(self, admitted: AdmittedPlain) -> Refusal | None:
        """Return why a call may not start now, ``None`` when it may."""
        return self._admission.find_refusal(admitted)

    def add_follower(self, request: RequestId, call: PlainCall) -> None:
        """Pass agents' messages about *request* to *call* from now on."""
        self._followers.setdefault(request, []).append(call)

    def remove_call(self, call: PlainCall) -> None:
        """Remove an ended call."""
        self._calls.pop(call, None)
        for request in call.followed:
            remaining = [other for other in self._followers.get(request, []) if other is not call]
            if remaining:
                self._followers[request] = remaining
            else:
                self._followers.pop(request, None)
        self._drain.finish_if_idle()

    def track_write(self, write: Deferred[None]) -> None:
        """Make a stop wait for the end of a write to the claim table."""
        self._pending_writes += 1
        write.addErrback(
            lambda failure: log_message(
                "plain:write_failed",
                text="plain: write to the claim table failed",
                error=str(failure.type),
            )
        )
        write.addCallback(lambda _: self._finish_write())

    def _finish_write(self) -> None:
        self._pending_writes -= 1
        self._drain.finish_if_idle()

    def _make_claim(self, request: PlainRequest, admitted: AdmittedPlain) -> PlainClaim | None:
        # a call that may be repeated needs no claim, and works without the table service
        at_most_once = admitted.route.repeatability is Repeatability.AT_MOST_ONCE
        if request.idempotency_key is None or not at_most_once:
            return None
        row_key = make_claim_key(admitted.account, request.idempotency_key)
        return PlainClaim(
            self._claim_store, self.clock, row_key, request.request, admitted.fingerprint
        )

    def _handle_message(self, link: Link, message: CallMessage) -> None:
        for call in list(self._followers.get(message.request, ())):
            run_guarded(call, call.handle_message, link, message)

    def _handle_link_up(self, link: Link) -> None:
        self._chooser.add_agent(link)
        for call in list(self._calls):
            run_guarded(call, call.handle_link_up, link)

    def _handle_link_silence(self, link: Link) -> None:
        for call in list(self._calls):
            run_guarded(call, call.handle_link_silence, link)

    def _handle_link_down(self, link: Link) -> None:
        self._chooser.remove_agent(link)
        for call in list(self._calls):
            run_guarded(call, call.handle_link_down, link)

    def _withdraw_refused(self) -> None:
        for call in list(self._calls):
            refusal = self._admission.find_refusal(call.admitted)
            if refusal is not None:
                run_guarded(call, call.withdraw, refusal)

    def _apply_document(self, document: Document) -> None:
        self.retry_budget.share = document.retry_share
        self._chooser.apply_document(document)


@SERVICES.register("plain_router")
def make_plain_router(kernel: Kernel) -> PlainRouterService:
    """Make the service."""
    return PlainRouterService(kernel)
