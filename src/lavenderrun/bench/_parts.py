"""Settings and small parts of a benchmark's hosts."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from datetime import timedelta
from typing import ClassVar

from twisted.internet.defer import Deferred, succeed

from lavenderrun.kernel import Kernel, ServiceFactory
from lavenderrun.types import (
    AccountId,
    Admitted,
    AdmittedModel,
    Charge,
    DocumentSource,
    Event,
    Fingerprint,
    ModelRequest,
    Outcome,
    Refusal,
    Refused,
    Step,
)


class RecordList:
    """The ``record`` service of all hosts: keeps every event in order."""

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self) -> None:
        self.events: list[Event] = []

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""

    def emit(self, event: Event) -> None:
        """Keep one event."""
        self.events.append(event)


class OpenAdmission:
    """An ``admission`` service that takes every marker key for its account."""

    needs: ClassVar[tuple[str, ...]] = ("document",)

    def __init__(self, kernel: Kernel) -> None:
        self._document = kernel.find("document", DocumentSource)

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""

    def admit_model(self, request: ModelRequest) -> AdmittedModel | Refused:
        """Admit to the only route."""
        document = self._document.current
        if document is None:
            return Refused(Refusal.NOT_READY, Outcome.NOT_RUN, Step.ADMISSION)
        account = AccountId((request.key or "").removeprefix("marker-key-of-"))
        digest = Fingerprint(hashlib.sha256(request.prompt.encode()).hexdigest())
        return AdmittedModel(account, None, 1.0, digest, document.model_routes[0])

    def is_valid(self, admitted: Admitted) -> bool:
        """Hold every key valid."""
        del admitted
        return True

    def watch(self, handler: Callable[[], None]) -> None:
        """Never call *handler*."""


class OpenLimits:
    """A ``limits`` service that grants everything."""

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self, kernel: Kernel) -> None:
        del kernel

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""

    def charge(
        self, account: AccountId, requests: float, tokens: float, patience: timedelta
    ) -> Deferred[Charge | Refused]:
        """Grant at once."""
        del patience
        return succeed(Charge(account, requests, tokens))

    def give_back(self, charge: Charge, tokens: float) -> None:
        """Take nothing back."""


class NoPlain:
    """Stands for the services of plain calls; takes none."""

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self, kernel: Kernel) -> None:
        del kernel

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""


PARTS: dict[str, ServiceFactory] = {
    "admission": OpenAdmission,
    "limits": OpenLimits,
    "plain": NoPlain,
    "plain_agent": NoPlain,
    "plain_router": NoPlain,
}
"""Simple parts for services that no module registers."""
