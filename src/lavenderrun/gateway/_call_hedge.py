"""Watches a whole call without an answer, and tells when a second server is to be asked."""

from __future__ import annotations

from collections.abc import Callable, Collection
from datetime import timedelta
from typing import Final

from lavenderrun.dispatch import (
    QUIET_SHARE,
    REVIEW_PAUSE,
    HedgeVerdict,
    decide_on_hedge,
    find_certainty,
    find_patience,
)
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._log import to_milliseconds
from lavenderrun.gateway._running_call import AdmittedCall
from lavenderrun.gateway._silence_watch import JITTER_SHARE
from lavenderrun.gateway._stats import SILENCES
from lavenderrun.gateway._watch_timer import WatchTimer
from lavenderrun.types import BackendId, Member

HEDGE_AFTER_SHARE: Final = 0.6
"""Share of the objective after which an unanswered idempotent call is sent to a second server."""


class CallHedge:
    """Weighs the silence of one whole call.

    :param is_unanswered: tells whether the call is silent and may be sent to another server.
    :param has_server: tells whether there is a server other than the given ones.
    :param on_hedge: sends the call to a server other than the given ones if the budget allows it;
        returns whether there is such a server.
    """

    def __init__(
        self,
        services: CallServices,
        admitted: AdmittedCall,
        call_log: CallLog,
        is_unanswered: Callable[[], bool],
        has_server: Callable[[Collection[BackendId]], bool],
        on_hedge: Callable[[Collection[BackendId]], bool],
    ) -> None:
        self._services = services
        self._admitted = admitted
        self._call_log = call_log
        self._is_unanswered = is_unanswered
        self._has_server = has_server
        self._on_hedge = on_hedge
        self._silence = services.view.find_call_silence(admitted.service)
        self._server: BackendId | None = None
        self._wait = admitted.access.route.objective * HEDGE_AFTER_SHARE
        self._sent = admitted.arrived
        self._timer = WatchTimer(services.clock)
        self._is_kept = False
        self._is_trial = False
        self._is_probe = False

    def begin(self, member: Member) -> None:
        """Record that the call is sent to *member* now."""
        self._server, self._sent = member.id, self._services.clock.now()
        mean = self._services.view.health.find(member.id).mean_seconds
        expected = timedelta(seconds=mean)
        self._silence.begin_call(member.id, expected, self._sent, is_probe=self._is_probe)

    def note_sign(self, member: Member) -> None:
        """Record that *member* sent something of the call."""
        self._silence.note_sign(member.id, self._services.clock.now())

    def end(self, member: Member) -> None:
        """Record that *member* has the call no more."""
        self._silence.end_call(member.id)

    def release(self) -> None:
        """Watch the call no more."""
        self._timer.cancel()
        self._end_trial()

    def _begin_trial(self) -> None:
        self._is_trial = True
        self._silence.begin_trial()

    def _end_trial(self) -> None:
        if self._is_trial:
            self._is_trial = False
            self._silence.end_trial()

    def watch(self) -> None:
        """Weigh the silence of the call once an answer is late."""
        if not self._timer.is_running:
            self._timer.start(self._wait, self._weigh)

    def _weigh(self) -> None:
        now, server = self._services.clock.now(), self._server
        if self._timer.is_late:
            # after a suspension of this process, what has come is read first
            self._silence.note_stall(now)
            self._timer.start(timedelta(0), self._weigh)
            return
        if server is None or not self._is_unanswered():
            return
        known = self._silence.gather(self._wait * QUIET_SHARE, now)
        waited = self._silence.measure_silence(self._sent, now)
        patience = find_patience(self._admitted.access.route.objective, None)
        certainty = find_certainty(patience, self._admitted.deadline - (now - waited))
        silent_others, asked = known.silent - {server}, self._silence.list_known()
        has_idle = bool(silent_others) and self._has_server(asked)
        verdict = decide_on_hedge(known, server, waited, certainty, has_idle=has_idle)
        if verdict is HedgeVerdict.PROBE:
            self._is_probe = True
            self._on_hedge(asked)
            self._is_probe = False
            return
        if verdict is not HedgeVerdict.SHARED:
            if verdict is HedgeVerdict.TRIAL:
                self._begin_trial()
            if self._on_hedge(silent_others) or not silent_others:
                return
            self._end_trial()
        if verdict is HedgeVerdict.SHARED and not self._is_kept:
            self._is_kept = True
            self._services.stats.count(SILENCES, self._admitted.service, verdict.value)
            self._call_log.write(
                "silent",
                "server is silent",
                member=server,
                verdict=verdict.value,
                silent_ms=to_milliseconds(waited),
                certainty_ms=to_milliseconds(certainty),
                silent_others=len(silent_others),
                speaking_others=len(known.speaking),
            )
        spread = JITTER_SHARE * self._services.random_source.random()
        self._timer.start(REVIEW_PAUSE * (1 + spread), self._weigh)
