from __future__ import annotations

from datetime import UTC, datetime, timedelta
from types import SimpleNamespace
from typing import Any
from unittest.mock import MagicMock

import pytest

from lavenderrun.gateway._running_call import RunningCallBase

NOW = datetime(2026, 1, 1, tzinfo=UTC)


class FailingCall(RunningCallBase):
    def start(self) -> None:
        pass

    def pause(self) -> None:
        pass

    def resume(self) -> None:
        pass

    def _may_have_run(self) -> bool:
        return False

    def _release(self) -> None:
        raise RuntimeError


# a call whose release failed stayed among the running calls, and a stop waited for it
def test_a_call_that_can_not_be_released_ends_all_the_same() -> None:
    ended: list[Any] = []
    services, call_log = MagicMock(), MagicMock()
    services.clock.now.return_value = NOW
    admitted: Any = SimpleNamespace(
        deadline=NOW + timedelta(seconds=1), arrived=NOW, service="apps", access=MagicMock()
    )
    call = FailingCall(services, admitted, MagicMock(), call_log, ended.append)
    with pytest.raises(RuntimeError):
        call.cancel()
    assert ended == [call]
