"""The sub-command ``demo``: run a whole deployment in one process."""

from __future__ import annotations

import json
from argparse import ArgumentParser, FileType, Namespace

from lavenderrun.commands._base import COMMANDS
from lavenderrun.daemons import install_loop, open_log, run_until_signal


@COMMANDS.register("demo")
class DemoCommand:
    """examples:
    lavenderrun demo
    lavenderrun demo --deployment qene --port 8080 --seconds 60
    """

    help = "run a whole deployment in one process on loopback"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the sub-command's arguments."""
        parser.add_argument("--deployment", choices=("wire", "qene"), default="wire")
        parser.add_argument(
            "--port", type=int, default=0, help="port for callers (0: any free port)"
        )
        parser.add_argument("--log", type=FileType("a"), help="file for JSON log lines")
        parser.add_argument("--seconds", type=float, help="stop after this many seconds")

    def run(self, args: Namespace) -> int:
        """Run until a signal or the given time, then drain; return 0."""
        open_log(args.log)
        reactor = install_loop()
        from lavenderrun.demo import Demo  # needs the installed reactor

        demo = Demo(reactor, args.deployment, args.port)

        async def start() -> None:
            await demo.start()
            if demo.is_running:
                print("ready", json.dumps(demo.describe()), flush=True)

        return run_until_signal(reactor, start, demo.stop, seconds=args.seconds)
