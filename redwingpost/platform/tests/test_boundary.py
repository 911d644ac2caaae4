"""No module outside ``platform/`` uses the platform's wire names."""

from pathlib import Path
from re import compile as re_compile
from unittest import TestCase

import redwingpost

ROOT = Path(redwingpost.__file__).parent

#: Wire names of the platform.
_NAMES = re_compile(
    r"X-Redwingpost|rows-(?:tx|get|feed)|blob-(?:put|get)|expectedRev"
    r"|putRows|deleteRows|coldLeftMs|ratePerS|apiKeys|routeType"
    r"|coldPerS|coldS\b|coldOverage|coldSlack|allowedRegions"
    r"|maxStalenessMs|targetLatencyMs|txIdleMs|dbRole|syncReplicas"
    r"|innerPorts|cloudApi|drainMs|REDWINGPOST_NODE_FILE"
    r"|\b(?:WAITLSN|STEPDOWN|DATAROW|STARTUP|INDOUBT|AUTHFAIL|NODB"
    r"|WRONGNODE|MAXCONN|EXECFAIL)\b"
)

#: Folders that may use the names: the stand-in plays the platform.
_EXEMPT_FOLDERS = ("platform", "standin", "tests")


class BoundaryTest(TestCase):
    def test_platform_names_are_used_only_inside(self) -> None:
        violations = []
        for path in sorted(ROOT.rglob("*.py")):
            parts = path.relative_to(ROOT).parts
            if any(part in _EXEMPT_FOLDERS for part in parts):
                continue
            found = _NAMES.findall(path.read_text())
            if found:
                violations.append((str(path.relative_to(ROOT)), found))
        self.assertEqual([], violations)

    def test_the_check_can_fail(self) -> None:
        source = (ROOT / "platform" / "orders.py").read_text()
        self.assertTrue(_NAMES.search(source))
