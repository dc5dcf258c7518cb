from __future__ import annotations

from pathlib import Path

import pytest

from soak import run_seed

# seeds 10, 30, 32: a signal during the start of a gateway ended it with an error
# seeds 47, 64, 67: connection resets counted as crashes, and a valid call was refused for a minute
SEEDS = [1, 10, 30, 32, 47, 64, 67]


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_injected_faults(tmp_path: Path, seed: int) -> None:
    failures, statuses = run_seed(seed, 8.0, tmp_path)
    assert not failures
    assert statuses["200"] > 20
