"""What this entry has sent to each host since the host last reported its load."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from lavenderrun.types import HostId, LoadReport

REPORT_AGE = timedelta(milliseconds=5)
"""Time that a load report has been on its way when it arrives."""
SEND_MEMORY = timedelta(seconds=2)
"""After so long without a new report, sends count no more."""


@dataclass(slots=True)
class _Sent:
    report: LoadReport | None = None
    sends: deque[tuple[datetime, float]] = field(default_factory=deque)
    work: float = 0.0

    def forget(self, before: datetime) -> None:
        while self.sends and self.sends[0][0] < before:
            self.work -= self.sends.popleft()[1]


class RecentSends:
    """Corrects lagging loads by the entry's own sends."""

    def __init__(self) -> None:
        self._hosts: dict[HostId, _Sent] = {}

    def note(self, host: HostId, work: float, now: datetime) -> None:
        """Count a send of *work* seconds."""
        sent = self._hosts.setdefault(host, _Sent())
        sent.sends.append((now, work))
        sent.work += work

    def find_unreported(
        self, host: HostId, report: LoadReport | None, now: datetime
    ) -> tuple[int, float]:
        """Return number and work of the sends that *report* cannot know of yet."""
        sent = self._hosts.setdefault(host, _Sent(report))
        if report is not sent.report:
            sent.report = report
            sent.forget(now - REPORT_AGE)
        sent.forget(now - SEND_MEMORY)
        return len(sent.sends), sent.work

    def forget(self, host: HostId) -> None:
        """Drop what is kept of a lost host."""
        self._hosts.pop(host, None)
