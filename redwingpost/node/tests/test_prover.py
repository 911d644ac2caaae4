"""Queries that are shared by all that wait for them."""

from asyncio import create_task, sleep, wait_for
from unittest import IsolatedAsyncioTestCase

from redwingpost.node.prover import SharedQuery


class SharedQueryTest(IsolatedAsyncioTestCase):
    async def test_a_query_that_raises(self) -> None:
        """Guards against callers that wait for ever after an error."""
        runs = []

        async def query() -> bool:
            runs.append(len(runs))
            await sleep(0.02)
            if len(runs) == 1:
                raise OSError("once")
            return True

        shared = SharedQuery(query, failed=False)
        first = create_task(shared.get())
        await sleep(0.01)
        second = create_task(shared.get())
        self.assertFalse(await wait_for(first, 5.0))
        self.assertTrue(await wait_for(second, 5.0))
