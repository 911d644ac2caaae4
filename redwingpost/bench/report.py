"""The report of all runs as Markdown and HTML, with plots."""

from base64 import b64encode
from collections.abc import Iterable
from html import escape
from pathlib import Path
from typing import NamedTuple

from redwingpost.bench.measures import Measures
from redwingpost.bench.plots import PLOTS, draw
from redwingpost.bench.tables import COLUMNS, to_markdown

_INTRODUCTION = (
    "Measured by what callers received and by what the targets hold at the "
    "end of each run. `redwingpost` is the product, `naive` a proxy that "
    "sends every statement to the primary over a connection of its own "
    "and limits each organisation to a sixth of its rate on each VM."
)

_STYLE = (
    "body{font-family:sans-serif;margin:2em;max-width:75em}"
    "table{border-collapse:collapse}"
    "td,th{border:1px solid #bbb;padding:.2em .5em}"
    "tr.violated{background:#fdd}img{max-width:100%}"
)


class ReportPaths(NamedTuple):
    """Paths of the two pages of a report."""

    markdown: Path
    html: Path


def write_report(
    runs: list[Measures], failures: list[str], directory: Path
) -> ReportPaths:
    """Write a Markdown page with its plots, and a single HTML page.

    Parameters
    ----------
    runs : list of Measures
        In the order of the table.
    failures : list of str
        The names of runs that did not finish, with the errors.
    directory : Path
        For the files; created if it doesn't exist.

    Returns
    -------
    ReportPaths
        Paths of both pages.
    """
    directory.mkdir(parents=True, exist_ok=True)
    plots = [path for p in PLOTS if (path := draw(p, runs, directory))]
    markdown = directory / "report.md"
    markdown.write_text(_markdown(runs, failures, plots))
    html = directory / "report.html"
    html.write_text(_html(runs, failures, plots))
    return ReportPaths(markdown, html)


def _violations(runs: Iterable[Measures]) -> list[str]:
    return [
        f"{run['scenario']}, {run['site']}, {run['policy']}, seed "
        f"{run['seed']}: {violation['promise']}: {violation['detail']}"
        for run in runs
        for violation in run["violations"][:3]
    ]


def _markdown(
    runs: list[Measures], failures: list[str], plots: list[Path]
) -> str:
    parts = ["# Bench report", _INTRODUCTION, to_markdown(runs).rstrip()]
    parts.extend(f"![{plot.stem}]({plot.name})" for plot in plots)
    parts.append("## Violations (first three of each run)")
    parts.append(_bullets(_violations(runs)))
    parts.append("## Runs that did not end")
    parts.append(_bullets(failures))
    return "\n\n".join(parts) + "\n"


def _bullets(lines: list[str]) -> str:
    return "\n".join(f"- {line}" for line in lines) or "None."


def _html(runs: list[Measures], failures: list[str], plots: list[Path]) -> str:
    head = "".join(f"<th>{escape(c.heading)}</th>" for c in COLUMNS)
    rows = "".join(_html_row(run) for run in runs)
    images = "".join(
        f'<p><img alt="{plot.stem}" src="data:image/png;base64,'
        f'{b64encode(plot.read_bytes()).decode()}"></p>'
        for plot in plots
    )
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>Bench report</title><style>{_STYLE}</style></head><body>"
        f"<h1>Bench report</h1><p>{escape(_INTRODUCTION)}</p>"
        f"<table><tr>{head}</tr>{rows}</table>{images}"
        "<h2>Violations (first three of each run)</h2>"
        f"{_html_list(_violations(runs))}"
        "<h2>Runs that did not end</h2>"
        f"{_html_list(failures)}</body></html>\n"
    )


def _html_row(run: Measures) -> str:
    cells = "".join(f"<td>{escape(c.show(run))}</td>" for c in COLUMNS)
    mark = ' class="violated"' if run["violations"] else ""
    return f"<tr{mark}>{cells}</tr>"


def _html_list(lines: list[str]) -> str:
    if not lines:
        return "<p>None.</p>"
    items = "".join(f"<li>{escape(line)}</li>" for line in lines)
    return f"<ul>{items}</ul>"
