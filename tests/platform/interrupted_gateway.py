"""Starts a gateway that is ordered to stop during its start, in code that catches all errors."""

from __future__ import annotations

import os
import runpy
import signal
import sys
from contextlib import suppress
from importlib import import_module
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]


def interrupt() -> None:
    with suppress(BaseException):
        os.kill(os.getpid(), signal.SIGTERM)


if __name__ == "__main__":
    sys.path.insert(0, str(ROOT / "src"))
    daemon: Any = import_module("lavenderrun.daemons._gateway")
    daemon.return_large_blocks = interrupt
    sys.argv[0] = str(ROOT / "deploy" / "gateway.py")
    runpy.run_path(sys.argv[0], run_name="__main__")
