"""Peers that an entry connects to, and rows of lost entries that may be deleted."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta

from lavenderrun.types import Backend, EntryHost, HostId

MAX_ROW_AGE = timedelta(minutes=10)
MAX_READ_INTERVAL = timedelta(minutes=1)
"""Longest time between two reads of the rows that counts in their age."""


def choose_peer_addresses(
    me: HostId, backends: Iterable[Backend], entries: Iterable[EntryHost]
) -> frozenset[str]:
    """Return the addresses that *me* connects to: all agents, and the entries with a greater id.

    Of two entries the one with the smaller id connects, so that they share one link.
    """
    agents = {backend.agent for backend in backends}
    return frozenset(agents | {entry.address for entry in entries if entry.host > me})


class StaleRowDetector:
    """Finds rows that have not changed for :data:`MAX_ROW_AGE` by this host's clock.

    Hosts share no clock, so the age of a row is the time since this host first saw its version.
    Time in which this host could not read the rows does not count: the others could not write.
    """

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, timedelta]] = {}
        self._observed = timedelta(0)
        self._read_at: datetime | None = None

    def find_stale(self, versions: dict[str, int], now: datetime) -> list[str]:
        """Return the keys whose version has not changed for too long.

        :param versions: current version of each row by key, as read at *now*.
        """
        if self._read_at is not None:
            self._observed += min(now - self._read_at, MAX_READ_INTERVAL)
        self._read_at = now
        for key in set(self._seen) - set(versions):
            del self._seen[key]
        for key, version in versions.items():
            if key not in self._seen or self._seen[key][0] != version:
                self._seen[key] = (version, self._observed)
        oldest = self._observed - MAX_ROW_AGE
        return [key for key, (_, since) in self._seen.items() if since < oldest]
