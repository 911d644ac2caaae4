"""Node processes run against a store that doesn't answer every request."""

from unittest import IsolatedAsyncioTestCase

from redwingpost.node.tests.line_site import NodeSite, until


class SilentStoreTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = NodeSite()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start(nodes=2)
        self.store = self.site.standins.store

    async def test_metrics_show_a_request_that_isnt_answered(self) -> None:
        """An operator couldn't tell a calm table from a pending request."""
        self.store.faults.is_silent = True
        node = self.site.nodes[0]

        async def is_shown() -> bool:
            page = await node.metrics()
            pending_s = _value(page, "redwing_table_request_seconds")
            age_s = _value(page, "redwing_table_age_seconds")
            return age_s >= pending_s > 1.0

        await until(is_shown, "a pending request")


def _value(page: str, metric: str) -> float:
    """Return a metric's value for the configuration's table."""
    name = f'{metric}{{table="op"}}'
    line = next(item for item in page.splitlines() if item.startswith(name))
    return float(line.rpartition(" ")[2])
