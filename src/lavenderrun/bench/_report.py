"""Writes the measures of benchmark runs as a Markdown table and an SVG plot."""

from __future__ import annotations

from pathlib import Path

from lavenderrun.bench._measures import Measures

SHARES = ("goodput", "worst_account", "in_rate_refusals", "wasted_prefill")


def write_report(directory: Path, results: list[Measures]) -> None:
    """Write ``bench.md`` and ``bench.svg`` into *directory*."""
    directory.mkdir(parents=True, exist_ok=True)
    (directory / "bench.md").write_text(_write_table(results))
    _plot(directory / "bench.svg", results)


def _write_table(results: list[Measures]) -> str:
    heads = ["scenario", "seed", "policies", *SHARES, "violations", "held"]
    lines = ["| " + " | ".join(heads) + " |", "|" + "---|" * len(heads)]
    for each in results:
        shares = [f"{getattr(each, name):.4f}" for name in SHARES]
        violations = str(sum(each.violations.values()))
        cells = [each.scenario, str(each.seed), _name_policies(each), *shares, violations]
        lines.append("| " + " | ".join([*cells, str(each.held)]) + " |")
    return "\n".join(lines) + "\n"


def _plot(path: Path, results: list[Measures]) -> None:
    # imported here because matplotlib is slow to import and only reports need it
    import matplotlib as mpl

    mpl.use("svg")
    mpl.rcParams["svg.hashsalt"] = "lavenderrun"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(2 + 1.2 * len(results), 4))
    width = 0.8 / len(SHARES)
    for number, name in enumerate(SHARES):
        places = [place + number * width for place in range(len(results))]
        axes.bar(places, [getattr(each, name) for each in results], width, label=name)
    labels = [f"{each.scenario}\n{_name_policies(each)}" for each in results]
    axes.set_xticks([place + 0.3 for place in range(len(results))], labels, fontsize=7)
    axes.set_ylabel("share")
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def _name_policies(measures: Measures) -> str:
    return " ".join(f"{part}={name}" for part, name in measures.policies.items())
