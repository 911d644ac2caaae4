"""The oracle: checks a finished run against the promises.

It knows only what callers received and what the targets hold at the
end. Each check is registered under the promise it guards and returns
the violations it can prove; a doubtful case is never one.
"""

from typing import NamedTuple

from redwingpost.bench.checks import CHECKS
from redwingpost.bench.history import Run


class Violation(NamedTuple):
    """A promise that did not hold, and how one sees it."""

    promise: str
    detail: str


def find_violations(run: Run) -> list[Violation]:
    """Return every violation that the checks can prove."""
    return [
        Violation(promise, detail)
        for promise, check in CHECKS.items()
        for detail in check(run)
    ]
