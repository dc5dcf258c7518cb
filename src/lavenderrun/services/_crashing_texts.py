"""Service ``crashing_texts``: lines and texts of prompts that crash backend servers."""

from __future__ import annotations

from datetime import datetime
from typing import ClassVar

import msgspec
from eliot import log_message

from lavenderrun.dispatch import (
    CrashingParts,
    CrashingTexts,
    PartReport,
    ServerCrash,
    TextProbes,
    TextReport,
)
from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.types import (
    AttemptId,
    HostId,
    HostRole,
    Incarnation,
    Link,
    Links,
    PartEvidence,
    PromptTexts,
    RequestId,
    TextId,
)

MAX_LOST_LENGTH = 64
"""Length of the name of a lost attempt: entries take no longer ones from one another."""


class CrashingTextsService:
    """Collects crashes and answers of requests by the lines and texts of their prompts.

    Entries send their evidence to one another over their links.
    """

    needs: ClassVar[tuple[str, ...]] = ("links",)

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._links = kernel.find("links", Links)
        self._host: HostId = kernel.settings.hello().host
        self._parts = CrashingParts()
        self._texts = CrashingTexts()
        self._probes = TextProbes()
        self._refused_texts: set[TextId] = set()

    def start(self) -> None:
        """Subscribe to the evidence of other entries."""
        self._links.subscribe(PartEvidence, self._handle_evidence)
        self._links.watch(self._send_evidence, lambda link: None)

    def stop(self) -> None:
        """Do nothing: no call of this service waits."""

    def is_crashing(self, prompt: PromptTexts, request: RequestId) -> bool:
        """Tell whether a request is refused because of a line or text of its prompt.

        From time to time a single request with a refused text is not, as a probe.
        """
        now = self._clock.now()
        if self._parts.find_crashing(prompt.lines, now) is not None:
            return True
        if not self._texts.has_suspects(now):
            self._refused_texts.clear()
            return False
        text = self._texts.find_crashing(prompt.texts, now)
        if text is None or self._begin_probe(text, request, now):
            return False
        if text not in self._refused_texts:
            self._refused_texts.add(text)
            log_message(
                "quarantine:text",
                text="quarantine: requests with a text in their prompts are refused",
                host=self._host,
                digest=f"{text:x}",
                crashes=self._texts.count_crashes(text),
            )
        return True

    def _begin_probe(self, text: TextId, request: RequestId, now: datetime) -> bool:
        # one entry alone, so that not each of many crashes a server
        for link in self._links.list_live():
            if link.peer.role is HostRole.ENTRY and link.peer.host < self._host:
                return False
        if not self._probes.begin(request, self._texts.find_next_probe(text), now):
            return False
        log_message(
            "quarantine:text_probe",
            text="quarantine: a single request with a refused text is let through",
            host=self._host,
            request=request,
            digest=f"{text:x}",
        )
        return True

    def record_crash(
        self, prompt: PromptTexts, request: RequestId, attempt: AttemptId, sent: datetime
    ) -> None:
        """Record that a backend server crashed before it began to answer, and tell the others."""
        now = self._clock.now()
        self._probes.end(request)
        # attempts that one crash ended ran at the same time, and so count once
        lost = Incarnation(f"{attempt}/{request}"[:MAX_LOST_LENGTH])
        crash = ServerCrash(lost, sent, now)
        if self._parts.record_crash(prompt.lines, crash):
            self._send_to_entries(self._make_part_evidence())
            self._log_crashing_parts()
        if self._texts.record_crash(prompt.texts, crash, now):
            report = self._texts.make_crash_report(lost, now)
            self._send_to_entries(PartEvidence(text_crashes=report.crashes))

    def record_answer(self, prompt: PromptTexts, request: RequestId) -> None:
        """Record that a request with *prompt* begins to be answered, and tell the others."""
        now = self._clock.now()
        self._probes.end(request)
        if self._parts.record_answer(prompt.lines, now):
            self._send_to_entries(self._make_part_evidence())
        if self._texts.needs_answer(now):
            cleared = self._texts.record_answer(prompt.texts, now)
            self._refused_texts.difference_update(cleared)
            if cleared:
                self._send_to_entries(PartEvidence(text_answered=dict.fromkeys(cleared, 0.0)))

    def _send_evidence(self, link: Link) -> None:
        if link.peer.role is HostRole.ENTRY:
            evidence = self._make_part_evidence()
            now = self._clock.now()
            has_texts = self._texts.has_suspects(now)
            texts = self._texts.make_report(now) if has_texts else TextReport()
            if evidence.crashes or evidence.answered or texts.crashes:
                link.send(msgspec.structs.replace(evidence, text_crashes=texts.crashes))

    def _send_to_entries(self, evidence: PartEvidence) -> None:
        for link in self._links.list_live():
            if link.peer.role is HostRole.ENTRY:
                link.send(evidence)

    def _make_part_evidence(self) -> PartEvidence:
        report = self._parts.make_report(self._clock.now())
        return PartEvidence(report.crashes, report.answered)

    def _handle_evidence(self, _link: Link, evidence: PartEvidence) -> None:
        now = self._clock.now()
        if self._parts.apply_report(PartReport(evidence.crashes, evidence.answered), now):
            self._log_crashing_parts()
        self._texts.apply_report(TextReport(evidence.text_crashes, evidence.text_answered), now)

    def _log_crashing_parts(self) -> None:
        crashing = self._parts.list_crashing(self._clock.now())
        if crashing:
            log_message(
                "quarantine:part",
                text="quarantine: requests with parts of their prompts are refused",
                host=self._host,
                parts=list(crashing),
            )


@SERVICES.register("crashing_texts")
def make_crashing_texts(kernel: Kernel) -> CrashingTextsService:
    """Make the service ``crashing_texts``."""
    return CrashingTextsService(kernel)
