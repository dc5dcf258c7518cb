"""The sub-command ``standin``: run stand-ins for outside systems in one process."""

from __future__ import annotations

import json
from argparse import ArgumentParser, ArgumentTypeError, Namespace
from dataclasses import dataclass
from typing import Any

from lavenderrun.commands._base import COMMANDS
from lavenderrun.daemons import install_loop, open_log, run_until_signal

KINDS = ("engine", "plain", "table")
LOOPBACK = "127.0.0.1"


@dataclass(frozen=True)
class StandinRequest:
    """Kind and port of one stand-in; port 0 takes a free one."""

    kind: str
    port: int


def parse_standin_request(text: str) -> StandinRequest:
    """Parse ``KIND:PORT`` or ``KIND``.

    :raises ArgumentTypeError: *text* has another form.
    """
    kind, _, port = text.partition(":")
    if kind not in KINDS or (port and not port.isdecimal()):
        msg = f"{text!r} is not KIND:PORT with a KIND of {', '.join(KINDS)}"
        raise ArgumentTypeError(msg)
    return StandinRequest(kind, int(port or 0))


@COMMANDS.register("standin")
class StandinCommand:
    """examples:
    lavenderrun standin table:7100 plain:7200
    lavenderrun standin engine:7301 engine:7302

    Engines that transfer KV cache to each other must run in one process. The port is optional.
    """

    help = "run stand-ins for engines, a plain service and the table service on loopback"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the sub-command's arguments."""
        parser.add_argument("wanted", type=parse_standin_request, nargs="+", metavar="KIND:PORT")

    def run(self, args: Namespace) -> int:
        """Run until a signal; return 0."""
        open_log(None)
        reactor = install_loop()
        from lavenderrun.demo import Standins  # needs the installed reactor

        standins = Standins(reactor)

        async def start() -> None:
            addresses: dict[str, Any] = {kind: [] for kind in KINDS}
            for wanted in args.wanted:
                addresses[wanted.kind].append(standins.serve(wanted.kind, wanted.port))
            print("ready", json.dumps(addresses), flush=True)

        return run_until_signal(reactor, start, standins.stop)
