from __future__ import annotations

from datetime import UTC, datetime, timedelta
from types import SimpleNamespace
from typing import Any
from unittest.mock import MagicMock

import pytest
from twisted.internet.task import Clock as FakeReactor

from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._router import MAX_CONFIRMATION_WAIT, GatewayRouter
from lavenderrun.kernel import ReactorClock
from lavenderrun.types import Refusal


# its timer answered the call once more
def test_a_confirmation_that_fails_at_once_is_answered_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reactor, sink = FakeReactor(), MagicMock()
    found: dict[str, Any] = {"configuration": MagicMock(spec=ConfigurationService, age=None)}
    found["configuration"].refresh.side_effect = RuntimeError
    kernel: Any = SimpleNamespace(
        clock=ReactorClock(reactor, datetime(2026, 1, 1, tzinfo=UTC), zero=0.0),
        random_source=MagicMock(),
        find=lambda name, _: found.setdefault(name, MagicMock()),
    )
    router = GatewayRouter(kernel)
    monkeypatch.setattr(router, "_authorize", lambda _: Refusal.UNKNOWN_KEY)
    router.submit(MagicMock(patience=timedelta(seconds=4), shared_parts=()), sink)
    (refused,) = (each.args[0] for each in sink.refuse.call_args_list)
    assert refused.refusal is Refusal.INTERNAL
    assert not router.running_count
    reactor.advance(MAX_CONFIRMATION_WAIT.total_seconds() + 1)
    assert sink.refuse.call_count == 1
