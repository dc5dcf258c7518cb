"""Client of the operators' API for sub-commands."""

from __future__ import annotations

import os
import sys
from argparse import ArgumentParser, Namespace
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from lavenderrun.daemons import install_loop, open_log, run_until_signal

KEY_VARIABLE: Final = "LAVENDERRUN_OPERATOR_KEY"
TIMEOUT_SECONDS: Final = 30.0
"""Long enough for a submission, which waits until its voters have confirmed it."""


@dataclass(frozen=True)
class ApiAnswer:
    """Status and body of the API's answer."""

    status: int
    body: bytes


def add_client_arguments(parser: ArgumentParser) -> None:
    """Add the arguments that every sub-command that calls the API has."""
    parser.add_argument("--url", required=True, help="URL of the operators' API of any entry")
    parser.add_argument(
        "--key-file",
        type=Path,
        metavar="FILE",
        help=f"file with the operator key (default: the variable {KEY_VARIABLE})",
    )
    parser.add_argument(
        "--authority",
        type=Path,
        metavar="FILE",
        help="PEM file of the certificate authority for an https URL",
    )


def call_admin(
    args: Namespace,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> ApiAnswer | None:
    """Call the API once; print the error and return ``None`` if there is no answer."""
    key = find_key(args)
    if key is None:
        return None
    open_log(None)
    reactor = install_loop()
    from lavenderrun.commands._http import fetch  # needs the installed reactor

    answers: list[ApiAnswer] = []
    headers = {"Authorization": f"Bearer {key}", **(headers or {})}
    url = args.url.rstrip("/") + path

    async def start() -> None:
        fetching = fetch(reactor, method, url, headers, body, _read_authority(args))
        status, content = await fetching.addTimeout(TIMEOUT_SECONDS, reactor)
        answers.append(ApiAnswer(status, content))

    async def stop() -> None:
        """Do nothing; the call leaves no connection open."""

    code = run_until_signal(reactor, start, stop, seconds=0)
    return answers[0] if answers and not code else None


def find_key(args: Namespace) -> str | None:
    """Return the operator key; print the reason and return ``None`` if there is none."""
    if args.key_file is None:
        key = os.environ.get(KEY_VARIABLE, "").strip()
        if not key:
            sys.stderr.write(
                f"lavenderrun: no operator key: set {KEY_VARIABLE} or give --key-file\n"
            )
        return key or None
    try:
        return str(args.key_file.read_text().strip())
    except (OSError, UnicodeDecodeError) as error:
        sys.stderr.write(f"{args.key_file}: can not be read: {type(error).__name__}\n")
        return None


def _read_authority(args: Namespace) -> Any:
    return None if args.authority is None else args.authority.read_bytes()
