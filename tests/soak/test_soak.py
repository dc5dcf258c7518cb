from __future__ import annotations

from pathlib import Path

import pytest

from soak import run_seed

# 10, 30, 32: a signal that came while a gateway started ended it with an error
SEEDS = [1, 10, 30, 32]


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_faults_from_outside(tmp_path: Path, seed: int) -> None:
    faults, ends = run_seed(seed, 8.0, tmp_path)
    assert not faults
    assert ends["200"] > 20
