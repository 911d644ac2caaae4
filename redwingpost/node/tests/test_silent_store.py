"""Node processes run against a store that doesn't answer every request."""

from asyncio import gather, sleep
from time import monotonic
from unittest import IsolatedAsyncioTestCase

from redwingpost.node.tests.line_site import (
    NodeSite,
    configuration,
    until,
    until_in_force,
)

#: Seconds within which a configuration must be in force.
CONFIGURATION_S = 3.0

#: Seconds after the last answer at which a node sends its next request in a
#: series of changes.
_NEXT_REQUEST_S = 0.2

#: Shorter than the time after which TCP probes an idle connection.
_SILENT_S = 1.5


class SilentStoreTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = NodeSite()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start(nodes=2)
        self.store = self.site.standins.store

    async def test_changes_arrive_after_a_request_that_is_never_answered(
        self,
    ) -> None:
        """The store takes all nodes' requests for changes, and drops them."""
        await self._leave_requests_unanswered()
        confirmed_at = monotonic()
        self.site.standins.configure(configuration(4))
        await gather(*(until_in_force(node, 4) for node in self.site.nodes))
        self.assertLessEqual(monotonic() - confirmed_at, CONFIGURATION_S)

    async def test_metrics_show_a_request_that_isnt_answered(self) -> None:
        """An operator couldn't tell a calm table from a pending request."""
        self.store.faults.is_silent = True
        node = self.site.nodes[0]

        async def is_shown() -> bool:
            page = await node.metrics()
            pending_s = _value(page, "redwing_table_request_seconds")
            age_s = _value(page, "redwing_table_age_seconds")
            return min(age_s, pending_s) > 1.0

        await until(is_shown, "a pending request")

    async def _leave_requests_unanswered(self) -> None:
        for version in (2, 3):
            self.site.standins.configure(configuration(version))
            await gather(
                *(until_in_force(node, version) for node in self.site.nodes)
            )
        self.store.faults.is_silent = True
        await sleep(_NEXT_REQUEST_S + _SILENT_S)
        self.store.faults.is_silent = False


def _value(page: str, metric: str) -> float:
    """Return a metric's value for the configuration's table."""
    name = f'{metric}{{table="op"}}'
    line = next(item for item in page.splitlines() if item.startswith(name))
    return float(line.rpartition(" ")[2])
