from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest
from notices import Notices, Rest, SentCall
from platform_standin import SeenRequest, StandinServer

REST_SECONDS = 3
SECONDS_TO_NEW_START = 1.8


@pytest.fixture
def server() -> Iterator[StandinServer]:
    server = StandinServer("app-1", "apps")
    yield server
    server.close()


class Path:
    """A path to a server on which answers are lost for some time."""

    def __init__(self, began: float, ended: float) -> None:
        self._break = began, ended

    def has_broken(self, first: float, last: float) -> bool:
        began, ended = self._break
        return began <= last and first <= ended


OPEN = Path(0.0, 0.0)


def check_calls(
    server: StandinServer,
    at: float,
    *,
    starts_anew: bool = False,
    path: Path = OPEN,
    waited: float = 0.0,
    restarted: float | None = None,
    suspended: float | None = None,
    gave_up: float | None = None,
) -> list[str]:
    """Check three calls that reach a server *at* seconds after it asked for no calls.

    :param waited: for how long the call had been sent that it rejected.
    :param restarted: how long before the rejection the gateway was restarted.
    :param suspended: how long before the rejection the gateway was suspended.
    :param gave_up: how long before the rejection the gateway had given that call up.
    """
    notices = Notices()
    proxy: Any = path
    notices.calls["rejected"] = SentCall(0, 100.0 - waited)
    if restarted is not None:
        notices.excuses[0] = notices.restarts[0] = [100.0 - restarted]
    if suspended is not None:
        notices.excuses[0] = [100.0 - suspended]
    notices.rests["app-1"] = [Rest("rejected", 100.0, REST_SECONDS)]
    if starts_anew:
        notices.departures["app-1"] = [[90.0, 100.0 + SECONDS_TO_NEW_START]]
    for number in range(3):
        notices.note_sent(f"late-{number}", 0)
        headers = {"x-request-id": f"late-{number}"}
        server.seen.append(SeenRequest("GET", "/look/x", headers, b"", 100.0 + at))
    given_up = {} if gave_up is None else {("rejected", "app-1"): 100.0 - gave_up}
    failures = notices.check([server], {"app-1": proxy}, given_up)
    return [failure for failure in failures if "in its rest" in failure]


# soak seed 30: the server had started anew 0.05 s before the calls
@pytest.mark.parametrize(
    ("at", "starts_anew", "is_late"),
    [(1.0, False, True), (2.0, False, True), (1.0, True, True), (2.0, True, False)],
)
def test_a_rest_ends_when_its_server_starts_anew(
    server: StandinServer, at: float, starts_anew: bool, is_late: bool
) -> None:
    assert bool(check_calls(server, at, starts_anew=starts_anew)) is is_late


# soak seed 1147: the proxy before the server had dropped all answers since 8 s
@pytest.mark.parametrize(
    ("began", "ended", "is_late"),
    [(92.0, 101.0, False), (92.0, 99.9, True), (100.6, 103.0, True)],
)
def test_a_rejection_that_is_lost_on_its_way_asks_for_nothing(
    server: StandinServer, began: float, ended: float, is_late: bool
) -> None:
    assert bool(check_calls(server, 1.0, path=Path(began, ended))) is is_late


# soak seed 67: the server's thread did not run for 3.5 s; meanwhile the gateway was killed, and the
# other one gave its calls up
@pytest.mark.parametrize(
    ("seen", "is_late"),
    [
        ({}, True),
        ({"restarted": 1.8}, False),
        ({"restarted": 3.5}, True),
        ({"suspended": 1.8}, True),
        ({"gave_up": 0.2}, False),
        ({"gave_up": -0.2}, True),
    ],
)
def test_a_rejection_that_comes_after_its_gateway_has_gone_asks_for_nothing(
    server: StandinServer, seen: dict[str, float], is_late: bool
) -> None:
    assert bool(check_calls(server, 1.0, waited=3.4, **seen)) is is_late  # type: ignore[arg-type]
