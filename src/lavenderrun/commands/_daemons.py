"""The sub-commands ``entry`` and ``agent``: run one daemon with its settings file."""

from __future__ import annotations

import json
import sys
from argparse import ArgumentParser, FileType, Namespace
from pathlib import Path

from lavenderrun.codecs import FaultList, read_settings
from lavenderrun.commands._base import COMMANDS, print_faults
from lavenderrun.daemons import install_loop, open_log, run_until_signal
from lavenderrun.types import AgentSettings, EntrySettings


class DaemonCommand:
    """Base of the sub-commands that run a daemon.

    :cvar kind: type of the settings file.
    """

    help = ""
    kind: type[EntrySettings] | type[AgentSettings]

    def configure(self, parser: ArgumentParser) -> None:
        """Add the sub-command's arguments."""
        parser.add_argument("--settings", type=Path, required=True, metavar="FILE")
        parser.add_argument(
            "--log",
            type=FileType("a"),
            default=sys.stderr,
            metavar="FILE",
            help="file for JSON log lines (default: standard error)",
        )

    def run(self, args: Namespace) -> int:
        """Run until a signal, then drain; return 0, 1 for a failure, 2 for invalid settings."""
        try:
            text = args.settings.read_bytes()
        except OSError as error:
            sys.stderr.write(f"{args.settings}: can not be read: {error.strerror}\n")
            return 2
        settings = read_settings(text, self.kind)
        if isinstance(settings, FaultList):
            print_faults(args.settings, settings)
            return 2
        return run_daemon(settings, args)


def run_daemon(settings: EntrySettings | AgentSettings, args: Namespace) -> int:
    """Run the daemon of *settings* until a signal; return the exit code."""
    open_log(args.log)
    reactor = install_loop()
    from lavenderrun.daemons import Daemon  # needs the installed reactor
    from lavenderrun.kernel import ReactorClock
    from lavenderrun.services import CertificateError, ListenError

    try:
        daemon = Daemon(ReactorClock.starting_now(reactor), settings)
    except (CertificateError, ListenError, LookupError) as error:
        sys.stderr.write(f"{args.settings}: {error}\n")
        return 2

    async def start() -> None:
        await daemon.start()
        print("listening", json.dumps(daemon.describe()), flush=True)

    return run_until_signal(reactor, start, daemon.stop)


@COMMANDS.register("entry")
class EntryCommand(DaemonCommand):
    """examples:
    lavenderrun entry --settings entry.toml
    lavenderrun entry --settings entry.toml --log entry.log
    """

    help = "run an entry, which accepts callers, serves the operators' API and dials the agents"
    kind = EntrySettings


@COMMANDS.register("agent")
class AgentCommand(DaemonCommand):
    """examples:
    lavenderrun agent --settings agent.toml
    """

    help = "run the agent beside a backend server"
    kind = AgentSettings
