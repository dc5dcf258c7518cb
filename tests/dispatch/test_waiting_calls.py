from __future__ import annotations

from collections import Counter
from datetime import UTC, datetime, timedelta
from random import Random

from lavenderrun.dispatch import WaitingCall, choose_next
from lavenderrun.types import AccountId

START = datetime(2026, 1, 1, tzinfo=UTC)
LARGE, SMALL = AccountId("large"), AccountId("small")


def make_call(account: AccountId | None, arrived: float, deadline: float) -> WaitingCall:
    def at(seconds: float) -> datetime:
        return START + timedelta(seconds=seconds)

    return WaitingCall(account, at(arrived), at(deadline))


def test_the_earliest_deadline_goes_first_then_the_earliest_arrival() -> None:
    late, early, first = make_call(None, 0, 3), make_call(None, 1, 2), make_call(None, 0.5, 2)
    assert choose_next([late, early, first], {}) is first
    assert choose_next([], {}) is None


# Guards against: an account with many waiting calls that are all due soon starves the others.
def test_accounts_that_wait_get_equal_shares_whatever_their_deadlines() -> None:
    source, running = Random(1), Counter[AccountId | None]()
    waiting = [make_call(LARGE, 0, source.uniform(0.1, 0.5)) for _ in range(40)]
    waiting += [make_call(SMALL, 0, source.uniform(1, 2)) for _ in range(4)]
    for _ in range(8):
        call = choose_next(waiting, running)
        assert call is not None
        waiting.remove(call)
        running[call.account] += 1
    assert running == {LARGE: 4, SMALL: 4}
