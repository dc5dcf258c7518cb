"""The argument parser, built from the registered sub-commands."""

from __future__ import annotations

import importlib
import pkgutil
from argparse import ArgumentParser, RawDescriptionHelpFormatter
from importlib.metadata import version

import lavenderrun.commands as package
from lavenderrun.commands._base import COMMANDS


def main(argv: list[str]) -> int:
    """Parse *argv*, run the sub-command and return its exit code."""
    args = build_parser().parse_args(argv)
    code: int = args.command.run(args)
    return code


def build_parser() -> ArgumentParser:
    """Return the parser with every registered sub-command."""
    for module in pkgutil.iter_modules(package.__path__):
        importlib.import_module(f"{package.__name__}.{module.name}")
    parser = ArgumentParser(
        prog="lavenderrun",
        description="Router for prefill and decode pools.",
        allow_abbrev=False,
    )
    parser.add_argument("--version", action="version", version=version("lavenderrun"))
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    for name, kind in COMMANDS:
        command = kind()
        sub = commands.add_parser(
            name,
            help=command.help,
            description=command.help,
            epilog=command.__doc__,
            formatter_class=RawDescriptionHelpFormatter,
            allow_abbrev=False,
        )
        command.configure(sub)
        sub.set_defaults(command=command)
    return parser
