"""The sub-commands ``submit`` and ``status``, which call the operators' API."""

from __future__ import annotations

import json
import sys
from argparse import ArgumentParser, Namespace
from pathlib import Path
from typing import Any

from lavenderrun.codecs import FileFormat
from lavenderrun.commands._base import COMMANDS
from lavenderrun.commands._client import ApiAnswer, add_client_arguments, call_admin
from lavenderrun.commands._document import find_file_format

CONTENT_TYPES = {FileFormat.TOML: "application/toml", FileFormat.JSON: "application/json"}


@COMMANDS.register("submit")
class SubmitCommand:
    """examples:
    export LAVENDERRUN_OPERATOR_KEY=...
    lavenderrun submit fleet.toml --url http://127.0.0.1:9000 --version 7

    Exit code 1 means that the document is not known to be accepted (a conflict, or no answer), 2
    that it has faults.
    """

    help = "submit a document that replaces the version it is based on"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the sub-command's arguments."""
        parser.add_argument("file", type=Path, help="TOML, or JSON when it ends in .json")
        parser.add_argument(
            "--version",
            type=int,
            required=True,
            metavar="N",
            dest="base",
            help="version that the document is based on, 0 for the first",
        )
        add_client_arguments(parser)

    def run(self, args: Namespace) -> int:
        """Submit the document; return 0 when it was accepted."""
        try:
            text = args.file.read_bytes()
        except OSError as error:
            sys.stderr.write(f"{args.file}: can not be read: {error.strerror}\n")
            return 2
        headers = {
            "If-Match": f'"{args.base}"',
            "Content-Type": CONTENT_TYPES[find_file_format(args.file)],
        }
        answer = call_admin(args, "PUT", "/admin/document", text, headers)
        if answer is None:
            return 1
        body = _decode(answer)
        if answer.status == 200:
            pending = "" if body["confirmed"] else ", not yet known to be in force everywhere"
            print(f"version {body['version']} is accepted{pending}")
            return 0
        return _print_error(args, answer, body)


@COMMANDS.register("status")
class StatusCommand:
    """examples:
    lavenderrun status --url http://127.0.0.1:9000 --key-file operator.key
    lavenderrun status --url http://127.0.0.1:9000 --section backends
    """

    help = "print the state of the fleet as one entry sees it"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the sub-command's arguments."""
        add_client_arguments(parser)
        parser.add_argument("--section", help="print only this section")

    def run(self, args: Namespace) -> int:
        """Print the state as JSON; return 0, 1 without an answer, 2 for an unknown section."""
        answer = call_admin(args, "GET", "/admin/status")
        if answer is None:
            return 1
        body = _decode(answer)
        if answer.status != 200:
            return _print_error(args, answer, body)
        if args.section is not None and args.section not in body:
            sys.stderr.write(
                f"lavenderrun: no section {args.section!r}: one of {', '.join(body)}\n"
            )
            return 2
        print(json.dumps(body if args.section is None else body[args.section], indent=2))
        return 0


def _decode(answer: ApiAnswer) -> Any:
    try:
        return json.loads(answer.body)
    except ValueError:
        return {}


def _print_error(args: Namespace, answer: ApiAnswer, body: Any) -> int:
    error = body.get("error", {}) if isinstance(body, dict) else {}
    message = error.get("message", "no answer of the operators' API")
    sys.stderr.write(f"lavenderrun: {answer.status}: {message}\n")
    for fault in error.get("faults", []):
        place = f"line {fault['line']}: " if fault["line"] else ""
        sys.stderr.write(f"{args.file}: {place}{fault['path']}: {fault['text']}\n")
    for revision in body.get("since", []):
        sys.stderr.write(
            f"version {revision['version']} by {revision['author']} at {revision['at']}\n"
        )
    for change in body.get("theirs") or []:
        sys.stderr.write(f"  {change['path']}: {change['before']} -> {change['after']}\n")
    return 2 if answer.status in {400, 422} else 1
