"""The sub-command ``explain``: print the log lines of one call from several processes."""

from __future__ import annotations

import json
import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Final

from lavenderrun.commands._base import COMMANDS
from lavenderrun.commands._call_end import CallEnd, find_end
from lavenderrun.dispatch import NoticeKind

HIDDEN: Final = frozenset(
    {"text", "message_type", "timestamp", "task_uuid", "task_level", "request", "log", "notices"}
)
"""Fields that a printed line leaves out or shows before the list of fields."""

SUSPECTS_PREFIX: Final = '"suspects:'
"""What each line about suspect calls and parts of prompts contains."""

EXIT_NOT_FOUND: Final = 1


def find_lines(request: str, name: str, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the log lines of *request* as decoded JSON, each with the log's name added.

    :param name: file name of the log.
    """
    for text in lines:
        found = _decode_line(text) if request in text else {}
        if found.get("request") == request:
            yield {**found, "log": name}


def find_evidence(suspects: Collection[str], name: str, lines: Iterable[str]) -> Iterator[Any]:
    """Yield the log lines about crashes under equal calls or parts, as ``find_lines`` does.

    :param suspects: fingerprints of calls, and parts of prompts.
    :param name: file name of the log.
    """
    for text in lines:
        found = _decode_line(text) if SUSPECTS_PREFIX in text else {}
        named = {found.get("crashing_call"), found.get("part"), *found.get("parts", ())}
        if named & set(suspects):
            yield {**found, "log": name, "call": found.get("request")}


def _decode_line(text: str) -> dict[str, Any]:
    """Return the fields of a line, none when it is incomplete: its process may have been killed."""
    start = text.find("{")
    try:
        found = json.loads(text[start:]) if start >= 0 else {}
    except ValueError:
        return {}
    return found if isinstance(found, dict) else {}


def format_notices(line: Mapping[str, Any]) -> Iterator[str]:
    """Yield what each backend server that wanted no calls had said, to whom and when."""
    for notice in line.get("notices") or ():
        if notice.get("says") == NoticeKind.EVACUATED.value:
            said = "is in an evacuated data centre"
        elif notice.get("left_ms") is None:
            said = "said it is leaving"
        else:
            said = f"asked for no calls, {notice['left_ms']} ms left"
        yield f"{'':14}{notice.get('member')} {said}; told to {notice.get('told_by')} " + (
            f"{notice.get('age_ms')} ms before"
        )


def format_line(line: dict[str, Any], began: float) -> str:
    """Return a line as text: milliseconds since *began*, log, message and fields.

    :param began: timestamp of the first line, in seconds.
    """
    elapsed_ms = (float(line.get("timestamp", began)) - began) * 1000
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in HIDDEN and value is not None
    )
    return f"{elapsed_ms:9.1f} ms  {line['log']}  {line.get('text', '')}  {fields}".rstrip()


@COMMANDS.register("explain")
class ExplainCommand:
    """examples:
    lavenderrun explain 9c41d07be2a35f68 front-1.log front-2.log
    lavenderrun explain 9c41d07be2a35f68 --json *.log
    """

    help = "print what happened to one call, from the logs of several processes"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the sub-command's arguments."""
        parser.add_argument("request", metavar="REQUEST_ID")
        parser.add_argument("logs", type=Path, nargs="+", metavar="LOG")
        parser.add_argument("--json", action="store_true", help="print the lines as JSON")

    def run(self, args: Namespace) -> int:
        """Print the call's lines; return 0, 1 if no log has any, 2 for an unreadable log."""
        try:
            found = _search(args.logs, lambda name, lines: find_lines(args.request, name, lines))
            reasons = [line.get("part") or line.get("crashing_call") for line in found]
            suspects = {reason for reason in reasons if reason}
            if suspects:
                found += _search(
                    args.logs, lambda name, lines: find_evidence(suspects, name, lines)
                )
        except OSError as error:
            sys.stderr.write(f"{error.filename}: can not be read: {error.strerror}\n")
            return 2
        found.sort(key=lambda line: float(line.get("timestamp", 0)))
        if not found:
            sys.stderr.write(f"{args.request}: in none of {len(args.logs)} logs\n")
            return EXIT_NOT_FOUND
        for text in _format_json(found) if args.json else _format_lines(args.request, found):
            sys.stdout.write(f"{text}\n")
        return 0


def _search(
    logs: Iterable[Path], find: Callable[[str, Iterable[str]], Iterator[dict[str, Any]]]
) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = []
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as lines:
            found.extend(find(path.name, lines))
    return found


def _format_json(found: list[dict[str, Any]]) -> Iterator[str]:
    return (json.dumps(line) for line in found)


def _format_lines(request: str, found: list[dict[str, Any]]) -> Iterator[str]:
    began = float(found[0].get("timestamp", 0))
    yield f"call {request}, first seen {datetime.fromtimestamp(began, UTC).isoformat()}"
    for line in found:
        yield format_line(line, began)
        yield from format_notices(line)
    yield from format_ends(found)


def format_ends(found: list[dict[str, Any]]) -> Iterator[str]:
    """Yield how the call ended, for each log that tells it, and how many of its lines it lacks."""
    own = [line for line in found if "call" not in line]
    ends = {
        name: find_end(line for line in own if line["log"] == name)
        for name in dict.fromkeys(line["log"] for line in own)
    }
    for name, ended in ends.items():
        if ended.end is not CallEnd.UNKNOWN:
            yield f"ended in {name}: {ended.end.value}  {ended.detail}".rstrip()
    if all(ended.end is CallEnd.UNKNOWN for ended in ends.values()):
        yield CallEnd.UNKNOWN.value
    for name in ends:
        dropped = max(line.get("call_lines_dropped", 0) for line in own if line["log"] == name)
        if dropped:
            yield f"lacks lines in {name}: {dropped} were dropped"
