"""What the silence of whole calls means, and when a second server is asked.

When several servers of a service are silent at once and none is heard, the path, this host or what
the servers share is the cause. A second server then does the work again at no gain. A server
without calls is no part of that silence: one call at a time asks it.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum

from lavenderrun.dispatch._silence import CERTAINTY_SHARE, EXPECTED_FACTOR
from lavenderrun.types import BackendId


class HedgeVerdict(Enum):
    """What the silence of a call is taken for."""

    SHARED = "shared"
    PROBE = "probe"
    TRIAL = "trial"
    HEDGE = "hedge"


@dataclass(frozen=True)
class ServiceSilence:
    """What is known of the servers of one service.

    :param silent: servers that are silent to all calls of this host, or were when the last call
        left them.
    :param speaking: servers that sent something a moment ago, and not after a silence.
    :param trials: calls that were sent to a second server although the silence was shared.
    :param probes: servers that had no call before a silent call was sent there, and that have
        neither answered since nor been silent for long.
    """

    silent: frozenset[BackendId] = frozenset()
    speaking: frozenset[BackendId] = frozenset()
    trials: int = 0
    probes: int = 0


def decide_on_hedge(
    known: ServiceSilence,
    server: BackendId,
    waited: timedelta,
    certainty: timedelta,
    *,
    has_idle: bool = False,
) -> HedgeVerdict:
    """Decide whether a call without an answer is sent to a second server.

    :param server: the server that has the call.
    :param waited: time since the call was sent.
    :param certainty: silence after which one call tries another server in any case.
    :param has_idle: there is a server without calls of which nothing was heard lately.
    """
    if known.speaking or not known.silent - {server}:
        return HedgeVerdict.HEDGE
    if has_idle and not known.probes:
        return HedgeVerdict.PROBE
    if waited >= certainty and not known.trials:
        return HedgeVerdict.TRIAL
    return HedgeVerdict.SHARED


def find_certainty(patience: timedelta, call_ends: timedelta) -> timedelta:
    """Return the silence after which a whole call tries another server in any case.

    :param patience: silence after which the caller gives up.
    :param call_ends: time from the begin of the silence to the call's deadline.
    """
    return min(patience, call_ends) * CERTAINTY_SHARE


@dataclass
class _Server:
    since: datetime
    expected: timedelta = timedelta(0)
    running: int = 0
    heard: datetime | None = None
    resumed: datetime | None = None
    silence: timedelta = timedelta(0)
    found_silent: datetime | None = None
    found_silence: timedelta = timedelta(0)
    is_probed: bool = False

    def is_resumed(self, quiet: timedelta, now: datetime) -> bool:
        """Tell whether a silence ended a moment ago, as that of others may end, too."""
        return self.resumed is not None and self.silence >= quiet and now - self.resumed < quiet

    def was_silent(self, now: datetime) -> bool:
        """Tell whether a silence was found as short a time ago as it had lasted."""
        return self.found_silent is not None and now - self.found_silent < self.found_silence


class CallSilence:
    """When the servers of one service last sent something of whole calls of this host."""

    def __init__(self) -> None:
        self._servers: dict[BackendId, _Server] = {}
        self._stalled: datetime | None = None
        self._trials = 0

    def begin_call(
        self, member: BackendId, expected: timedelta, now: datetime, *, is_probe: bool = False
    ) -> None:
        """Record that a call is sent to *member*.

        :param expected: time that an answer usually takes.
        :param is_probe: the call asks whether a server without calls answers.
        """
        server = self._servers.setdefault(member, _Server(now))
        if not server.running:
            server.since, server.is_probed = now, is_probe
        server.running += 1
        server.expected = expected

    def end_call(self, member: BackendId) -> None:
        """Record that a call is at *member* no more."""
        server = self._servers[member]
        server.running -= 1
        if not server.running and server.heard is None and server.found_silent is None:
            del self._servers[member]

    def note_sign(self, member: BackendId, now: datetime) -> None:
        """Record that *member* sent something of a running call."""
        server = self._servers[member]
        server.is_probed = False
        silence = self.measure_silence(server.since, now)
        is_outdated = server.resumed is None or now - server.resumed >= server.silence
        if silence >= server.expected * EXPECTED_FACTOR and (
            is_outdated or silence >= server.silence
        ):
            server.silence, server.resumed = silence, now
        server.since = server.heard = now
        server.found_silent = None

    def forget(self, member: BackendId) -> None:
        """Drop what was heard of a server that is gone or was restarted."""
        server = self._servers.get(member)
        if server is not None and server.running:
            server.heard = server.resumed = server.found_silent = None
        elif server is not None:
            del self._servers[member]

    def note_stall(self, now: datetime) -> None:
        """Record that this process did not run until *now*, so that it could hear nothing."""
        self._stalled = now
        for server in self._servers.values():
            server.found_silent = None

    def measure_silence(self, since: datetime, now: datetime) -> timedelta:
        """Return how long this process could have heard something since *since*."""
        return now - (since if self._stalled is None else max(since, self._stalled))

    def begin_trial(self) -> None:
        """Record that a call tries another server although the silence is shared."""
        self._trials += 1

    def end_trial(self) -> None:
        """Record the end of such a call."""
        self._trials -= 1

    def gather(self, quiet: timedelta, now: datetime) -> ServiceSilence:
        """Return which servers are silent and which speak.

        :param quiet: silence that counts for a server whose answers usually take less.
        """
        silent, speaking, probes = set(), set(), 0
        for member, server in list(self._servers.items()):
            least = max(quiet, server.expected * EXPECTED_FACTOR)
            is_heard = server.heard is not None and now - server.heard < quiet
            silence = self.measure_silence(server.since, now)
            if server.running and silence >= least:
                silent.add(member)
                server.found_silent, server.found_silence = now, silence
            elif server.was_silent(now):
                silent.add(member)
            elif is_heard and not server.is_resumed(quiet, now):
                speaking.add(member)
            elif not server.running and not is_heard:
                del self._servers[member]
            elif server.running and server.is_probed:
                probes += 1
        return ServiceSilence(frozenset(silent), frozenset(speaking), self._trials, probes)

    def list_known(self) -> frozenset[BackendId]:
        """Return the servers that have calls or, at the last gathering, were heard a moment ago."""
        return frozenset(self._servers)
