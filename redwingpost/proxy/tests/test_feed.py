"""Tests of the feed that a proxy polls from its agent."""

from json import dumps
from unittest import TestCase

from redwingpost.adapters.peer import PeerAddress, PeerClients
from redwingpost.adapters.tests.test_peer import in_kj_loop
from redwingpost.adapters.tls import TlsContexts
from redwingpost.agent.state import BaseShare
from redwingpost.agent.tests.fleet import TestFleet, state_of
from redwingpost.configuration.keys import KeyRing
from redwingpost.configuration.model import Withdrawal
from redwingpost.configuration.tests.test_parse import GOOD
from redwingpost.core import Code, GroupView, Position
from redwingpost.ports import MonotonicClock
from redwingpost.proxy.directory import Directory
from redwingpost.proxy.feed import AgentFeed

PUNO, FIRST = "diocese-puno", "a" * 40
VIEW = GroupView("catalogue-1", 3, "catalogue-1-a", (Position(3, 9),))


class ProxySide:
    """An agent feed with the objects that it updates."""

    def __init__(self, fleet: TestFleet) -> None:
        agent = fleet.agents["vm-1"]
        ip, port = agent.settings.vm.ip, agent.server.port
        self.clock = MonotonicClock()
        self.clients = PeerClients("", TlsContexts(None))
        self.directory = Directory()
        self.keys = KeyRing(confirmation_s=600.0)
        self.feed = AgentFeed(
            PeerAddress(ip, port),
            self.clients,
            self.directory,
            self.keys,
            self.clock,
        )
        self.withdrawn, self.shares, self.drained = [], [], []
        self.feed.on_withdrawn = self.withdrawn.extend
        self.feed.on_shares = self.shares.append
        self.feed.on_drain = lambda: self.drained.append(True)

    def check(self):
        """Return the code that PUNO's first key is refused with."""
        refusal = self.keys.check(PUNO, FIRST, self.clock.now())
        return refusal and refusal.code


class AgentFeedTest(TestCase):
    @in_kj_loop
    async def test_a_poll_applies_all_changes(self):
        fleet = TestFleet({"vm-1": "dc-1"}, net=45)
        await fleet.submit(dumps(GOOD).encode(), 0)
        await fleet.start()
        await fleet.until(lambda a: state_of(a).configuration.version == 1)
        await fleet.until(lambda a: state_of(a).confirmed_age_s() < 60)
        proxy = ProxySide(fleet)
        self.assertEqual(proxy.check(), Code.STARTING)
        self.assertTrue(await proxy.feed.poll(0.0))
        self.assertIsNone(proxy.check())
        self.assertEqual(proxy.directory.version, 1)
        state = state_of(fleet.agents["vm-1"])
        state.observe_views([VIEW])
        state.set_shares((BaseShare(PUNO, 500_000, 7, 1e12),))
        state.drain()
        await proxy.feed.poll(0.0)
        self.assertEqual(proxy.directory.view("catalogue-1"), VIEW)
        self.assertEqual(proxy.shares[-1][0].parts_per_million, 500_000)
        self.assertEqual(proxy.drained, [True])
        await fleet.withdraw("vm-1", Withdrawal(PUNO, FIRST))
        await proxy.feed.poll(0.0)
        self.assertEqual(proxy.check(), Code.KEY_WITHDRAWN)
        self.assertIn(Withdrawal(PUNO, FIRST), proxy.withdrawn)
        proxy.clients.close()
        await fleet.stop()

    @in_kj_loop
    async def test_an_agent_without_data_replaces_nothing(self):
        # The agent restarts while the store is unavailable and all peers
        # are down, so it has no configuration. The proxy must keep its own
        # instead of refusing its callers.
        fleet = TestFleet({"vm-1": "dc-1"}, net=46)
        await fleet.submit(dumps(GOOD).encode(), 0)
        await fleet.start()
        await fleet.until(lambda a: state_of(a).configuration.version == 1)
        await fleet.until(lambda a: state_of(a).confirmed_age_s() < 60)
        proxy = ProxySide(fleet)
        await proxy.feed.poll(0.0)
        await fleet.stop("vm-1")
        self.assertFalse(await proxy.feed.poll(0.0))
        fleet.platform.unavailable = True
        empty = await fleet.start_one("vm-1")
        proxy.feed._agent = PeerAddress(
            empty.settings.vm.ip, empty.server.port
        )
        self.assertTrue(await proxy.feed.poll(0.0))
        self.assertEqual(proxy.directory.version, 1)
        self.assertIsNone(proxy.check())
        proxy.clients.close()
        await fleet.stop()
