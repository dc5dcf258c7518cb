"""Starts a gateway from a checkout; the platform names its settings in the environment."""

from __future__ import annotations

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from lavenderrun.daemons import run_gateway

if __name__ == "__main__":
    sys.exit(run_gateway(Path(os.environ["LAVENDERRUN_SETTINGS"]), metrics_port=int(sys.argv[1])))
