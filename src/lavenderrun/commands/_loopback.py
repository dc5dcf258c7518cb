"""The sub-command ``loopback``: measure the latency and the CPU time that an entry adds."""

from __future__ import annotations

import sys
from argparse import SUPPRESS, ArgumentParser, Namespace

import msgspec

from lavenderrun.commands._base import COMMANDS
from lavenderrun.daemons import install_loop, open_log, run_until_signal

MAX_FIRST_TOKEN_MS = 3.0
MAX_FRAME_US = 100.0


@COMMANDS.register("loopback")
class LoopbackCommand:
    """Exit code 1 means that a target was missed: 3 ms to the first token, 100 us per frame.

    Examples:
    lavenderrun loopback
    """

    help = "measure the latency and the CPU time that an entry adds, on loopback"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the arguments, which are hidden: the measurement passes them to its processes."""
        parser.add_argument("--role", choices=("outside", "entry"), help=SUPPRESS)
        parser.add_argument("--table", default="", help=SUPPRESS)

    def run(self, args: Namespace) -> int:
        """Measure and print JSON, or run one process of the measurement with ``--role``."""
        if args.role is not None:
            return _run_role(args.role, args.table)
        from lavenderrun.bench import run_loopback

        figures = run_loopback()
        print(msgspec.json.format(msgspec.json.encode(figures), indent=2).decode())
        return int(figures.added_p50 > MAX_FIRST_TOKEN_MS or figures.cpu_a_frame > MAX_FRAME_US)


def _run_role(role: str, table: str) -> int:
    open_log(None)
    reactor = install_loop()
    from lavenderrun.bench import EntryProcess, OutsideProcess  # need the installed reactor

    process: EntryProcess | OutsideProcess
    process = EntryProcess(reactor, table) if role == "entry" else OutsideProcess(reactor)

    async def start() -> None:
        await process.start()
        sys.stdout.write(msgspec.json.encode(process.describe()).decode() + "\n")
        sys.stdout.flush()

    return run_until_signal(reactor, start, process.stop)
