"""Service ``suspects``: calls, and parts of prompts, that may crash backend servers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import ClassVar, Final

from lavenderrun.dispatch import (
    CallReport,
    CrashingParts,
    PartReport,
    ServerCrash,
    SuspectTracker,
)
from lavenderrun.gateway._connection import Connection
from lavenderrun.gateway._log import MAX_LOGGED_IDS, log, to_milliseconds
from lavenderrun.gateway._members import MembersService
from lavenderrun.gateway._peers import PeersService
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._stats import SUSPECT_PARTS, Stats
from lavenderrun.kernel import Kernel, Timer
from lavenderrun.types import (
    BackendId,
    BootId,
    Fingerprint,
    HostId,
    Incarnation,
    Member,
    MemberState,
    PartId,
    RequestId,
)

TEST_DELAY: Final = timedelta(milliseconds=150)
"""Delay of the test connection to a server that dropped an answer. A crashed server is still down
then, and the result is known before the call is repeated."""

FIRST_REPEAT_AFTER: Final = timedelta(seconds=1)
MAX_REPEAT_AFTER: Final = timedelta(seconds=16)
"""Time after which what other hosts were told about calls is repeated; it doubles without news."""


@dataclass(frozen=True)
class LostCall:
    """A call whose server closed the connection, or fell silent, before its answer was complete.

    :param parts: shared parts of its prompt.
    :param sent: when it was sent to the server.
    :param ended: when the connection closed.
    :param is_silent: the server fell silent; it may be out of reach.
    :param has_begun: the server had begun to answer.
    """

    request: RequestId
    fingerprint: Fingerprint
    parts: Sequence[PartId]
    sent: datetime
    ended: datetime
    is_silent: bool
    has_begun: bool


@dataclass
class _ServerTest:
    """A test whether a server that dropped answers has crashed."""

    member: Member
    timer: Timer
    lost: list[LostCall] = field(default_factory=list)
    waiters: list[Callable[[], None]] = field(default_factory=list)


class SuspectsService:
    """Tests servers that drop answers, and counts crashes against calls and parts of prompts.

    :ivar calls: crashes by call.
    :ivar parts: crashes by part of a prompt.
    """

    needs: ClassVar[tuple[str, ...]] = ("members", "peers", "pool")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._members = kernel.find("members", MembersService)
        self._peers = kernel.find("peers", PeersService)
        self._pool = kernel.find("pool", ConnectionPool)
        self._stats = kernel.find("stats", Stats)
        self.calls = SuspectTracker()
        self.parts = CrashingParts()
        self._tests: dict[BackendId, _ServerTest] = {}
        self._crashing: set[PartId] = set()
        self._has_call_news = False
        self._call_report_due = kernel.clock.now()
        self._call_report_pause = FIRST_REPEAT_AFTER
        self._watchers: list[Callable[[], None]] = []

    def start(self) -> None:
        """Do nothing, because servers are tested when they drop answers."""

    def stop(self) -> None:
        """Cancel all planned tests."""
        for test in self._tests.values():
            test.timer.cancel()

    def watch(self, watcher: Callable[[], None]) -> None:
        """Call *watcher* when there is new evidence against parts that may be rejected."""
        self._watchers.append(watcher)

    def find_crashing_part(self, parts: Sequence[PartId]) -> PartId | None:
        """Return the part because of which a call with *parts* is rejected, if there is one."""
        return self.parts.find_crashing(parts, self._clock.now())

    def record_lost_answer(self, member: Member, lost: LostCall) -> None:
        """Count a strike for a call whose server dropped it; test that server soon."""
        crash = ServerCrash(member.incarnation, lost.sent, lost.ended)
        if lost.is_silent:
            self.calls.record_silence(lost.fingerprint, crash)
        elif self.calls.record_crash(lost.fingerprint, crash):
            self._has_call_news = True
            self._peers.report_soon()
            log(
                "suspects:dropped",
                "suspects: a server closed the connection of a call under way",
                request=lost.request,
                member=member.id,
                server=member.incarnation,
                crashing_call=lost.fingerprint,
            )
            self._log_if_quarantined(lost.fingerprint, None)
        test = self._tests.get(member.id)
        if test is None:
            timer = self._clock.call_later(TEST_DELAY, self._connect, member.id)
            test = self._tests[member.id] = _ServerTest(member, timer)
        may_blame_parts = not lost.is_silent and not lost.has_begun
        if may_blame_parts and lost.parts and not self._is_leaving(member):
            test.lost.append(lost)

    def call_when_tested(self, member: BackendId, call: Callable[[], None]) -> None:
        """Call *call* when the test of a server is over, at once if there is none."""
        test = self._tests.get(member)
        if test is None:
            call()
        else:
            test.waiters.append(call)

    def record_progress(self, parts: Sequence[PartId]) -> None:
        """Clear the parts of a call that begins to be answered."""
        cleared = self.parts.record_answer(parts, self._clock.now())
        if cleared:
            self._stats.count(SUSPECT_PARTS, "cleared")
            log(
                "suspects:cleared",
                "suspects: prompt parts are cleared, a call with them is answered",
                parts=cleared[:MAX_LOGGED_IDS],
            )
            self._peers.report_soon()
            self._note_released()

    def record_alive(self, member: Member, sent: datetime) -> None:
        """Drop the strikes of a server that answered what was sent to it at *sent*."""
        self.calls.clear_server(member.incarnation, sent)
        self.parts.record_alive(member.incarnation, sent)

    def apply_call_report(self, host: HostId, boot: BootId, report: CallReport) -> None:
        """Take over what another host tells about calls."""
        now = self._clock.now()
        was_handing_over = self.calls.is_handing_over(now)
        if self.calls.apply_report(host, boot, report, now):
            for fingerprint in report.crashes:
                self._log_if_quarantined(fingerprint, host)
        if self.calls.is_handing_over(now) and not was_handing_over:
            self._has_call_news = True
            self._peers.report_soon()

    def _log_if_quarantined(self, fingerprint: Fingerprint, peer: HostId | None) -> None:
        now = self._clock.now()
        if self.calls.is_quarantined(fingerprint, now):
            log(
                "suspects:call_identified",
                "suspects: a call crashes servers, equal calls are refused",
                crashing_call=fingerprint,
                servers=self.calls.list_crashed(fingerprint, now)[:MAX_LOGGED_IDS],
                learned_from=peer,
                release_ms=to_milliseconds(self.calls.find_release(fingerprint, now)),
            )

    def make_call_report(self) -> CallReport:
        """Return what the other hosts are told about calls now, which may be nothing.

        What they were told before is repeated in few of the reports: datagrams may be lost, and
        changes of decode slots make many reports a second.
        """
        now = self._clock.now()
        if not self._has_call_news and now < self._call_report_due:
            return CallReport()
        pause = FIRST_REPEAT_AFTER if self._has_call_news else self._call_report_pause * 2
        self._has_call_news, self._call_report_pause = False, min(pause, MAX_REPEAT_AFTER)
        self._call_report_due = now + self._call_report_pause
        return self.calls.make_report(now)

    def make_part_report(self) -> PartReport:
        """Return what the other hosts are told about parts of prompts."""
        self._note_released()
        return self.parts.make_report(self._clock.now())

    def apply_part_report(self, host: HostId, report: PartReport) -> None:
        """Take over what another host tells about parts of prompts."""
        if (report.crashes or report.answered) and self.parts.apply_report(
            report, self._clock.now()
        ):
            self._note_evidence(host)

    def _is_leaving(self, member: Member) -> bool:
        current = self._members.find(member.id)
        return current is not None and current.state is MemberState.LEAVING

    def _connect(self, member: BackendId) -> None:
        address = self._tests[member].member.address
        self._pool.open(address, self._note_test_result, member, self._clock.now())

    def _note_test_result(
        self, connection: Connection | None, member: BackendId, since: datetime
    ) -> None:
        test = self._tests.pop(member)
        log(
            "suspects:tested",
            "suspects: tested a server that dropped a call",
            member=member,
            server=test.member.incarnation,
            answers=connection is not None,
        )
        if connection is not None:
            connection.abort()
            self.record_alive(test.member, since)
        else:
            self._note_crash(test)
        for waiter in test.waiters:
            waiter()

    def _note_crash(self, test: _ServerTest) -> None:
        is_new = False
        for lost in test.lost:
            crash = ServerCrash(test.member.incarnation, lost.sent, lost.ended)
            if not self.parts.record_crash(lost.parts, crash):
                continue
            is_new = True
            self._stats.count(SUSPECT_PARTS, "suspected")
            log(
                "suspects:crashed",
                "suspects: a server crashed before it began to answer a call",
                request=lost.request,
                member=test.member.id,
                server=test.member.incarnation,
                parts=list(lost.parts[:MAX_LOGGED_IDS]),
                ran_ms=to_milliseconds(lost.ended - lost.sent),
            )
        if is_new:
            self._peers.report_soon()
            self._note_evidence(None)

    def _note_evidence(self, peer: HostId | None) -> None:
        crashing = self.parts.list_crashing(self._clock.now())
        for part in crashing:
            if part not in self._crashing:
                self._log_identified(part, crashing[part], peer)
        self._crashing = set(crashing)
        if crashing:
            for watcher in self._watchers:
                watcher()

    def _log_identified(
        self, part: PartId, servers: Sequence[Incarnation], peer: HostId | None
    ) -> None:
        self._stats.count(SUSPECT_PARTS, "identified" if peer is None else "learned")
        log(
            "suspects:identified",
            "suspects: a prompt part crashes servers, calls with it are rejected",
            part=part,
            servers=servers[:MAX_LOGGED_IDS],
            learned_from=peer,
            release_ms=to_milliseconds(self.parts.find_release(part, self._clock.now())),
        )

    def _note_released(self) -> None:
        now = self._clock.now()
        released = {part for part in self._crashing if not self.parts.has_reached_limit(part, now)}
        for part in sorted(released):
            self._stats.count(SUSPECT_PARTS, "released")
            log("suspects:released", "suspects: a prompt part is allowed again", part=part)
        self._crashing -= released


@GATEWAY_SERVICES.register("suspects")
def make_suspects(kernel: Kernel) -> SuspectsService:
    """Return the service ``suspects``."""
    return SuspectsService(kernel)
