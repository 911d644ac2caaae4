"""A transaction doesn't see the commit that its own session has just made.

Fourteen nodes, so that statements are forwarded to a few homes. A primary is
cut off from some nodes, among them all homes of its group but one, and
replaced. A session writes through its first home, at the new primary. That
home is stopped as planned, and the session's next transaction begins at the
home that still reaches the old primary and hasn't heard of the new one.
"""

from asyncio import (
    CancelledError,
    Event,
    create_task,
    gather,
    run,
    sleep,
    to_thread,
)
from operator import attrgetter
from os import environ
from pathlib import Path
from random import Random
from signal import SIGTERM
from sys import exit as sys_exit

from redwingpost.bench.connections import find_processes
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.node.tests.line_site import configuration
from redwingpost.routing.homes import (
    choose_ranked_homes,
    count_homes,
    order_homes,
    rank_for_homes,
)
from redwingpost.standin.lines.unreliable import OrderFate, UnreliableSite
from fleet_2 import CONNECTIONS, NODES, SLOTS, TENANTS
from site_2 import DeployedSite, Record

#: Exit code after which ``run.sh`` ends with 1. An exception ends with 1.
BROKEN = 10

#: Part of the nodes from which the primary is cut off (``primary_cut``).
CUT_SHARE = 0.45

#: Seconds from an order to the new primary (the deployment's promote).
PROMOTE_S = 1.0

#: Sessions, and seconds between their writes, the first of which is sent
#: this long after the new primary leads.
SESSIONS = 60
WRITE_EVERY_S = 0.004
WRITE_AFTER_S = 0.02

#: Seconds for which another tenant's callers write after the cut.
OTHERS_WRITE_S = 1.0

#: Seconds between steps of replication, and within which all is over.
REPLICATE_S = 0.01
OVER_S = 12.0


class _Site(UnreliableSite):
    """The platform; its promotion service does what it is asked."""

    def _draw_fate(self) -> OrderFate:
        return OrderFate(0, 0.0, PROMOTE_S, 0.0, False, False)


class _Play:
    def __init__(self, record: Record, has_trouble: bool) -> None:
        self.record = record
        self.has_trouble = has_trouble

        async def find_vm(port: int) -> str:
            vms = self._vm_by_process()
            found = await to_thread(find_processes, (port,), tuple(vms))
            return vms.get(found.get(port), "")

        self.standins = _Site(Random(1), find_vm)
        self.standins.late_share = 0.0
        self.site = DeployedSite(self.standins)
        self.standins.record = record
        self.acknowledged = Event()
        self.stale = 0

    def _vm_by_process(self) -> dict[int, str]:
        return {node.process.pid: node.vm for node in self.site.nodes}

    def _choose(self) -> tuple[str, list[str], str]:
        """Return a tenant, its homes, and a tenant of the second home.

        The first home conducts takeovers.
        """
        nodes = self.site.nodes
        addresses = [VmAddress(n.vm, n.ip, 1, "dc-a", 1.0) for n in nodes]
        homes = choose_ranked_homes(
            iter(rank_for_homes("g1", addresses, attrgetter("capacity"))),
            {"dc-a"},
            count_homes(CONNECTIONS, SLOTS, TENANTS),
        )
        names = {home.vm for home in homes}
        vms = sorted(node.vm for node in nodes)
        first = -sum(b"g1") % len(vms)
        conducting = next(
            vm for vm in vms[first:] + vms[:first] if vm in names
        )
        orders = {
            f"tenant-{number}": [
                home.vm for home in order_homes("g1", f"tenant-{number}", homes)
            ]
            for number in range(1000)
        }
        tenant = next(n for n, vms in orders.items() if vms[0] == conducting)
        second = orders[tenant][1]
        other = next(n for n, vms in orders.items() if vms[0] == second)
        return tenant, orders[tenant], other

    async def _replicate(self) -> None:
        """Let members replicate, and report their roles when they change."""
        group = self.standins.group_by_name["g1"]
        known: dict[str, bool] = {}
        while True:
            group.replicate()
            for name, member in group.member_by_name.items():
                if known.get(name, member.is_primary) != member.is_primary:
                    self.standins.report(name)
                known[name] = member.is_primary
            await sleep(REPLICATE_S)

    async def _use_session(self, number: int, caller) -> None:
        """Write, begin a transaction, and read what was written."""
        note, item = self.record.note, f"item-{number}"
        await sleep(number * WRITE_EVERY_S)
        written = await caller.run_as(f"s{number}-w", f"WRITE {item} new")
        note(f"s{number}: WRITE {item} new: {written.code or 'success'}")
        if written.code:
            return
        self.acknowledged.set()
        await caller.run_as(f"s{number}-b", "BEGIN")
        read = await caller.run_as(f"s{number}-r", f"READ {item}")
        note(f"s{number}: BEGIN, READ {item}: {read.code or read.rows}")
        if not read.code and read.rows != ("new",):
            self.stale += 1
            note(f"STALE broken: s{number} read {read.rows}")

    async def _write_until(self, caller, until: float) -> None:
        """Write every tenth of a second, as another tenant."""
        number = 0
        while self.record.now() < until:
            number += 1
            await caller.run_as(f"o{number}", "WRITE other new")
            await sleep(0.1)

    async def run(self) -> int:
        """Play the case."""
        value = configuration(1)
        site, standins, note = self.site, self.standins, self.record.note
        tasks = []
        try:
            site.configuration = value
            await site.start(NODES)
            tasks.append(create_task(self._replicate()))
            tenant, homes, other = self._choose()
            value = configuration(2)
            value["tenants"] = [
                {
                    "name": tenant,
                    "apiKeys": ["key-t"],
                    "ratePerS": 500,
                    "burst": 500,
                },
                {
                    "name": other,
                    "apiKeys": ["key-o"],
                    "ratePerS": 500,
                    "burst": 500,
                },
                *(
                    {
                        "name": f"other-{number}",
                        "apiKeys": [f"key-{number}"],
                        "ratePerS": 100,
                        "burst": 100,
                    }
                    for number in range(TENANTS - 2)
                ),
            ]
            standins.configure(value)
            await sleep(3.0)
            note(f"homes of {tenant}: {homes}")
            entry = next(n for n in site.nodes if n.vm not in homes)
            callers = [
                await entry.caller("own", "key-t") for _ in range(SESSIONS)
            ]
            for number, caller in enumerate(callers):
                await caller.run_as(f"s{number}-0", f"WRITE item-{number} old")
            group = standins.group_by_name["g1"]
            promoted = Event()
            group.on_promotion.append(lambda _: promoted.set())
            cut = [homes[0], *homes[2:]]
            others = [
                n.vm
                for n in site.nodes
                if n.vm not in homes and n is not entry
            ]
            cut += others[: int(NODES * CUT_SHARE) - len(cut)]
            if not self.has_trouble:
                promoted.set()
            else:
                primary = group.last_primary.name
                standins.server_by_member[primary].hidden_from.update(cut)
                note(f"{primary} is cut off from {cut}")
            writer = await entry.caller("own", "key-o")
            until = self.record.now() + OTHERS_WRITE_S
            tasks.append(create_task(self._write_until(writer, until)))
            for _ in range(int(OVER_S * 100)):
                if promoted.is_set():
                    break
                await sleep(0.01)
            else:
                return 2
            note(f"{group.last_primary.name} leads")
            await sleep(WRITE_AFTER_S)
            uses = [
                create_task(self._use_session(number, caller))
                for number, caller in enumerate(callers)
            ]
            tasks += uses
            await self.acknowledged.wait()
            note(f"{homes[0]} is stopped (SIGTERM)")
            site.find(homes[0]).process.send_signal(SIGTERM)
            await gather(*uses)
            return BROKEN if self.stale else 0
        finally:
            for task in tasks:
                task.cancel()
            await site.stop()


def main() -> int:
    """Play the case; return the exit code."""
    record = Record(Path(__file__).with_name("record.txt"))
    play = _Play(record, environ.get("TROUBLE") != "0")
    try:
        code = run(play.run())
    except CancelledError:
        code = 2
    record.note(f"exit code {code}")
    return code


if __name__ == "__main__":
    sys_exit(main())
