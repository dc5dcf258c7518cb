"""Requests that this entry has sent to each host since the host's last load report."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from lavenderrun.types import HostId, LoadReport

REPORT_DELAY = timedelta(milliseconds=5)
"""Age of a load report when it arrives."""
SEND_MEMORY = timedelta(seconds=2)
"""Sends older than this no longer count, even without a new report."""


@dataclass(slots=True)
class _HostSends:
    report: LoadReport | None = None
    sends: deque[tuple[datetime, float]] = field(default_factory=deque)
    work: float = 0.0

    def drop_before(self, instant: datetime) -> None:
        while self.sends and self.sends[0][0] < instant:
            self.work -= self.sends.popleft()[1]


class RecentSends:
    """Recent sends of this entry by host, which correct load reports that lag."""

    def __init__(self) -> None:
        self._hosts: dict[HostId, _HostSends] = {}

    def note(self, host: HostId, work: float, now: datetime) -> None:
        """Record a send to *host* that takes *work* seconds."""
        record = self._hosts.setdefault(host, _HostSends())
        record.sends.append((now, work))
        record.work += work

    def find_unreported(
        self, host: HostId, report: LoadReport | None, now: datetime
    ) -> tuple[int, float]:
        """Return number and seconds of work of the sends that *report* cannot include yet."""
        record = self._hosts.setdefault(host, _HostSends(report))
        if report is not record.report:
            record.report = report
            record.drop_before(now - REPORT_DELAY)
        record.drop_before(now - SEND_MEMORY)
        return len(record.sends), record.work

    def forget(self, host: HostId) -> None:
        """Drop the sends to a lost host."""
        self._hosts.pop(host, None)
