"""The hosts that serve one model in one role, seen as candidates."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from lavenderrun.decisions._placement import Candidate
from lavenderrun.types import DataCentre, HostId

Look = Callable[[HostId, DataCentre], Candidate]
"""Builds the candidate of a host from what is known of it now."""


class CandidatePool:
    """A sequence of candidates that are built only when they are looked at.

    :param look: builds a candidate.
    """

    def __init__(self, look: Look) -> None:
        self._look = look
        self._hosts: list[tuple[HostId, DataCentre]] = []
        self._places: dict[HostId, int] = {}

    def __len__(self) -> int:
        return len(self._hosts)

    def __getitem__(self, index: int) -> Candidate:
        return self._look(*self._hosts[index])

    def __iter__(self) -> Iterator[Candidate]:
        return (self._look(host, centre) for host, centre in self._hosts)

    def find(self, host: HostId) -> int | None:
        """Return the index of *host*."""
        return self._places.get(host)

    def add(self, host: HostId, centre: DataCentre) -> None:
        """Add a host; one that is there stays."""
        if host not in self._places:
            self._places[host] = len(self._hosts)
            self._hosts.append((host, centre))

    def remove(self, host: HostId) -> None:
        """Take a host out; the last one moves to its place."""
        index = self._places.pop(host, None)
        if index is None:
            return
        last = self._hosts.pop()
        if last[0] != host:
            self._hosts[index] = last
            self._places[last[0]] = index
