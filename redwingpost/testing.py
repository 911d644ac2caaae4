"""Run every test and doctest of the package: the one test command.

Tests listed in ``KNOWN-RED.txt`` are reported apart. The run fails when
any other test fails, and also when a known-red test passes, so that the
list can't outlive the fault.
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

#: Begins the entry of a fault that a played day has shown and no test does.
PLAY = "play |"


def read_known_red(path: Path = KNOWN_RED) -> frozenset[str]:
    """Return the ids of the tests that are known to fail.

    Parameters
    ----------
    path : Path
        File with one line per test: id, then ``|``, then cause and issue.
        Lines that begin with ``PLAY`` name no test.

    Returns
    -------
    frozenset of str
        Test ids; empty where the file is missing.
    """
    if not path.exists():
        return frozenset()
    return frozenset(
        line.split("|")[0].strip()
        for line in _entries(path)
        if not line.startswith(PLAY)
    )


def read_known_plays(path: Path = KNOWN_RED) -> tuple[str, ...]:
    """Return the faults that only a play has shown, as they are listed."""
    if not path.exists():
        return ()
    return tuple(line for line in _entries(path) if line.startswith(PLAY))


def _entries(path: Path) -> list[str]:
    lines = (line.strip() for line in path.read_text().splitlines())
    return [line for line in lines if line and not line.startswith("#")]


def collect(prefix: str = "") -> TestSuite:
    """Return the tests and doctests of every module under ``prefix``."""
    suite = TestSuite()
    for found in walk_packages(redwingpost.__path__, "redwingpost."):
        if not found.name.startswith(prefix):
            continue
        module = import_module(found.name)
        if ".tests." in found.name:
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
    """Return the test cases of a suite as one flat list."""
    cases = []
    for item in suite:
        cases.extend(flatten(item) if isinstance(item, TestSuite) else [item])
    return cases


def run_apart(cases: list, known_red: frozenset[str]) -> bool:
    """Run the known-red cases alone and say whether all still fail."""
    reds = [case for case in cases if case.id() in known_red]
    missing = known_red - {case.id() for case in reds}
    for name in sorted(missing):
        print(f"known red, but no such test: {name}")
    still_red = True
    for case in reds:
        result = TestResult()
        case.run(result)
        red = not result.wasSuccessful()
        print(f"known red: {case.id()}: {'red' if red else 'NOW GREEN'}")
        still_red = still_red and red
    return still_red and not missing


def main(arguments: list[str]) -> int:
    """Run the tests whose module starts with the first argument."""
    silence_logs()
    known_red = read_known_red()
    cases = flatten(collect(arguments[0] if arguments else ""))
    wanted = TestSuite(c for c in cases if c.id() not in known_red)
    result = TextTestRunner(verbosity=1).run(wanted)
    reds_ok = run_apart(cases, known_red) if not arguments else True
    for play in read_known_plays():
        print(f"known red: {play}")
    failed = len(result.failures) + len(result.errors)
    # A class whose set-up fails counts as a failure but not as a run.
    passed = max(0, result.testsRun - failed)
    print(f"{passed} passed, {failed} failed")
    return 0 if result.wasSuccessful() and reds_ok else 1


if __name__ == "__main__":
    sys_exit(main(argv[1:]))
