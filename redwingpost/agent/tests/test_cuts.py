"""Tests of agents during partitions from each other and from the store."""

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

ISOLATED, OTHERS = "vm-6", ("vm-1", "vm-2", "vm-3", "vm-4", "vm-5")


def cut(faults: LinkFaults, fleet: TestFleet, pairs: list) -> None:
    """Cut connections that each pair's first VM dials to the second."""
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
    """Start six agents with version 1 and confirmed keys."""
    faults = install_link_faults(f"127.{net}.99.1")
    fleet = TestFleet(SIX, net=net)
    await fleet.submit(BODY, 0)
    await fleet.start()
    await fleet.until_all_known()
    await fleet.until(has_version(1))
    await fleet.until(lambda a: state_of(a).confirmed_age_s() < 5.0)
    return fleet, faults


def both_ways(first: str, others: tuple[str, ...]) -> list:
    """Return the pairs that separate one VM from others."""
    out = [(first, other) for other in others]
    return out + [(other, first) for other in others]


class CutTest(TestCase):
    @in_kj_loop
    async def test_an_isolated_data_centre(self):
        # The only VM of a data centre loses its links to all others and
        # to the store. It continues with its last state. It can't receive
        # a withdrawal, so its keys must become unconfirmed while those of
        # the other VMs stay confirmed. Once the links are back it catches
        # up.
        fleet, faults = await start_six(net=48)
        cut(faults, fleet, both_ways(ISOLATED, OTHERS))
        fleet.links[ISOLATED].is_cut = True
        isolated = state_of(fleet.agents[ISOLATED])
        await fleet.withdraw("vm-1", KEY)
        rest = {vm: fleet.agents[vm] for vm in OTHERS}
        everyone, fleet.agents = fleet.agents, rest
        await fleet.until(knows_withdrawal)
        await fleet.submit(FASTER, 1)
        await fleet.until(has_version(2))
        while isolated.confirmed_age_s() < 4.0:
            await fleet.pause()
        await fleet.until(lambda a: state_of(a).confirmed_age_s() < 4.0)
        self.assertEqual(isolated.configuration.version, 1)
        self.assertNotIn(KEY, isolated.configuration.withdrawn)
        fleet.agents = everyone
        faults.set_rules(())
        fleet.links[ISOLATED].is_cut = False
        await fleet.until(knows_withdrawal)
        await fleet.until(lambda a: state_of(a).configuration.version >= 2)
        await fleet.until(lambda a: state_of(a).confirmed_age_s() < 4.0)
        await fleet.stop()
        faults.uninstall()

    @in_kj_loop
    async def test_a_vm_with_inbound_connections_only(self):
        # With a wrong firewall rule the VM can't dial other VMs or the
        # store, but can be dialled. News must reach it through the calls
        # of other VMs, and it must not be marked gone.
        fleet, faults = await start_six(net=49)
        cut(faults, fleet, [(ISOLATED, other) for other in OTHERS])
        fleet.links[ISOLATED].is_cut = True
        await fleet.withdraw("vm-1", KEY)
        await fleet.until(knows_withdrawal)
        await fleet.submit(FASTER, 1)
        await fleet.until(lambda a: state_of(a).configuration.version >= 2)
        first = state_of(fleet.agents["vm-1"])
        self.assertFalse(first.members.by_vm[ISOLATED].beat.gone)
        await fleet.stop()
        faults.uninstall()

    @in_kj_loop
    async def test_a_data_centre_cut_off_from_the_store_alone(self):
        # The store is unreachable from one data centre. Versions must
        # arrive through the relays of the others, and keys must stay
        # confirmed.
        fleet, faults = await start_six(net=50)
        fleet.links[ISOLATED].is_cut = True
        await fleet.submit(FASTER, 1)
        await fleet.until(has_version(2))
        await fleet.until(lambda a: state_of(a).confirmed_age_s() < 4.0)
        await fleet.stop()
        faults.uninstall()


class AllReplacedTest(TestCase):
    @in_kj_loop
    async def test_while_the_store_is_available(self):
        # All VMs are replaced at once. Only the store's contents are
        # left, from which the new VMs must recover.
        fleet = TestFleet(SIX, net=51)
        await fleet.submit(dumps(GOOD).encode(), 0)
        await fleet.start()
        await fleet.until(has_version(1))
        await fleet.stop()
        await fleet.start()
        await fleet.until(has_version(1))
        await fleet.stop()

    @in_kj_loop
    async def test_during_a_store_outage(self):
        # All VMs are replaced during an outage of the store, so none has
        # a configuration. They must stay unready, so that the balancer
        # sends them no callers, and become ready once the store is back.
        fleet = TestFleet(SIX, net=52)
        await fleet.submit(BODY, 0)
        fleet.platform.unavailable = True
        await fleet.start()
        await fleet.until_all_known()
        self.assertFalse(any(a.ready for a in fleet.agents.values()))
        fleet.platform.unavailable = False
        await fleet.until(lambda agent: agent.ready)
        await fleet.stop()
