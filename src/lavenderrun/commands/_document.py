"""The sub-commands ``check`` and ``schema``, which need no running fleet."""

from __future__ import annotations

import json
import sys
from argparse import ArgumentParser, Namespace
from pathlib import Path

from lavenderrun.codecs import FaultList, FileFormat, make_schema, read_document
from lavenderrun.commands._base import COMMANDS, print_faults


def find_file_format(path: Path) -> FileFormat:
    """Return the format of a document file by its suffix."""
    return FileFormat.JSON if path.suffix == ".json" else FileFormat.TOML


@COMMANDS.register("check")
class CheckCommand:
    """examples:
    lavenderrun check fleet.toml
    lavenderrun check fleet.json

    Exit code 2 means that the document has faults; each is printed with its line and field.
    """

    help = "check a document and print every fault"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the sub-command's arguments."""
        parser.add_argument("file", type=Path, help="TOML, or JSON when it ends in .json")

    def run(self, args: Namespace) -> int:
        """Print every fault of the document; return 0 if there is none, else 2."""
        try:
            text = args.file.read_bytes()
        except OSError as error:
            sys.stderr.write(f"{args.file}: can not be read: {error.strerror}\n")
            return 2
        found = read_document(text, find_file_format(args.file))
        if isinstance(found, FaultList):
            print_faults(args.file, found)
            return 2
        return 0


@COMMANDS.register("schema")
class SchemaCommand:
    """examples:
    lavenderrun schema > document.schema.json
    """

    help = "print the JSON Schema of the document, for forms"

    def configure(self, parser: ArgumentParser) -> None:
        """Do nothing; the sub-command has no arguments."""

    def run(self, _args: Namespace) -> int:
        """Print the schema; return 0."""
        print(json.dumps(make_schema(), indent=2))
        return 0
