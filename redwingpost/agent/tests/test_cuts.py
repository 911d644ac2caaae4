"""Tests of agents that are cut off from each other and from the store."""

from json import dumps
from unittest import TestCase

from redwingpost.adapters.link_rules import parse_rules
from redwingpost.adapters.links import LinkFaults, install_link_faults
from redwingpost.adapters.tests.test_peer import in_kj_loop
from redwingpost.agent.tests.fleet import TestFleet, state_of
from redwingpost.agent.tests.test_fleet import (
    BODY,
    FASTER,
    KEY,
    SIX,
    has_version,
    knows_withdrawal,
)
from redwingpost.configuration.tests.test_parse import GOOD

ALONE, OTHERS = "vm-6", ("vm-1", "vm-2", "vm-3", "vm-4", "vm-5")


def cut(faults: LinkFaults, fleet: TestFleet, pairs: list) -> None:
    """Cut dialling from each first VM of the pairs to the second."""
    rules = [
        {
            "from": f"{fleet.ips[first]}/32",
            "to": f"{fleet.ips[second]}/32",
            "kind": "cut",
        }
        for first, second in pairs
    ]
    faults.set_rules(parse_rules({"rules": rules}).ok)


async def start_six(net: int) -> tuple[TestFleet, LinkFaults]:
    """Start six agents that hold version 1 and are confirmed."""
    faults = install_link_faults(f"127.{net}.99.1")
    fleet = TestFleet(SIX, net=net)
    await fleet.submit(BODY, 0)
    await fleet.start()
    await fleet.until_met()
    await fleet.until(has_version(1))
    await fleet.until(lambda a: state_of(a).confirmed_age_s() < 5.0)
    return fleet, faults


def both_ways(first: str, others: tuple[str, ...]) -> list:
    """Return the pairs that separate one VM from others."""
    out = [(first, other) for other in others]
    return out + [(other, first) for other in others]


class CutTest(TestCase):
    @in_kj_loop
    async def test_a_data_centre_cut_off_from_everyone(self):
        # The only VM of a data centre loses its links to all others and
        # to the store. It goes on with what it has; it can't hear of a
        # withdrawal, and knows that: its keys go unconfirmed, while the
        # others' stay confirmed. Once the links are back it catches up.
        fleet, faults = await start_six(net=48)
        cut(faults, fleet, both_ways(ALONE, OTHERS))
        fleet.links[ALONE].is_cut = True
        alone = state_of(fleet.agents[ALONE])
        await fleet.withdraw("vm-1", KEY)
        rest = {vm: fleet.agents[vm] for vm in OTHERS}
        everyone, fleet.agents = fleet.agents, rest
        await fleet.until(knows_withdrawal)
        await fleet.submit(FASTER, 1)
        await fleet.until(has_version(2))
        while alone.confirmed_age_s() < 4.0:
            await fleet.pause()
        await fleet.until(lambda a: state_of(a).confirmed_age_s() < 4.0)
        self.assertEqual(alone.configuration.version, 1)
        self.assertNotIn(KEY, alone.configuration.withdrawn)
        fleet.agents = everyone
        faults.set_rules(())
        fleet.links[ALONE].is_cut = False
        await fleet.until(knows_withdrawal)
        await fleet.until(lambda a: state_of(a).configuration.version >= 2)
        await fleet.until(lambda a: state_of(a).confirmed_age_s() < 4.0)
        await fleet.stop()
        faults.uninstall()

    @in_kj_loop
    async def test_a_vm_that_can_be_reached_but_reaches_nobody(self):
        # A rule of a firewall went wrong: the VM can't dial anyone and
        # has no store, but can be dialled. News must reach it by the
        # others' calls, and it must not count as gone.
        fleet, faults = await start_six(net=49)
        cut(faults, fleet, [(ALONE, other) for other in OTHERS])
        fleet.links[ALONE].is_cut = True
        await fleet.withdraw("vm-1", KEY)
        await fleet.until(knows_withdrawal)
        await fleet.submit(FASTER, 1)
        await fleet.until(lambda a: state_of(a).configuration.version >= 2)
        first = state_of(fleet.agents["vm-1"])
        self.assertFalse(first.members.by_vm[ALONE].beat.gone)
        await fleet.stop()
        faults.uninstall()

    @in_kj_loop
    async def test_a_data_centre_cut_off_from_the_store_alone(self):
        # The store can't be reached from one data centre. Versions come
        # through the relays of the others, and keys stay confirmed.
        fleet, faults = await start_six(net=50)
        fleet.links[ALONE].is_cut = True
        await fleet.submit(FASTER, 1)
        await fleet.until(has_version(2))
        await fleet.until(lambda a: state_of(a).confirmed_age_s() < 4.0)
        await fleet.stop()
        faults.uninstall()


class AllReplacedTest(TestCase):
    @in_kj_loop
    async def test_with_the_store_up(self):
        # All VMs are replaced at once. Nothing of the system is left
        # but what stands in the store, and that is enough.
        fleet = TestFleet(SIX, net=51)
        await fleet.submit(dumps(GOOD).encode(), 0)
        await fleet.start()
        await fleet.until(has_version(1))
        await fleet.stop()
        await fleet.start()
        await fleet.until(has_version(1))
        await fleet.stop()

    @in_kj_loop
    async def test_with_the_store_away(self):
        # The same during an outage: nobody has a configuration. The VMs
        # stay unready, so that the balancer sends nobody, and serve by
        # themselves as soon as the store is back.
        fleet = TestFleet(SIX, net=52)
        await fleet.submit(BODY, 0)
        fleet.platform.away = True
        await fleet.start()
        await fleet.until_met()
        self.assertFalse(any(a.ready for a in fleet.agents.values()))
        fleet.platform.away = False
        await fleet.until(lambda agent: agent.ready)
        await fleet.stop()
