"""Pool of the hosts that serve one model in one role."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from lavenderrun.decisions._placement import Candidate
from lavenderrun.types import DataCentre, HostId

BuildCandidate = Callable[[HostId, DataCentre], Candidate]
"""Builds the candidate of a host from its present load and state."""


class CandidatePool:
    """Sequence of candidates, each built only when it is read.

    :param build: builds a candidate.
    """

    def __init__(self, build: BuildCandidate) -> None:
        self._build = build
        self._hosts: list[tuple[HostId, DataCentre]] = []
        self._indexes: dict[HostId, int] = {}

    def __len__(self) -> int:
        return len(self._hosts)

    def __getitem__(self, index: int) -> Candidate:
        return self._build(*self._hosts[index])

    def __iter__(self) -> Iterator[Candidate]:
        return (self._build(host, centre) for host, centre in self._hosts)

    def find(self, host: HostId) -> int | None:
        """Return the index of *host*, ``None`` when the pool lacks it."""
        return self._indexes.get(host)

    def add(self, host: HostId, centre: DataCentre) -> None:
        """Add a host unless the pool has it already."""
        if host not in self._indexes:
            self._indexes[host] = len(self._hosts)
            self._hosts.append((host, centre))

    def remove(self, host: HostId) -> None:
        """Remove a host; the last host moves to its index."""
        index = self._indexes.pop(host, None)
        if index is None:
            return
        last = self._hosts.pop()
        if last[0] != host:
            self._hosts[index] = last
            self._indexes[last[0]] = index
