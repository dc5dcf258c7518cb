"""Detects calls that repeatedly crash backend servers."""

from __future__ import annotations

from datetime import datetime, timedelta
from hashlib import sha256
from typing import Final

from lavenderrun.dispatch._crash_evidence import (
    CRASH_LIMIT,
    SINGLE_CRASH_LIFETIME,
    CrashEvidence,
    CrashReport,
    ServerCrash,
    keep_newest,
)
from lavenderrun.types import AccountId, BootId, Fingerprint, GatewayCall, HostId, Incarnation

MAX_FINGERPRINTS: Final = 2000
"""Fingerprints with crashes that are kept."""

MAX_REPORTED_FINGERPRINTS: Final = 20
"""Number of fingerprints in a peer report."""

MAX_HEARD_HOSTS: Final = 1000
"""Hosts kept whose reports came; those heard longest ago are dropped first."""

SILENT_AFTER: Final = timedelta(seconds=3)
"""Time without a report after which a host may have missed what it was told."""

HANDOVER_TIME: Final = timedelta(seconds=5)
"""How long a host that starts or is heard again is told the evidence of all hosts."""

CallReport = CrashReport[Fingerprint]
"""What a host tells the others about calls."""


def make_fingerprint(call: GatewayCall, account: AccountId | None) -> Fingerprint:
    """Return a digest of account, method, host, target and body; repeated calls share it."""
    digest = sha256()
    for part in (account or "", call.method, call.host, call.target):
        digest.update(part.encode("utf-8", "surrogatepass") + b"\0")
    digest.update(call.body)
    return Fingerprint(digest.hexdigest()[:16])


class SuspectTracker:
    """Counts the server crashes that each call may have caused, as seen by all hosts.

    A host reports what it has seen itself. Others keep that, also beyond the end of the host's
    process, and tell it to hosts that start.
    """

    def __init__(self) -> None:
        self._evidence: CrashEvidence[Fingerprint] = CrashEvidence(
            MAX_FINGERPRINTS, MAX_REPORTED_FINGERPRINTS
        )
        self._silences: CrashEvidence[Fingerprint] = CrashEvidence(MAX_FINGERPRINTS, 0)
        self._own: dict[Fingerprint, datetime] = {}
        self._heard: dict[HostId, tuple[BootId, datetime]] = {}
        self._handover_ends: datetime | None = None

    def record_crash(self, fingerprint: Fingerprint, crash: ServerCrash) -> bool:
        """Count a strike: the server closed the connection while it ran the call.

        :return: whether it says anything new.
        """
        keep_newest(self._own, fingerprint, crash.ended, MAX_FINGERPRINTS)
        return self._evidence.record_crash([fingerprint], crash)

    def record_silence(self, fingerprint: Fingerprint, silence: ServerCrash) -> None:
        """Count a strike for a short time: the server fell silent while it ran the call.

        It may as well be out of reach, so others are not told.
        """
        self._silences.record_crash([fingerprint], silence)

    def clear_server(self, server: Incarnation, sent: datetime) -> None:
        """Drop the strikes that *server* caused shortly before it proved to be alive.

        :param sent: when the connection or the request that it answered was begun.
        """
        self._evidence.record_alive(server, sent)
        self._silences.record_alive(server, sent)

    def clear_call(self, fingerprint: Fingerprint, now: datetime) -> bool:
        """Drop the strikes of a call that ran to its end; return whether there were any."""
        self._silences.record_answer(fingerprint, now)
        return self._evidence.record_answer(fingerprint, now)

    def is_quarantined(self, fingerprint: Fingerprint, now: datetime) -> bool:
        """Tell whether the call is refused because it may have crashed too many servers."""
        strikes = list(self._evidence.list_crashes(fingerprint, now))
        for silence in self._silences.list_crashes(fingerprint, now):
            is_recent = now - silence.ended < SINGLE_CRASH_LIFETIME
            if is_recent and not any(silence.is_same(strike) for strike in strikes):
                strikes.append(silence)
        return len(strikes) >= CRASH_LIMIT

    def find_release(self, fingerprint: Fingerprint, now: datetime) -> timedelta:
        """Return how much longer a quarantined call is refused if it crashes no other server."""
        silences = self._silences.list_crashes(fingerprint, now)
        if silences and len(self._evidence.list_crashes(fingerprint, now)) < CRASH_LIMIT:
            return max(timedelta(0), silences[0].ended + SINGLE_CRASH_LIFETIME - now)
        return self._evidence.find_release(fingerprint, now)

    def list_crashed(self, fingerprint: Fingerprint, now: datetime) -> list[Incarnation]:
        """Return the servers that count as crashed by a call."""
        return [crash.server for crash in self._evidence.list_crashes(fingerprint, now)]

    def is_handing_over(self, now: datetime) -> bool:
        """Tell whether a host that starts or is heard again may lack evidence."""
        return self._handover_ends is not None and now < self._handover_ends

    def make_report(self, now: datetime) -> CallReport:
        """Return what other hosts are told: the calls with the most crashes, then the newest.

        These are the calls that crashed servers here, and all known ones while a host that starts
        may lack them.
        """
        suspects = self._evidence.list_suspects()
        if not self.is_handing_over(now):
            suspects = [each for each in suspects if each in self._own]
        return self._evidence.make_report(self._evidence.choose_reported(suspects, now), now)

    def apply_report(self, host: HostId, boot: BootId, report: CallReport, now: datetime) -> bool:
        """Take over another host's evidence; return whether it has a crash not known before."""
        known = self._heard.get(host)
        keep_newest(self._heard, host, (boot, now), MAX_HEARD_HOSTS)
        if known is None or known[0] != boot or now - known[1] >= SILENT_AFTER:
            self._handover_ends = now + HANDOVER_TIME
        return self._evidence.apply_report(report, now)
