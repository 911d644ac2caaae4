"""Transactions that waited for a connection reach a member that has drained.

A replica of a small deployment announces that it leaves. More callers than
its connections can serve begin read transactions at that time. A node gives a
leaving member new work for six tenths of its drain time, but those that wait
for a connection by then are sent there until their own time has passed.
"""

from asyncio import create_task, gather, run, sleep
from os import environ
from pathlib import Path
from random import Random
from sys import exit as sys_exit

from redwingpost.node.tests.line_site import configuration
from site_2 import Arrival, DeployedSite, NotingSite, Record

NODES = 4
GROUPS = ("g1", "g2", "g3")
LEAVING = "g1-m2"

#: Exit code after which ``run.sh`` ends with 1. An exception ends with 1.
BROKEN = 10

#: ``drainMs`` of the deployment (seconds).
DRAIN_S = 7.0

#: Seconds between a member's check-ins.
BEAT_S = 1.2

#: ``timeoutMs`` of the route: within the callers' time budget of 5,000 ms.
TIMEOUT_MS = 4000

#: Callers a second in a busy time, and on ordinary days; seconds for which
#: they come, of which ``BEFORE_S`` before the announcement (``hot_tenant``).
MANY_PER_S = 130
FEW_PER_S = 30
BUSY_S = 6.5
BEFORE_S = 2.2

#: Reads of a transaction, at least and at most, and the caller's pause after
#: each (seconds).
READS = (2, 8)
PAUSES_S = (0.05, 0.4)


def _configuration() -> dict:
    value = configuration(1)
    for route in value["routes"]:
        if route["host"] == "stated":
            route["timeoutMs"] = TIMEOUT_MS
    value["services"] = [
        {"name": name, "maxConns": 32, "syncReplicas": 1} for name in GROUPS
    ]
    return value


class _QuietSite(NotingSite):
    """Stand-ins that note only what reaches the leaving member."""

    leaves_at: float | None = None

    def on_arrival(self, arrival: Arrival) -> None:
        """Note the first statement of a transaction."""
        is_begin = arrival.text.endswith("BEGIN READ")
        if is_begin and arrival.member == LEAVING:
            super().on_arrival(arrival)


async def _call(site: DeployedSite, number: int) -> None:
    """Run one transaction in a session of its own."""
    record = site.standins.record
    node = site.nodes[number % NODES]
    caller = await node.caller("stated", "key-1")
    random = Random(number)
    begin = f"c{number}"
    sent_at = record.now()
    await caller.run_as(begin, "BEGIN READ")
    code = ""
    for read in range(random.randint(*READS)):
        answer = await caller.run_as(f"{begin}-{read}", f"READ k{number}")
        if read == 0:
            record.note(
                f"{begin} sent at {sent_at:.3f}, first read answered: "
                f"{answer.code or 'success'}"
            )
        code = answer.code
        if code:
            break
        await sleep(random.uniform(*PAUSES_S))
    await caller.run_as(f"{begin}-end", "ROLLBACK" if code else "COMMIT")
    caller.close()


async def _let_callers_come(site: DeployedSite, per_s: int) -> None:
    """Let callers come one by one; wait for the last one's end."""
    calls = []
    for number in range(int(BUSY_S * per_s)):
        calls.append(create_task(_call(site, number)))
        await sleep(1.0 / per_s)
    await gather(*calls)


async def _check_in(standins: _QuietSite) -> None:
    """Let all members check in, each in its turn."""
    members = tuple(standins.server_by_member)
    while True:
        for member in members:
            is_leaving = member == LEAVING and standins.leaves_at is not None
            standins.report(member, is_draining=is_leaving)
            await sleep(BEAT_S / len(members))


async def _play(record: Record, has_trouble: bool) -> int:
    standins = _QuietSite(record)
    site = DeployedSite(standins, GROUPS)
    site.configuration = _configuration()
    beats = None
    try:
        await site.start(NODES)
        beats = create_task(_check_in(standins))
        await sleep(3.0)
        per_s = MANY_PER_S if has_trouble else FEW_PER_S
        calls = create_task(_let_callers_come(site, per_s))
        await sleep(BEFORE_S)
        standins.leaves_at = record.now()
        standins.report(LEAVING, is_draining=True)
        record.note(f"the store has accepted that {LEAVING} drains")
        await calls
        late = [
            item
            for item in standins.arrivals
            if item.member == LEAVING
            and item.text.endswith("BEGIN READ")
            and item.at > standins.leaves_at + DRAIN_S
        ]
        for item in late:
            record.note(
                f"DRAIN broken: {item.request} reached {LEAVING} "
                f"{item.at - standins.leaves_at:.3f} s after that"
            )
        return BROKEN if late else 0
    finally:
        if beats is not None:
            beats.cancel()
        await site.stop()


def main() -> int:
    """Play the case; return the exit code."""
    record = Record(Path(__file__).with_name("record.txt"))
    code = run(_play(record, environ.get("TROUBLE") != "0"))
    record.note(f"exit code {code}")
    return code


if __name__ == "__main__":
    sys_exit(main())
