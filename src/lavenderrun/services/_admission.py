"""Service ``admission``: keys and routes by the document in force."""

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
LEASE_CHECK: Final = timedelta(seconds=0.5)


class AdmissionService:
    """Admits requests; see ``Admission``.

    Keyed routes are refused while the document is not known to be the newest, so that a key
    withdrawn elsewhere does not go on working here. Routes open to all go on.
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
        """Follow the document and its freshness lease."""
        self._document.watch(self._rebuild)
        self._check_lease()

    def stop(self) -> None:
        """End the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def admit_model(self, request: ModelRequest) -> AdmittedModel | Refused:
        """Find account and route of a model request."""
        return self._gate(self._index.admit_model(request))

    def admit_plain(self, request: PlainRequest) -> AdmittedPlain | Refused:
        """Find account and route of a call for a plain service."""
        return self._gate(self._index.admit_plain(request))

    def find_refusal(self, admitted: AdmittedRequest) -> Refusal | None:
        """Return why an admitted request may not start now; check before each start."""
        if admitted.account is None or admitted.digest is None:
            return None
        if not self._index.owns(admitted.account, admitted.digest):
            return Refusal.UNKNOWN_KEY
        return None if self._document.is_fresh else Refusal.NOT_READY

    def watch(self, handler: Callable[[], None]) -> None:
        """Call *handler* whenever a key may have been withdrawn."""
        self._watchers.append(handler)

    def _gate(self, found: A | Refused) -> A | Refused:
        if self._document.is_fresh:
            return found
        if isinstance(found, AdmittedRequest) and found.digest is None:
            return found
        # a host without a document knows no key yet, so "unknown" would be untrue
        return Refused(
            Refusal.NOT_READY,
            Outcome.NOT_RUN,
            Step.ADMISSION,
            retry_after=RETRY_AFTER,
            detail="this host can't tell whether keys are still valid",
        )

    def _rebuild(self, document: Document) -> None:
        older, self._index = self._index, AdmissionIndex(document)
        kept = self._index.digests
        withdrawn = {d: a for d, a in older.digests.items() if kept.get(d) != a}
        for digest, account in withdrawn.items():
            log_message(
                "admission:key_withdrawn",
                text="admission: a key is withdrawn",
                account=account,
                key_digest=digest,
            )
        if withdrawn:
            self._tell()

    def _check_lease(self) -> None:
        self._timer = self._clock.call_later(LEASE_CHECK, self._check_lease)
        fresh = self._document.is_fresh
        if fresh == self._was_fresh:
            return
        self._was_fresh = fresh
        state = "are served" if fresh else "are refused: the document may be old"
        log_message("admission:lease", text=f"admission: keyed routes {state}", fresh=fresh)
        if not fresh:
            self._tell()

    def _tell(self) -> None:
        for handler in list(self._watchers):
            handler()


@SERVICES.register("admission")
def make_admission(kernel: Kernel) -> AdmissionService:
    """Make the service over the ``document`` service."""
    return AdmissionService(kernel.clock, kernel.find("document", DocumentKeeper))
