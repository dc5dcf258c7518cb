"""Service ``admission``: finds account and route of a request in the document in force."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import ClassVar, Final, TypeVar

from eliot import log_message

from lavenderrun.decisions import AdmissionIndex
from lavenderrun.kernel import SERVICES, Clock, Kernel, Timer
from lavenderrun.types import (
    AdmittedModel,
    AdmittedPlain,
    AdmittedRequest,
    Document,
    DocumentKeeper,
    ModelRequest,
    Outcome,
    PlainRequest,
    Refusal,
    Refused,
    Step,
)

A = TypeVar("A", bound=AdmittedRequest)

RETRY_AFTER: Final = timedelta(seconds=1)
LEASE_CHECK_INTERVAL: Final = timedelta(seconds=0.5)


class AdmissionService:
    """Admits requests by the keys and routes of the document in force.

    Requests on keyed routes are refused while the document may be outdated, so that a key that
    was withdrawn through another host stops working here. Open routes are still served.
    """

    needs: ClassVar[tuple[str, ...]] = ("document",)

    def __init__(self, clock: Clock, document: DocumentKeeper) -> None:
        self._clock = clock
        self._document = document
        self._index = AdmissionIndex(Document())
        self._watchers: list[Callable[[], None]] = []
        self._was_fresh = False
        self._timer: Timer | None = None

    def start(self) -> None:
        """Watch the document and check regularly whether it is still fresh."""
        self._document.watch(self._apply_document)
        self._check_lease()

    def stop(self) -> None:
        """Cancel the timer of the freshness check."""
        if self._timer is not None:
            self._timer.cancel()

    def admit_model(self, request: ModelRequest) -> AdmittedModel | Refused:
        """Return a model request with its account and route, or why it is refused."""
        return self._refuse_if_outdated(self._index.admit_model(request))

    def admit_plain(self, request: PlainRequest) -> AdmittedPlain | Refused:
        """Return a call for a plain service with its account and route, or why it is refused."""
        return self._refuse_if_outdated(self._index.admit_plain(request))

    def find_refusal(self, admitted: AdmittedRequest) -> Refusal | None:
        """Return why an admitted request may not start now; call before each start."""
        if admitted.account is None or admitted.digest is None:
            return None
        if not self._index.owns(admitted.account, admitted.digest):
            return Refusal.UNKNOWN_KEY
        return None if self._document.is_fresh else Refusal.NOT_READY

    def watch(self, handler: Callable[[], None]) -> None:
        """Call *handler* whenever keys were withdrawn or the document may be outdated."""
        self._watchers.append(handler)

    def _refuse_if_outdated(self, found: A | Refused) -> A | Refused:
        if self._document.is_fresh:
            return found
        if isinstance(found, AdmittedRequest) and found.digest is None:
            return found
        # an outdated or missing document may lack a valid key, so UNKNOWN_KEY could be wrong
        return Refused(
            Refusal.NOT_READY,
            Outcome.NOT_RUN,
            Step.ADMISSION,
            retry_after=RETRY_AFTER,
            detail="this host can't tell whether keys are still valid",
        )

    def _apply_document(self, document: Document) -> None:
        previous, self._index = self._index, AdmissionIndex(document)
        current = self._index.digests
        withdrawn = {
            old_digest: owner
            for old_digest, owner in previous.digests.items()
            if current.get(old_digest) != owner
        }
        for digest, account in withdrawn.items():
            log_message(
                "admission:key_withdrawn",
                text="admission: key withdrawn",
                account=account,
                key_digest=digest,
            )
        if withdrawn:
            self._notify_watchers()

    def _check_lease(self) -> None:
        self._timer = self._clock.call_later(LEASE_CHECK_INTERVAL, self._check_lease)
        fresh = self._document.is_fresh
        if fresh == self._was_fresh:
            return
        self._was_fresh = fresh
        state = "are served" if fresh else "are refused: the document may be outdated"
        log_message("admission:lease", text=f"admission: keyed routes {state}", fresh=fresh)
        if not fresh:
            self._notify_watchers()

    def _notify_watchers(self) -> None:
        for handler in list(self._watchers):
            handler()


@SERVICES.register("admission")
def make_admission(kernel: Kernel) -> AdmissionService:
    """Return the service that admits requests by the ``document`` service."""
    return AdmissionService(kernel.clock, kernel.find("document", DocumentKeeper))
