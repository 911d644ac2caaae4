"""Agents order promotions, and don't, over real stand-ins."""

from asyncio import gather, sleep
from ipaddress import ip_network
from json import dumps
from unittest import TestCase

from redwingpost.adapters.link_rules import LinkRule
from redwingpost.adapters.links import install_link_faults
from redwingpost.adapters.tests.test_peer import in_kj_loop
from redwingpost.agent.tests.fleet import TestFleet, state_of
from redwingpost.configuration.keys import hash_key
from redwingpost.standin import Endpoint, GroupSettings, GroupStandin
from redwingpost.standin.replication_log import LogEntry

GROUP = "catalogue-1"
FOUR = {"vm-1": "dc-1", "vm-2": "dc-2", "vm-3": "dc-3", "vm-4": "dc-4"}


def configuration(group, draining=()):
    """Return a configuration's body for a running group."""
    members = {
        name: {
            "data_centre": member.endpoint.data_centre,
            "ip": member.endpoint.ip,
            "port": member.port,
        }
        for name, member in group.members_by_name.items()
    }
    organisation = {
        "keys": [{"name": "first", "hash": hash_key("a-key")}],
        "rate": 10.0,
        "burst": 10.0,
        "groups": [GROUP],
    }
    body = {
        "site": "small",
        "organisations": {"diocese-puno": organisation},
        "groups": {GROUP: {"connections": 32, "members": members}},
        "draining_members": list(draining),
    }
    return dumps(body).encode()


def view_of(agent):
    """Return an agent's view of the group."""
    return state_of(agent).views.by_group.get(GROUP)


def sees_primary(member, term):
    """Return a check that an agent knows who leads."""

    def check(agent):
        view = view_of(agent)
        return view is not None and view[1:3] == (term, f"{GROUP}-{member}")

    return check


class Site:
    """A group and the agents that watch it."""

    def __init__(self, net):
        self.fleet = TestFleet(FOUR, net)
        members = {
            f"{GROUP}-{letter}": Endpoint(
                f"127.{net}.{place + 100}.1", 0, f"dc-{place}"
            )
            for place, letter in enumerate("abc", start=1)
        }
        self.group = GroupStandin(GroupSettings(GROUP, members))

    async def start(self):
        await self.group.start()
        await self.fleet.submit(configuration(self.group), 0)
        await self.fleet.start()
        await self.fleet.until_met()
        await self.fleet.until(sees_primary("a", 1))

    async def stop(self):
        await self.fleet.stop()
        await self.group.stop()

    def member(self, letter):
        return self.group.members_by_name[f"{GROUP}-{letter}"]

    def leaders(self):
        return [
            (member.name[-1], member.term_state.primary_term)
            for member in self.group.members_by_name.values()
            if member.is_alive and member.term_state.is_primary
        ]

    async def settle(self, letter):
        """Wait until a member follows whoever leads."""
        for _ in range(600):
            if self.member(letter).term_state.is_following:
                return
            await sleep(0.05)
        raise AssertionError(f"{letter} follows nobody")


class PromoterTest(TestCase):
    @in_kj_loop
    async def test_dead_primary_is_replaced_once(self):
        # The primary's machine fails while the platform's store is
        # away. Callers can't write until another member leads. When the
        # old primary is back it follows; what only it held is reported.
        site = Site(net=51)
        await site.start()
        site.fleet.platform.away = True
        await site.member("a").die()
        await site.fleet.until(
            lambda agent: view_of(agent).term > 1
            and bool(view_of(agent).primary)
        )
        await site.member("a").restart()
        await site.settle("a")
        leaders = site.leaders()
        self.assertEqual(len(leaders), 1)
        self.assertNotEqual(leaders[0][0], "a")
        await site.stop()

    @in_kj_loop
    async def test_pause_of_300_ms_orders_nothing(self):
        # A primary stands still for a moment, as a VM does when it is
        # moved. A promotion would cost all callers a second of writes.
        site = Site(net=52)
        await site.start()
        for _ in range(3):
            site.member("a").pause()
            await sleep(0.3)
            site.member("a").resume()
            await sleep(0.3)
        self.assertEqual(site.leaders(), [("a", 1)])
        terms = {view_of(agent).term for agent in site.fleet.agents.values()}
        self.assertEqual(terms, {1})
        await site.stop()

    @in_kj_loop
    async def test_two_proposers_at_once(self):
        # Two agents propose in the same moment, whatever their ranks.
        # With two primaries of one term callers would read two truths.
        site = Site(net=53)
        await site.start()
        await site.member("a").die()
        agents = list(site.fleet.agents.values())[:2]
        parts = [agent.parts_by_name["observer"] for agent in agents]
        await gather(
            *(
                part.promoter.promote_now(part.watches_by_group[GROUP])
                for part in parts
            )
        )
        await site.fleet.until(
            lambda agent: view_of(agent).term > 1
            and bool(view_of(agent).primary)
        )
        self.assertEqual(len(site.leaders()), 1)
        await site.stop()

    @in_kj_loop
    async def test_dead_proposer_leaves_no_group_behind(self):
        # An agent claims a term at every member and dies. The group
        # answers, but takes no writes until another agent notices.
        site = Site(net=54)
        await site.start()
        for letter in "abc":
            site.member(letter).claim(2, "an-agent-that-died")
        await site.fleet.until(
            lambda agent: view_of(agent).term > 2
            and bool(view_of(agent).primary)
        )
        self.assertEqual(len(site.leaders()), 1)
        await site.stop()

    @in_kj_loop
    async def test_leaving_primary_hands_over(self):
        # An operator drains the primary. It must not take writes for
        # long, and no caller may lose one in the hand-over.
        site = Site(net=55)
        await site.start()
        body = configuration(site.group, [f"{GROUP}-a"])
        await site.fleet.submit(body, 1)
        await site.fleet.until(
            lambda agent: view_of(agent).primary not in ("", f"{GROUP}-a")
        )
        await site.settle("a")
        self.assertEqual(len(site.leaders()), 1)
        await site.stop()

    @in_kj_loop
    async def test_primary_without_replicas_is_replaced(self):
        # The links between the primary and its replicas fail; agents
        # reach all three. No write can be confirmed any more, so the
        # group needs another primary although this one answers.
        faults = install_link_faults("127.56.1.1")
        site = Site(net=56)
        await site.start()
        primary = ip_network(site.member("a").endpoint.ip)
        faults.set_rules(
            tuple(
                LinkRule(
                    ip_network(site.member(name).endpoint.ip), primary, "cut"
                )
                for name in "bc"
            )
        )
        site.member("a").replica.commit(LogEntry(1))
        await site.fleet.until(
            lambda agent: view_of(agent).primary not in ("", f"{GROUP}-a")
        )
        await site.stop()
        faults.uninstall()
