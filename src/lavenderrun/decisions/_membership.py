"""Which peers an entry dials, and which rows of lost entries may go."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta

from lavenderrun.types import Backend, EntryHost, HostId

ROW_LIFE = timedelta(minutes=10)


def choose_peer_addresses(
    me: HostId, backends: Iterable[Backend], entries: Iterable[EntryHost]
) -> frozenset[str]:
    """Return the addresses that *me* dials: every agent, and the entries with a greater id.

    The smaller id dials, so that two entries share one link.
    """
    agents = {backend.agent for backend in backends}
    return frozenset(agents | {entry.address for entry in entries if entry.host > me})


class StaleRowDetector:
    """Finds rows that stood unchanged for :data:`ROW_LIFE` on this host's own clock.

    Hosts share no clock, so that the age of a row is the time since its version was first seen.
    """

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, datetime]] = {}

    def find_stale(self, versions: dict[str, int], now: datetime) -> list[str]:
        """Return the keys of *versions* whose version is too old."""
        for key in set(self._seen) - set(versions):
            del self._seen[key]
        for key, version in versions.items():
            if key not in self._seen or self._seen[key][0] != version:
                self._seen[key] = (version, now)
        return [key for key, (_, since) in self._seen.items() if now - since > ROW_LIFE]
