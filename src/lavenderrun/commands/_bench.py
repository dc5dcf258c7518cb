"""The sub-command ``bench``: run benchmark scenarios and print their measures."""

from __future__ import annotations

import sys
from argparse import ArgumentParser, Namespace
from pathlib import Path
from typing import TYPE_CHECKING

from lavenderrun.commands._base import COMMANDS

if TYPE_CHECKING:
    from lavenderrun.bench import Measures

PRINTED_MEASURES = ("goodput", "wasted_prefill", "worst_account", "in_rate_refusals", "held")


@COMMANDS.register("bench")
class Bench:
    """Exit code 1 means that an invariant was violated or memory was still held."""

    help = "run benchmark scenarios on a fake clock"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the sub-command's arguments."""
        parser.add_argument(
            "scenario",
            nargs="*",
            help="default: all; 'slopes' measures the figures of docs/CAPACITY.md",
        )
        parser.add_argument("--list", action="store_true", help="list the scenarios")
        parser.add_argument("--seed", type=int, default=1)
        parser.add_argument("--json", action="store_true", help="print the measures as JSON")
        parser.add_argument(
            "--policy",
            action="append",
            default=[],
            metavar="PART=NAME",
            help="use another policy for a part",
        )
        parser.add_argument(
            "--compare",
            action="append",
            default=[],
            metavar="PART=NAME",
            help="run with and without these policies",
        )
        parser.add_argument("--report", type=Path, metavar="DIR", help="write a table and a plot")

    def run(self, args: Namespace) -> int:
        """Run the chosen scenarios, print their measures and return 0, or 1 for a violation."""
        # imported here to keep the other commands fast to start
        from lavenderrun.bench import SCENARIOS, run_scenario, write_report

        if args.list:
            for name, plan in SCENARIOS:
                print(f"{name:18} {(plan.__doc__ or '').splitlines()[0]}")
            return 0
        if args.scenario == ["slopes"]:
            _print_slopes(as_json=args.json)
            return 0
        unknown = [name for name in args.scenario if name not in SCENARIOS]
        if unknown:
            sys.exit(f"bench: no scenario {unknown[0]!r}; --list shows them")
        chosen = _read_pairs(args.policy)
        runs = [chosen]
        if args.compare:
            runs.append({**chosen, **_read_pairs(args.compare)})
        results = [
            run_scenario(name, args.seed, policies).measures
            for name in args.scenario or SCENARIOS.names()
            for policies in runs
        ]
        _print(results, as_json=args.json)
        if args.report is not None:
            write_report(args.report, results)
        return int(any(sum(each.violations.values()) or each.held for each in results))


def _read_pairs(pairs: list[str]) -> dict[str, str]:
    """Return policy names by part from pairs ``PART=NAME``.

    :raises SystemExit: a pair has no ``=``.
    """
    policies = {}
    for pair in pairs:
        part, sign, name = pair.partition("=")
        if not sign:
            sys.exit(f"bench: {pair!r} is not PART=NAME")
        policies[part] = name
    return policies


def _print_slopes(*, as_json: bool) -> None:
    from lavenderrun.bench import encode, measure_slopes

    slopes = measure_slopes()
    if as_json:
        print(encode(slopes).decode())
        return
    print(f"{'figure':40}{'slope':>13}{'base':>13}  {'unit':12}per, (size, figure) as measured")
    for each in slopes:
        points = " ".join(f"({size:g}, {figure:.4g})" for size, figure in each.points)
        line = f"{each.name:40}{each.slope:13.4g}{each.base:13.4g}  {each.unit:12}"
        print(f"{line}{each.per}: {points}")


def _print(results: list[Measures], *, as_json: bool) -> None:
    if as_json:
        from lavenderrun.bench import encode

        print(encode(results[0] if len(results) == 1 else results).decode())
        return
    print(
        f"{'scenario':18}"
        + "".join(f"{name:>17}" for name in PRINTED_MEASURES)
        + f"{'violations':>12}"
    )
    for each in results:
        figures = "".join(f"{getattr(each, name):17}" for name in PRINTED_MEASURES)
        policies = " ".join(f"{part}={name}" for part, name in each.policies.items())
        print(f"{each.scenario:18}{figures}{sum(each.violations.values()):12}  {policies}")
