"""Run all tests and doctests of the package.

Tests listed in ``KNOWN-RED.txt`` (known to fail) run separately. The run
fails if any other test fails, or if a known-red test passes, so that an
entry is removed once its fault is fixed.
"""

from doctest import DocTestSuite
from importlib import import_module
from logging import CRITICAL, ERROR, getLogger
from pathlib import Path
from pkgutil import walk_packages
from sys import argv, exit as sys_exit
from unittest import TestResult, TestSuite, TextTestRunner, defaultTestLoader

from loguru import logger

import redwingpost

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"

#: Prefix of entries for faults that were seen in a play (a simulated day of
#: operation) and that no test shows.
PLAY_PREFIX = "play |"


def read_known_red(path: Path = KNOWN_RED) -> frozenset[str]:
    """Return the ids of the tests that are known to fail.

    Parameters
    ----------
    path : Path
        File with one line per test: id, then ``|``, then cause and issue.
        Lines that begin with ``PLAY_PREFIX`` name no test.

    Returns
    -------
    frozenset of str
        Test ids; empty if the file is missing.
    """
    if not path.exists():
        return frozenset()
    return frozenset(
        line.split("|")[0].strip()
        for line in _read_entries(path)
        if not line.startswith(PLAY_PREFIX)
    )


def read_known_plays(path: Path = KNOWN_RED) -> tuple[str, ...]:
    """Return the entries of faults that were seen only in a play."""
    if not path.exists():
        return ()
    return tuple(
        line for line in _read_entries(path) if line.startswith(PLAY_PREFIX)
    )


def _read_entries(path: Path) -> list[str]:
    lines = (line.strip() for line in path.read_text().splitlines())
    return [line for line in lines if line and not line.startswith("#")]


def collect(prefix: str = "") -> TestSuite:
    """Return the tests and doctests of modules that start with ``prefix``."""
    suite = TestSuite()
    for info in walk_packages(redwingpost.__path__, "redwingpost."):
        if not info.name.startswith(prefix):
            continue
        module = import_module(info.name)
        if ".tests." in info.name:
            suite.addTests(defaultTestLoader.loadTestsFromModule(module))
        else:
            suite.addTests(DocTestSuite(module))
    return suite


def silence_logs() -> None:
    """Keep the programs' logs out of the test report."""
    logger.remove()
    getLogger("mysql_mimic").setLevel(CRITICAL)
    getLogger("asyncio").setLevel(ERROR)


def flatten(suite: TestSuite) -> list:
    """Return the test cases of a suite and its nested suites as a list."""
    cases = []
    for item in suite:
        cases.extend(flatten(item) if isinstance(item, TestSuite) else [item])
    return cases


def run_known_red(cases: list, known_red: frozenset[str]) -> bool:
    """Run the known-red cases; return whether all exist and still fail."""
    known_cases = [case for case in cases if case.id() in known_red]
    missing = known_red - {case.id() for case in known_cases}
    for name in sorted(missing):
        print(f"known red, but no such test: {name}")
    all_failed = True
    for case in known_cases:
        result = TestResult()
        case.run(result)
        failed = not result.wasSuccessful()
        print(f"known red: {case.id()}: {'red' if failed else 'NOW GREEN'}")
        all_failed = all_failed and failed
    return all_failed and not missing


def main(arguments: list[str]) -> int:
    """Run the tests of modules that start with the first argument."""
    silence_logs()
    known_red = read_known_red()
    cases = flatten(collect(arguments[0] if arguments else ""))
    expected_to_pass = TestSuite(c for c in cases if c.id() not in known_red)
    result = TextTestRunner(verbosity=1).run(expected_to_pass)
    known_red_ok = run_known_red(cases, known_red) if not arguments else True
    for play in read_known_plays():
        print(f"known red: {play}")
    failed = len(result.failures) + len(result.errors)
    # A class whose set-up fails adds a failure but no test that was run.
    passed = max(0, result.testsRun - failed)
    print(f"{passed} passed, {failed} failed")
    return 0 if result.wasSuccessful() and known_red_ok else 1


if __name__ == "__main__":
    sys_exit(main(argv[1:]))
