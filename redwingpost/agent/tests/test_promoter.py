"""Tests of when agents order promotions, with stand-in members."""

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


def knows_primary(member, term):
    """Return a condition: the agent's view names this primary."""

    def check(agent):
        view = view_of(agent)
        return view is not None and view[1:3] == (term, f"{GROUP}-{member}")

    return check


class ObservedGroup:
    """A database group and the agents that observe it."""

    def __init__(self, net):
        self.fleet = TestFleet(FOUR, net)
        members = {
            f"{GROUP}-{letter}": Endpoint(
                f"127.{net}.{number + 100}.1", 0, f"dc-{number}"
            )
            for number, letter in enumerate("abc", start=1)
        }
        self.group = GroupStandin(GroupSettings(GROUP, members))

    async def start(self):
        await self.group.start()
        await self.fleet.submit(configuration(self.group), 0)
        await self.fleet.start()
        await self.fleet.until_all_known()
        await self.fleet.until(knows_primary("a", 1))

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

    async def wait_until_following(self, letter):
        """Wait until a member follows the primary."""
        for _ in range(600):
            if self.member(letter).term_state.is_following:
                return
            await sleep(0.05)
        raise AssertionError(f"{letter} follows no primary")


class PromoterTest(TestCase):
    @in_kj_loop
    async def test_dead_primary_is_replaced_once(self):
        # The primary fails while the platform's store is unavailable.
        # Callers can't write until another member is the primary. When
        # the old primary is back it must follow, and entries that only
        # it had are reported as diverged.
        observed = ObservedGroup(net=51)
        await observed.start()
        observed.fleet.platform.unavailable = True
        await observed.member("a").die()
        await observed.fleet.until(
            lambda agent: view_of(agent).term > 1
            and bool(view_of(agent).primary)
        )
        await observed.member("a").restart()
        await observed.wait_until_following("a")
        leaders = observed.leaders()
        self.assertEqual(len(leaders), 1)
        self.assertNotEqual(leaders[0][0], "a")
        await observed.stop()

    @in_kj_loop
    async def test_pause_of_300_ms_causes_no_promotion(self):
        # A primary pauses briefly, as during a live migration. A needless
        # promotion would stop all callers' writes for a second.
        observed = ObservedGroup(net=52)
        await observed.start()
        for _ in range(3):
            observed.member("a").pause()
            await sleep(0.3)
            observed.member("a").resume()
            await sleep(0.3)
        self.assertEqual(observed.leaders(), [("a", 1)])
        terms = {
            view_of(agent).term for agent in observed.fleet.agents.values()
        }
        self.assertEqual(terms, {1})
        await observed.stop()

    @in_kj_loop
    async def test_two_proposers_at_once(self):
        # Two agents propose at the same moment, regardless of rank. With
        # two primaries in one term callers would read different data.
        observed = ObservedGroup(net=53)
        await observed.start()
        await observed.member("a").die()
        agents = list(observed.fleet.agents.values())[:2]
        parts = [agent.parts_by_name["observer"] for agent in agents]
        await gather(
            *(
                part.promoter.promote_now(part.watches_by_group[GROUP])
                for part in parts
            )
        )
        await observed.fleet.until(
            lambda agent: view_of(agent).term > 1
            and bool(view_of(agent).primary)
        )
        self.assertEqual(len(observed.leaders()), 1)
        await observed.stop()

    @in_kj_loop
    async def test_claims_of_a_crashed_proposer_are_superseded(self):
        # An agent claims a term at every member and crashes. The members
        # answer, but accept no writes until another agent promotes one.
        observed = ObservedGroup(net=54)
        await observed.start()
        for letter in "abc":
            observed.member(letter).claim(2, "an-agent-that-died")
        await observed.fleet.until(
            lambda agent: view_of(agent).term > 2
            and bool(view_of(agent).primary)
        )
        self.assertEqual(len(observed.leaders()), 1)
        await observed.stop()

    @in_kj_loop
    async def test_draining_primary_is_replaced(self):
        # An operator drains the primary. It must not accept writes for
        # long, and no caller may lose a write in the takeover.
        observed = ObservedGroup(net=55)
        await observed.start()
        body = configuration(observed.group, [f"{GROUP}-a"])
        await observed.fleet.submit(body, 1)
        await observed.fleet.until(
            lambda agent: view_of(agent).primary not in ("", f"{GROUP}-a")
        )
        await observed.wait_until_following("a")
        self.assertEqual(len(observed.leaders()), 1)
        await observed.stop()

    @in_kj_loop
    async def test_primary_without_replicas_is_replaced(self):
        # The links between the primary and its replicas fail, while the
        # agents reach all three. No write can be confirmed any more, so
        # another primary is needed although this one answers.
        faults = install_link_faults("127.56.1.1")
        observed = ObservedGroup(net=56)
        await observed.start()
        primary = ip_network(observed.member("a").endpoint.ip)
        faults.set_rules(
            tuple(
                LinkRule(
                    ip_network(observed.member(name).endpoint.ip),
                    primary,
                    "cut",
                )
                for name in "bc"
            )
        )
        observed.member("a").replica.commit(LogEntry(1))
        await observed.fleet.until(
            lambda agent: view_of(agent).primary not in ("", f"{GROUP}-a")
        )
        await observed.stop()
        faults.uninstall()
