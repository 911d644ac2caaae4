"""Tests of several agents: dissemination, outages, replaced VMs."""

from json import dumps
from unittest import TestCase

from redwingpost.adapters.tests.test_peer import in_kj_loop
from redwingpost.agent.tests.fleet import TestFleet, state_of
from redwingpost.configuration.model import Withdrawal
from redwingpost.configuration.tests.test_parse import GOOD, PUNO, with_change

BODY = dumps(GOOD).encode()
FASTER = with_change(PUNO + ("rate",), 240.0)
KEY = Withdrawal("diocese-puno", "a" * 40)
SIX = {
    "vm-1": "dc-1",
    "vm-2": "dc-1",
    "vm-3": "dc-2",
    "vm-4": "dc-2",
    "vm-5": "dc-3",
    "vm-6": "dc-4",
}


def has_version(number):
    """Return a condition: the agent's configuration has this version."""
    return lambda agent: state_of(agent).configuration.version == number


def knows_withdrawal(agent):
    """Return whether an agent knows that KEY is withdrawn."""
    return KEY in state_of(agent).configuration.withdrawn


class FleetTest(TestCase):
    @in_kj_loop
    async def test_a_version_reaches_all_agents(self):
        # The operator's tool writes a version to the store and crashes
        # before it notifies an agent. Relays must find it by polling.
        fleet = TestFleet(SIX, net=41)
        await fleet.start()
        await fleet.until_all_known()
        await fleet.submit(BODY, 0)
        await fleet.until(has_version(1))
        relays = [vm for vm, a in fleet.agents.items() if state_of(a).is_relay]
        centres = sorted(SIX[vm] for vm in relays)
        self.assertEqual(centres, ["dc-1", "dc-2", "dc-3", "dc-4"])
        await fleet.stop()

    @in_kj_loop
    async def test_withdrawal_and_replaced_vm_in_a_store_outage(self):
        # During an outage of the store an operator withdraws a key and a
        # VM is replaced. The withdrawal must reach all agents, the new VM
        # must get configuration and withdrawal from a peer, and the
        # withdrawal must be recorded once the store is back.
        fleet = TestFleet(SIX, net=42)
        await fleet.submit(BODY, 0)
        await fleet.start()
        await fleet.until_all_known()
        await fleet.until(has_version(1))
        fleet.platform.unavailable = True
        await fleet.withdraw("vm-6", KEY)
        await fleet.until(knows_withdrawal)
        await fleet.stop("vm-3")
        await fleet.start("vm-3")
        await fleet.until(has_version(1))
        await fleet.until(knows_withdrawal)
        fleet.platform.unavailable = False
        await fleet.until(has_version(2))
        await fleet.stop()

    @in_kj_loop
    async def test_a_relay_is_killed(self):
        # The process of a relay is killed. The other VM of its data
        # centre must take over the role and get new versions.
        fleet = TestFleet(SIX, net=43)
        await fleet.start("vm-1", "vm-2", "vm-5")
        await fleet.until_all_known()
        await fleet.submit(BODY, 0)
        await fleet.until(has_version(1))
        relay = next(
            vm
            for vm in ("vm-1", "vm-2")
            if state_of(fleet.agents[vm]).is_relay
        )
        await fleet.kill(relay)
        await fleet.submit(FASTER, 1)
        await fleet.until(has_version(2))
        await fleet.until(
            lambda agent: SIX[agent.settings.vm.name] != "dc-1"
            or state_of(agent).is_relay
        )
        await fleet.stop()


class FeedTest(TestCase):
    @in_kj_loop
    async def test_feed_contains_only_changes(self):
        fleet = TestFleet({"vm-1": "dc-1"}, net=44)
        await fleet.submit(BODY, 0)
        await fleet.start()
        await fleet.until(has_version(1))

        async def poll(revision):
            answer = await fleet.call(
                "vm-1",
                lambda n: n.local().local.feed(revision=revision, waitMs=0),
            )
            return answer.feed

        first = await poll(0)
        self.assertEqual(first.configuration.version, 1)
        self.assertEqual(first.withdrawals[0].keyHash, "c" * 40)
        again = await poll(first.revision)
        self.assertFalse(again._has("configuration"))
        self.assertFalse(again._has("withdrawals"))
        await fleet.withdraw("vm-1", KEY)
        after = await poll(first.revision)
        self.assertFalse(after._has("configuration"))
        self.assertEqual(len(after.withdrawals), 2)
        foreign = await poll(first.revision + 10**12)
        self.assertEqual(foreign.configuration.version, 1)
        await fleet.stop()
