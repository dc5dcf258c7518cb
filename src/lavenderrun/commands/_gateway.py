"""The sub-command ``gateway``: an entry that calls backend servers itself."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from pathlib import Path
from typing import Final

from lavenderrun.commands._base import COMMANDS

METRICS_PORT: Final = 9464
"""Default port of the metrics page; ``deploy/system.toml`` names the same."""


@COMMANDS.register("gateway")
class GatewayCommand:
    """examples:
    lavenderrun gateway --settings /etc/lavenderrun/node.json
    """

    help = "run a gateway, which accepts callers and calls backend servers itself"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the sub-command's arguments."""
        parser.add_argument("--settings", type=Path, required=True, metavar="FILE")
        parser.add_argument(
            "--metrics-port",
            type=int,
            default=METRICS_PORT,
            metavar="PORT",
            help="port of the metrics page",
        )

    def run(self, args: Namespace) -> int:
        """Run until a signal, then drain; return 0, 1 for a failure, 2 for invalid settings."""
        from lavenderrun.daemons import run_gateway

        return run_gateway(args.settings, metrics_port=args.metrics_port)
