"""Nothing outside ``platform/`` knows the platform's names."""

from pathlib import Path
from re import compile as re_compile
from unittest import TestCase

import redwingpost

ROOT = Path(redwingpost.__file__).parent

#: Names of the platform's wire, as they stand there.
_NAMES = re_compile(
    r"X-Redwingpost|rows-(?:tx|get|feed)|blob-(?:put|get)|expectedRev"
    r"|putRows|deleteRows|coldLeftMs|ratePerS|apiKeys|routeType"
    r"|maxStalenessMs|targetLatencyMs|txIdleMs|dbRole|syncReplicas"
    r"|innerPorts|cloudApi|drainMs|REDWINGPOST_NODE_FILE"
    r"|\b(?:WAITLSN|STEPDOWN|DATAROW|STARTUP|INDOUBT|AUTHFAIL|NODB"
    r"|WRONGNODE|MAXCONN|EXECFAIL)\b"
)

#: Folders that play the platform, and tests.
_MAY_KNOW = ("platform", "standin", "tests")


class BoundaryTest(TestCase):
    def test_names_of_the_platform_stay_inside(self) -> None:
        known = []
        for path in sorted(ROOT.rglob("*.py")):
            parts = path.relative_to(ROOT).parts
            if any(part in _MAY_KNOW for part in parts):
                continue
            found = _NAMES.findall(path.read_text())
            if found:
                known.append((str(path.relative_to(ROOT)), found))
        self.assertEqual([], known)

    def test_the_check_can_fail(self) -> None:
        inside = (ROOT / "platform" / "orders.py").read_text()
        self.assertTrue(_NAMES.search(inside))
