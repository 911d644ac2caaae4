"""Node processes whose promotion orders take effect late."""

from asyncio import IncompleteReadError, create_task, sleep
from signal import SIGKILL
from time import monotonic
from unittest import IsolatedAsyncioTestCase

from redwingpost.node.tests.line_site import NodeSite, until
from redwingpost.standin.lines.group import LineMember


class LateOrderTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.told: set[str] = set()
        self.site = NodeSite()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start(nodes=1)
        self.node = self.site.nodes[0]
        self.standins = self.site.standins
        self.group = self.standins.group_by_name["g1"]

    async def test_a_coordinator_restarts_while_its_order_is_under_way(
        self,
    ) -> None:
        """Guards against a second promotion before the first has effect."""
        self.standins.order_delay_s = 4.0
        chosen = await self._order_promotion()
        self.assertEqual(-SIGKILL, await self.node.end(SIGKILL))
        self.standins.order_delay_s = 0.0
        await self.site.start_again(self.node)
        await self._fail_until_second_primary(chosen)
        await self._write_until_promoted(chosen)
        self.assertEqual([], self.group.lost)

    async def test_a_coordinator_gives_an_order_up(self) -> None:
        """Guards against a second promotion after an unanswered order."""
        self.standins.order_delay_s = 7.0
        chosen = await self._order_promotion()
        await sleep(2.0)
        self.standins.order_delay_s = 0.0
        await self._fail_until_second_primary(chosen)
        await self._write_until_promoted(chosen)
        self.assertEqual([], self.group.lost)

    async def test_a_repeated_order_takes_effect_later(self) -> None:
        """Guards against the effect of an order's copy after another one."""
        self.standins.order_delay_s = 1.5
        chosen = await self._order_promotion()
        self.standins.order_delay_s = 6.0
        await until(lambda: len(self.standins.orders) > 1, "a second order")
        ends_at = monotonic() + 7.0
        self.standins.order_delay_s = 0.0
        await until(lambda: chosen.is_primary, "the first order's effect")
        await sleep(0.5)
        await self._fail_until_second_primary(chosen)
        # It returns as a replica that receives nothing, if another one leads.
        chosen.is_primary = self.group.last_primary is chosen
        writing = create_task(self._write())
        await sleep(ends_at - monotonic())
        writing.cancel()
        self.assertEqual([], self.group.lost)

    async def test_a_member_joins_while_an_order_is_under_way(self) -> None:
        """Guards against commits that a member confirms as it joins."""
        chosen = await self._return_beside_order()
        primary = self.group.last_primary
        joined = LineMember("g1-m4", False)
        self.group.follow(joined, primary)
        self.group.member_by_name[joined.name] = joined
        self.group.wake()
        await self.standins.start_member(self.group, joined.name)
        self.standins.register(joined.name)
        await self._check_told(chosen)

    async def test_a_member_restarts_while_an_order_is_under_way(self) -> None:
        """Guards against commits that a member confirms after its pause."""
        chosen = await self._return_beside_order()
        primary = self.group.last_primary
        (replica,) = (
            member
            for member in self.group.member_by_name.values()
            if member not in (primary, chosen)
        )
        await self.standins.end_process(replica.name)
        self.group.resume(replica)
        await self.standins.start_process(replica.name)
        await sleep(0.2)
        self.standins.restart_cold(replica.name, 0.0)
        await self._check_told(chosen)

    async def _return_beside_order(self) -> LineMember:
        """Return the ordered member, the primary being back before it leads.

        Callers write, and no replica receives anything.
        """
        self.standins.order_delay_s = 6.0
        primary = self.group.last_primary
        primary.is_unresponsive = True
        await until(lambda: self.standins.orders, "an order")
        chosen = self.standins.find(self.standins.orders[0].member)
        chosen.is_cut_off = True
        primary.is_unresponsive = False
        self.writing = create_task(self._write())
        await sleep(3.5)
        return chosen

    async def _check_told(self, chosen: LineMember) -> None:
        """Check that the ordered member leads with all that was told."""
        await until(lambda: chosen.is_primary, "the ordered promotion")
        self.writing.cancel()
        kept = {v for e in chosen.log for v in e.writes.values()}
        self.assertEqual([], sorted(self.told - kept))

    async def _order_promotion(self) -> LineMember:
        """Let the primary leave; return the member ordered to replace it."""
        caller = await self.node.caller("own")
        await caller.run("WRITE a first")
        self.standins.register("g1-m1", state="draining")
        await until(lambda: self.standins.orders, "an order")
        return self.standins.find(self.standins.orders[0].member)

    async def _fail_until_second_primary(self, chosen: LineMember) -> None:
        """Make the chosen member silent for some time, and deaf after it."""
        chosen.is_unresponsive = chosen.is_cut_off = True
        await sleep(2.5)
        chosen.is_unresponsive = False

    async def _write_until_promoted(self, chosen: LineMember) -> None:
        """Write until the late order takes effect."""
        writing = create_task(self._write())
        try:
            await until(lambda: chosen.is_primary, "the ordered promotion")
        finally:
            writing.cancel()

    async def _write(self) -> None:
        number = 0
        while True:
            try:
                caller = await self.node.caller("own")
                while True:
                    number += 1
                    told = await caller.run(f"WRITE a {number}")
                    self.told |= {str(number)} if not told.code else set()
                    await sleep(0.02)
            except (AssertionError, IncompleteReadError, OSError):
                await sleep(0.1)
