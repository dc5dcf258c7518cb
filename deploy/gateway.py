"""Starts a gateway from a checkout; the platform names its settings in the environment."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path


def _end_early(*_: object) -> None:
    # an exception would be lost in code that catches all of them, and the gateway would serve on
    os._exit(0)


# before the daemon has its own handlers a stop is no error and a reload needless
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, _end_early)
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from lavenderrun.daemons import run_gateway  # noqa: E402

if __name__ == "__main__":
    code = run_gateway(Path(os.environ["LAVENDERRUN_SETTINGS"]), metrics_port=int(sys.argv[1]))
    sys.stdout.flush()
    sys.stderr.flush()
    # all is closed; the interpreter's own teardown would outlast the grace period on a busy host
    os._exit(code)
