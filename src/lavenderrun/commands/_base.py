"""The registry of sub-commands and what they share."""

from __future__ import annotations

import sys
from argparse import ArgumentParser, Namespace
from pathlib import Path
from typing import Protocol

from lavenderrun.codecs import FaultList
from lavenderrun.kernel import Registry


class Command(Protocol):
    """A sub-command of the command line."""

    help: str

    def configure(self, parser: ArgumentParser) -> None:
        """Add the sub-command's arguments to *parser*."""

    def run(self, args: Namespace) -> int:
        """Run the sub-command and return the exit code."""


COMMANDS: Registry[type[Command]] = Registry("command")


def print_faults(path: Path, found: FaultList) -> None:
    """Print every fault found in the file *path* to standard error."""
    for fault in found.faults:
        sys.stderr.write(f"{path}: {fault}\n")
