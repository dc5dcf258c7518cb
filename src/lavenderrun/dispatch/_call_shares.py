"""Share of one host of the calls that all hosts together may send to one server a second."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from datetime import datetime, timedelta
from hashlib import blake2b
from typing import Final

from lavenderrun.types import BackendId, HostId, Incarnation

SHARE_WINDOW: Final = timedelta(seconds=1)
"""Time for which a share holds; it slides, so that no second has more calls than a share."""

MAX_HOSTS_AGE: Final = timedelta(minutes=1)
"""Age of what is known of the hosts from which this host has no share: the others may have removed
its row 10 s after they last heard it, and divide its share between them."""

VANISHED_KEPT: Final = MAX_HOSTS_AGE + timedelta(seconds=10)
"""How long a host counts after its row has vanished: until it has no share by ``MAX_HOSTS_AGE``,
if it is cut off and goes on, and 10 s more, since an unstable store may answer by what it knew 6 s
before."""

MAX_SERVERS: Final = 1024
"""Servers whose sends are kept before those without a recent one are dropped."""


class CallShares:
    """Divides a rate between the hosts without messages between them.

    With N hosts and a rate r each host may send floor(r / N) calls in any second to a server. If
    that is none, the floor(r) hosts with the highest hash of the server's run and the host may send
    one each. The sum is at most r while the hosts know the same hosts. Calls are counted by the
    server's id: those to the run before may reach a new one.

    :param started: when this process started; the one before it may have sent until then.
    """

    def __init__(self, host: HostId, started: datetime) -> None:
        self._host = host
        self._started = started
        self._hosts = frozenset({host})
        self._vanished: dict[HostId, datetime] = {}
        self._ranks: dict[Incarnation, int] = {}
        self._sent: dict[BackendId, deque[datetime]] = {}
        self._pending: Counter[BackendId] = Counter()

    @property
    def host_count(self) -> int:
        """Number of hosts that share, including this one and those whose rows vanished lately."""
        return len(self._hosts) + len(self._vanished)

    def set_hosts(self, hosts: Iterable[HostId], now: datetime) -> None:
        """Record which other hosts have rows now, whether or not they report."""
        present = frozenset(hosts) | {self._host}
        for host in self._hosts - present:
            self._vanished[host] = now
        for host in present:
            self._vanished.pop(host, None)
        if present != self._hosts:
            self._hosts = present
            self._ranks.clear()

    def note_send(self, server: BackendId, now: datetime) -> None:
        """Record that a call is written to *server*, whether it is cold or not."""
        self._sent.setdefault(server, deque()).append(now)
        if self.count_sent(server, now) == 1 and len(self._sent) > MAX_SERVERS:
            self._sent = {s: times for s, times in self._sent.items() if self.count_sent(s, now)}

    def add_pending(self, server: BackendId) -> None:
        """Record a call that is placed at *server* and will be written soon."""
        self._pending[server] += 1

    def remove_pending(self, server: BackendId) -> None:
        """Record that a call that was placed at *server* is written now, or will not be."""
        self._pending[server] -= 1
        if not self._pending[server]:
            del self._pending[server]

    def has_room(self, server: BackendId, share: int, now: datetime) -> bool:
        """Tell whether a further call may be placed at *server*."""
        return self.count_sent(server, now) + self._pending[server] < share

    def may_send(self, server: BackendId, share: int, now: datetime) -> bool:
        """Tell whether a call may be written to *server* now."""
        return self.count_sent(server, now) < share

    def count_sent(self, server: BackendId, now: datetime) -> int:
        """Return how many calls were written to *server* within the last second."""
        times = self._sent.get(server)
        while times and times[0] <= now - SHARE_WINDOW:
            times.popleft()
        return len(times or ())

    def find_share(
        self, run: Incarnation, rate: float, hosts_age: timedelta | None, now: datetime
    ) -> int:
        """Return how many calls this host may send to a run of a server in any second.

        :param rate: calls a second that all hosts together may send.
        :param hosts_age: age of what is known of the hosts, ``None`` before the first read.
        """
        if hosts_age is None or hosts_age > MAX_HOSTS_AGE or now - self._started < SHARE_WINDOW:
            return 0
        self._forget_vanished(now)
        each = int(rate / self.host_count)
        return each if each else int(self._find_rank(run) < int(rate))

    def _forget_vanished(self, now: datetime) -> None:
        past = [host for host, since in self._vanished.items() if now - since > VANISHED_KEPT]
        for host in past:
            del self._vanished[host]
        if past:
            self._ranks.clear()

    def _find_rank(self, run: Incarnation) -> int:
        """Return how many hosts have a higher hash with *run* than this one."""
        if run not in self._ranks:
            if len(self._ranks) >= MAX_SERVERS:
                self._ranks.clear()
            own = _hash(run, self._host)
            hosts = self._hosts | self._vanished.keys()
            self._ranks[run] = sum(_hash(run, host) > own for host in hosts)
        return self._ranks[run]


def _hash(run: Incarnation, host: HostId) -> bytes:
    return blake2b(f"{run}\n{host}".encode(), digest_size=8).digest()
