"""Entry point of the command line."""

from __future__ import annotations

import sys

from lavenderrun.commands import main


def run() -> None:
    """Run the command line and exit with its code."""
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    run()
