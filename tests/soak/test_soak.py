from __future__ import annotations

from pathlib import Path

import pytest

from soak import run_seed


@pytest.mark.parametrize("seed", [1])
def test_promises_hold_under_faults_from_outside(tmp_path: Path, seed: int) -> None:
    faults, ends = run_seed(seed, 8.0, tmp_path)
    assert not faults
    assert ends["200"] > 50
