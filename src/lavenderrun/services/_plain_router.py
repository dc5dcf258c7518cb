"""Service ``plain_router``: takes calls for plain services on an entry, and drives each."""

from __future__ import annotations

from collections.abc import Collection
from typing import ClassVar

from eliot import log_message
from twisted.internet.defer import Deferred

from lavenderrun.decisions import RetryBudget
from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.services._agent_chooser import AgentChooser
from lavenderrun.services._claim_store import ClaimStore, name_claim
from lavenderrun.services._drain import Drain
from lavenderrun.services._event_emitter import EventEmitter
from lavenderrun.services._plain_attempt import CallMessage
from lavenderrun.services._plain_call import PlainCall
from lavenderrun.services._plain_claim import PlainClaim
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


class EndedTicket:
    """Ticket of a call that was refused at once."""

    def cancel(self) -> None:
        """Nothing is left to cancel."""


class PlainRouterService:
    """The live calls of this entry."""

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
        self.retries = RetryBudget(Document().retry_share)
        self._chooser = AgentChooser(kernel)
        self._admission = kernel.find("admission", Admission)
        self._document = kernel.find("document", DocumentSource)
        self._desk = ClaimStore(kernel.find("store", Store), kernel.clock)
        self._calls: dict[PlainCall, None] = {}
        self._followers: dict[RequestId, list[PlainCall]] = {}
        self._writes = 0
        self._drain = Drain(kernel.clock, self._is_busy, limit=None)

    def start(self) -> None:
        """Listen to agents, to the document and to withdrawn keys."""
        self.links.subscribe(ReplyHead, self._take)
        self.links.subscribe(ReplyBody, self._take)
        self.links.subscribe(AttemptFailed, self._take)
        self.links.subscribe(Revoked, self._take)
        self.links.watch(self._link_up, self._link_down)
        self._admission.watch(self._drop_withdrawn)
        self._document.watch(self._take_document)

    def stop(self) -> Deferred[None]:
        """Wait until every accepted call has ended and its outcome is kept."""
        return self._drain.start()

    def _is_busy(self) -> bool:
        return bool(self._calls) or self._writes > 0

    def count_jobs(self) -> int:
        """Return the number of calls in hand."""
        return len(self._calls)

    def submit(self, request: PlainRequest, sink: ReplySink) -> RequestHandle:
        """Serve *request* into *sink*; see ``Router.submit_plain``."""
        admitted = self._admission.admit_plain(request)
        if isinstance(admitted, Refused):
            self.events.emit(RequestRefused(request.request, admitted))
            sink.refuse(admitted)
            return EndedTicket()
        call = PlainCall(self, request, admitted, sink, self._make_claim(request, admitted))
        self._calls[call] = None
        self.follow(request.request, call)
        self.retries.note_first_try(admitted.account, self.clock.now())
        call.begin()
        return call

    def choose(
        self, request: RequestId, group: ServiceGroup, tried: Collection[HostId]
    ) -> Link | None:
        """Return a link to an agent of *group*, ``None`` when there is none."""
        return self._chooser.choose_plain(request, group, tried)

    def find_refusal(self, admitted: AdmittedPlain) -> Refusal | None:
        """Return why a call may not start now; see ``Admission``."""
        return self._admission.find_refusal(admitted)

    def follow(self, request: RequestId, call: PlainCall) -> None:
        """Hand messages about *request* to *call* from now on."""
        self._followers.setdefault(request, []).append(call)

    def forget(self, call: PlainCall) -> None:
        """Drop an ended call."""
        self._calls.pop(call, None)
        for request in call.followed:
            left = [other for other in self._followers.get(request, []) if other is not call]
            if left:
                self._followers[request] = left
            else:
                self._followers.pop(request, None)
        self._drain.finish_if_idle()

    def note_write(self, write: Deferred[None]) -> None:
        """Keep a stop waiting for a write of an outcome."""
        self._writes += 1
        write.addErrback(
            lambda failure: log_message(
                "plain:write_failed", text="plain: claim not written", error=str(failure.type)
            )
        )
        write.addCallback(lambda _: self._end_write())

    def _end_write(self) -> None:
        self._writes -= 1
        self._drain.finish_if_idle()

    def _make_claim(self, request: PlainRequest, admitted: AdmittedPlain) -> PlainClaim | None:
        # a call that may be repeated needs no claim, and no table service
        once = admitted.route.repeatability is Repeatability.AT_MOST_ONCE
        if request.idempotency_key is None or not once:
            return None
        name = name_claim(admitted.account, request.idempotency_key)
        return PlainClaim(self._desk, self.clock, name, request.request, admitted.fingerprint)

    def _take(self, link: Link, message: CallMessage) -> None:
        for call in list(self._followers.get(message.request, ())):
            call.take(link, message)

    def _link_up(self, link: Link) -> None:
        self._chooser.add_agent(link)
        for call in list(self._calls):
            call.link_up(link)

    def _link_down(self, link: Link) -> None:
        self._chooser.remove_agent(link)
        for call in list(self._calls):
            call.link_down(link)

    def _drop_withdrawn(self) -> None:
        for call in list(self._calls):
            fault = self._admission.find_refusal(call.admitted)
            if fault is not None:
                call.withdraw(fault)

    def _take_document(self, document: Document) -> None:
        self.retries.share = document.retry_share
        self._chooser.apply_document(document)


@SERVICES.register("plain_router")
def make_plain_router(kernel: Kernel) -> PlainRouterService:
    """Make the service."""
    return PlainRouterService(kernel)
