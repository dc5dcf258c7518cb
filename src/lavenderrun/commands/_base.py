"""The registry of sub-commands."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from typing import Protocol

from lavenderrun.kernel import Registry


class Command(Protocol):
    """A sub-command of the command line."""

    help: str

    def configure(self, parser: ArgumentParser) -> None:
        """Add the sub-command's arguments."""

    def run(self, args: Namespace) -> int:
        """Do the work and return the exit code."""


COMMANDS: Registry[type[Command]] = Registry("command")
