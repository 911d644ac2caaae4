"""The test oracle: checks a finished run against the promises.

Its only input is what callers received and the targets' final contents.
Each check is registered under the promise that it verifies. It reports
only violations that it can prove, never an ambiguous case.
"""

from typing import NamedTuple

from redwingpost.bench.checks import CHECKS
from redwingpost.bench.history import Run


class Violation(NamedTuple):
    """A promise that was broken, and the evidence."""

    promise: str
    detail: str


def find_violations(run: Run) -> list[Violation]:
    """Run all checks and return the violations that they prove."""
    return [
        Violation(promise, detail)
        for promise, check in CHECKS.items()
        for detail in check(run)
    ]
