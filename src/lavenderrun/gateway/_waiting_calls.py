"""Plain calls of this host that wait until a server of their service takes calls."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from lavenderrun.dispatch import WaitingCall, choose_next
from lavenderrun.types import AccountId, ServiceGroup


@dataclass(eq=False)
class QueuedPlainCall(WaitingCall):
    """A waiting call and how it is told that it may look for a server.

    :param wake: has the call look for a server soon.
    :param is_woken: the call was told and has not looked yet.
    """

    wake: Callable[[], None]
    is_woken: bool = False


class WaitingPlainCalls:
    """Waiting calls by service, in the order of ``choose_next``, and the calls that run."""

    def __init__(self) -> None:
        self._waiting: dict[ServiceGroup, dict[QueuedPlainCall, None]] = {}
        self._running: dict[ServiceGroup, Counter[AccountId | None]] = {}

    def has_waiting(self, service: ServiceGroup) -> bool:
        """Tell whether a call of *service* waits."""
        return service in self._waiting

    def add(self, service: ServiceGroup, call: QueuedPlainCall) -> None:
        """Let *call* wait."""
        self._waiting.setdefault(service, {})[call] = None

    def remove(self, service: ServiceGroup, call: QueuedPlainCall) -> None:
        """Let *call* wait no longer."""
        waiting = self._waiting.get(service, {})
        waiting.pop(call, None)
        if not waiting:
            self._waiting.pop(service, None)

    def wake_next(self, service: ServiceGroup) -> None:
        """Have the next waiting call of *service* look for a server."""
        running = self._running.get(service, Counter())
        call = choose_next(self._waiting.get(service, ()), running)
        if call is not None and not call.is_woken:
            call.is_woken = True
            call.wake()

    def begin(self, service: ServiceGroup, account: AccountId | None) -> None:
        """Record that a call of *account* is sent to a server of *service*."""
        self._running.setdefault(service, Counter())[account] += 1

    def end(self, service: ServiceGroup, account: AccountId | None) -> None:
        """Record that a call ended, after which a waiting one may find room."""
        running = self._running[service]
        running[account] -= 1
        if not running[account]:
            del running[account]
        if not running:
            del self._running[service]
        self.wake_next(service)
