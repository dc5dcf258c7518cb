from __future__ import annotations

import pytest
from bounds import (
    Case,
    check_bound,
    find_figure,
    load_known_red,
    read_cases,
    read_known_red,
    run_once,
)

KNOWN = load_known_red()
CASES = read_cases()
LINE = "bound wire-peak goodput seed 2 | lavenderrun bench wire-peak --seed 2 | 0.9 | issue 4"


@pytest.mark.bounds
@pytest.mark.parametrize("case", CASES, ids=lambda c: f"{c.scenario}-{c.seed}-{c.measure}")
def test_bound(case: Case) -> None:
    figure = find_figure(run_once(case.scenario, case.seed), case.measure)
    red = check_bound(case, figure, KNOWN)
    if red is not None:
        pytest.xfail(red)


@pytest.mark.bounds
def test_known_red_names_checked_cases_only() -> None:
    assert {(case.scenario, case.measure, case.seed) for case in CASES} >= KNOWN


def test_every_bound_has_one_side_and_a_target() -> None:
    assert all((c.at_least is None) != (c.at_most is None) and c.target for c in CASES)


def test_missed_bound_fails_unless_its_case_is_listed() -> None:
    case = Case("wire-peak", "goodput", 2, 0.95, None, "target")
    known = read_known_red(LINE)
    with pytest.raises(AssertionError, match="target"):
        check_bound(case, 0.9, set())
    with pytest.raises(AssertionError, match="target"):
        check_bound(case._replace(seed=1), 0.9, known)
    assert check_bound(case, 0.9, known) is not None
    with pytest.raises(AssertionError, match="unlist"):
        check_bound(case, 0.96, known)


def test_incomplete_known_red_line_is_refused() -> None:
    with pytest.raises(AssertionError, match="not readable"):
        read_known_red("bound wire-peak goodput seed 2")
