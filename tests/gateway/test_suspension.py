from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from store_fixture import StoreFixture

from lavenderrun.dispatch import MAX_SUSPENSIONS
from lavenderrun.gateway._suspension import SuspensionService


class Followers:
    """The service ``wakes``, whose calls to restart the followers are counted."""

    def __init__(self) -> None:
        fixture = StoreFixture()
        self.time = fixture.time
        self.restarts = 0
        follower = SimpleNamespace(restart=self.note_restart)
        for name in ("configuration", "members", "peers"):
            fixture.kernel.provide(name, SimpleNamespace(follower=follower))
        pool: Any = fixture.pool
        pool.close_idle = lambda: None
        self.hidden = 0.0
        wakes = SuspensionService(fixture.kernel)
        wakes.read_boot_time = lambda: self.time.seconds() + self.hidden
        wakes.start()

    def note_restart(self) -> None:
        self.restarts += 1

    def turn_late(self, times: int) -> int:
        """Return how often the followers were restarted in late turns."""
        before = self.restarts
        for _ in range(times):
            self.time.advance(0.9)
        return self.restarts - before


# a follower that is restarted in each turn never reads an answer of the store
def test_a_loop_that_is_always_late_does_not_restart_its_followers_for_ever() -> None:
    followers = Followers()
    assert followers.turn_late(40) == 3 * MAX_SUSPENSIONS
    for _ in range(6):
        followers.time.advance(0.25)
    assert followers.turn_late(1) == 3


def test_a_suspension_of_the_host_restarts_the_followers_of_a_late_loop() -> None:
    followers = Followers()
    followers.turn_late(40)
    followers.hidden += 2.0
    assert followers.turn_late(1) == 3
