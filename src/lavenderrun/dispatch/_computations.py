"""Prompts that decode engines compute themselves, over this host and its peers.

While a decode engine computes a prompt, its streams advance by one token for each piece of the
prompt. Two prompts in a row make the gap between their events too long, so each one is followed by
a rest in which the streams catch up.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.types import BackendId, HostId

DECODE_ENGINE_SPEED: Final = 0.5
"""Speed at which a decode engine computes a prompt, as a multiple of a prefill engine's."""

REST_FACTOR: Final = 1.0
"""Rest after a prompt, as a multiple of the time that it took to compute."""


def estimate_computation(tokens: int, prefill_speed: float) -> timedelta:
    """Return how long a decode engine computes a prompt.

    :param prefill_speed: prompt tokens that a prefill engine computes a second.
    """
    return timedelta(seconds=tokens / (prefill_speed * DECODE_ENGINE_SPEED))


class PromptComputations:
    """Until when each decode engine should take no further prompt without its KV cache."""

    def __init__(self) -> None:
        self._own: dict[BackendId, datetime] = {}
        self._peers: dict[HostId, dict[BackendId, datetime]] = {}

    def begin(self, member: BackendId, duration: timedelta, now: datetime) -> None:
        """Record that *member* computes a prompt from now on."""
        start = max(now, self._own.get(member, now))
        self._own[member] = start + duration * (1 + REST_FACTOR)

    def forget(self, member: BackendId) -> None:
        """Drop what is known of an engine that is gone or was restarted."""
        self._own.pop(member, None)
        for rests in self._peers.values():
            rests.pop(member, None)

    def is_busy(self, member: BackendId, now: datetime) -> bool:
        """Tell whether *member* computes a prompt or rests after one."""
        if self._own.get(member, now) > now:
            return True
        return any(rests.get(member, now) > now for rests in self._peers.values())

    def list_remaining(self, now: datetime) -> dict[BackendId, timedelta]:
        """Return how much longer each engine is busy with this host's prompts."""
        self._own = {member: until for member, until in self._own.items() if until > now}
        return {member: until - now for member, until in self._own.items()}

    def apply_peer_report(
        self, host: HostId, remaining: Mapping[BackendId, timedelta], now: datetime
    ) -> None:
        """Replace what the peer *host* reported before."""
        if remaining:
            self._peers[host] = {member: now + rest for member, rest in remaining.items()}
        else:
            self._peers.pop(host, None)
