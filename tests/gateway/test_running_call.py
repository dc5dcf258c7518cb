from __future__ import annotations

from datetime import UTC, datetime, timedelta
from types import SimpleNamespace
from typing import Any
from unittest.mock import MagicMock

import pytest

from lavenderrun.gateway._running_call import RunningCallBase
from lavenderrun.types import Outcome

NOW = datetime(2026, 1, 1, tzinfo=UTC)


class WaitingCall(RunningCallBase):
    """A call that was sent to no server."""

    def start(self) -> None:
        pass

    def pause(self) -> None:
        pass

    def resume(self) -> None:
        pass

    def _may_have_run(self) -> bool:
        return False

    def _release(self) -> None:
        pass


class FailingCall(WaitingCall):
    def _release(self) -> None:
        raise RuntimeError


def make_admitted() -> Any:
    return SimpleNamespace(
        deadline=NOW + timedelta(seconds=1),
        arrived=NOW,
        service="apps",
        access=MagicMock(),
        charge=0,
    )


# streams with little time left were now and then refused without a time to come back
def test_a_call_that_did_not_run_by_its_deadline_says_when_to_come_back() -> None:
    services, sink = MagicMock(), MagicMock()
    services.clock.now.return_value = NOW
    services.view.advise_return.return_value = timedelta(seconds=2)
    call = WaitingCall(services, make_admitted(), sink, MagicMock(), lambda _: None)
    call._reach_deadline()
    refused = sink.refuse.call_args.args[0]
    assert (refused.outcome, refused.retry_after) == (Outcome.NOT_RUN, timedelta(seconds=2))


# a call whose release failed stayed among the running calls, and a stop waited for it
def test_a_call_that_can_not_be_released_ends_all_the_same() -> None:
    ended: list[Any] = []
    services, call_log = MagicMock(), MagicMock()
    services.clock.now.return_value = NOW
    call = FailingCall(services, make_admitted(), MagicMock(), call_log, ended.append)
    with pytest.raises(RuntimeError):
        call.cancel()
    assert ended == [call]
