from __future__ import annotations

from datetime import UTC, datetime

import pytest

from lavenderrun.decisions import Quarantine
from lavenderrun.types import (
    AccountId,
    AttemptId,
    Fingerprint,
    QuarantineVerdict,
    RequestId,
    RouteName,
    Strike,
)

NOW = datetime(2026, 1, 1, tzinfo=UTC)
PRINT = Fingerprint("f")


def strike(
    quarantine: Quarantine, number: int, *, had_begun: bool, others_unanswered: int | None = None
) -> None:
    quarantine.add_strike(
        Strike(
            PRINT,
            RequestId(f"r{number}"),
            AttemptId(1),
            AccountId("a"),
            RouteName("orders"),
            had_begun=had_begun,
            others_unanswered=others_unanswered,
        ),
        NOW,
    )


# requests that had begun to be answered waited for a server of their own until their deadline
@pytest.mark.parametrize(
    ("begun", "limits"),
    [([True], [0]), ([False], [4]), ([True, True], [0, 1]), ([False, True], [4, 1])],
)
def test_a_request_that_had_begun_is_not_kept_apart_after_one_crash(
    begun: list[bool], limits: list[int]
) -> None:
    quarantine = Quarantine()
    found = []
    for number, had_begun in enumerate(begun):
        strike(quarantine, number, had_begun=had_begun)
        found.append(quarantine.find_suspect_limit(PRINT, NOW))
    assert found == limits


def test_three_crashes_make_a_request_guilty_also_when_it_had_begun_each_time() -> None:
    quarantine = Quarantine()
    for number in range(3):
        strike(quarantine, number, had_begun=True)
    assert quarantine.find_verdict(PRINT, NOW) is QuarantineVerdict.GUILTY


# streams that lost their server twice to another request waited for one of their own, up to 27 s
def test_a_request_that_had_begun_is_no_suspect_beside_one_that_had_not() -> None:
    quarantine = Quarantine()
    for number in range(2):
        strike(quarantine, number, had_begun=True, others_unanswered=1)
        assert quarantine.find_verdict(PRINT, NOW) is QuarantineVerdict.CLEAR
        assert quarantine.find_suspect_limit(PRINT, NOW) == 0
        assert quarantine.list_suspects(NOW) == []
    strike(quarantine, 2, had_begun=True, others_unanswered=1)
    assert quarantine.find_verdict(PRINT, NOW) is QuarantineVerdict.GUILTY


def test_a_request_that_had_not_begun_is_a_suspect_beside_others_that_had_not() -> None:
    quarantine = Quarantine()
    for number in range(3):
        strike(quarantine, number, had_begun=False, others_unanswered=3)
    assert quarantine.find_verdict(PRINT, NOW) is QuarantineVerdict.GUILTY


# one of several that had not begun waited for an engine to run empty, as the only one did
@pytest.mark.parametrize(("others", "limit"), [(0, 1), (1, 4), (None, 4)])
def test_the_only_request_of_a_crash_that_had_not_begun_runs_alone(
    others: int | None, limit: int
) -> None:
    quarantine = Quarantine()
    strike(quarantine, 0, had_begun=False, others_unanswered=others)
    assert quarantine.find_suspect_limit(PRINT, NOW) == limit
    strike(quarantine, 1, had_begun=False, others_unanswered=3)
    assert quarantine.find_suspect_limit(PRINT, NOW) == 1
