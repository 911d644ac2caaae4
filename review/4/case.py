"""A write that its caller was told is in doubt runs with old session values.

Fourteen nodes, so that statements are forwarded to a few homes. The home of
a caller's organisation stands still for 3.5 s while a write of that caller
is on its way to it.
"""

from asyncio import create_task, run, sleep
from os import environ
from pathlib import Path
from signal import SIGCONT, SIGSTOP
from sys import exit as sys_exit

from redwingpost.node.tests.line_site import configuration
from fleet_2 import NODES, choose_home_and_other, tenants
from site_2 import DeployedSite, NotingSite, Record

#: Exit code after which ``run.sh`` ends with 1. An exception ends with 1.
BROKEN = 10

#: Seconds for which the home stands still (``node_freeze``).
FREEZE_S = 3.5

#: Seconds after which what the home still had has reached a member.
SETTLE_S = 2.0


def _configuration() -> dict:
    value = configuration(1)
    value["tenants"] = tenants()
    return value


async def _play(record: Record, has_trouble: bool) -> int:
    standins = NotingSite(record)
    site = DeployedSite(standins)
    site.configuration = _configuration()
    try:
        await site.start(NODES)
        await sleep(3.0)
        home, entry = choose_home_and_other(site)
        record.note(f"the caller is at {entry.vm}, its home is {home.vm}")
        caller = await entry.caller("own", "key-1")

        async def send(request: str, text: str):
            record.note(f"sent: {request} {text!r}")
            answer = await caller.run_as(request, text)
            record.note(f"answered: {request} {answer.code or 'success'}")
            return answer

        answers = [
            await send("q1", "SET tone low"),
            await send("q2", "WRITE item-1 first"),
        ]
        if any(answer.code for answer in answers):
            return 2
        await sleep(0.3)
        if has_trouble:
            record.note(f"{home.vm} stands still for {FREEZE_S} s")
            home.process.send_signal(SIGSTOP)
        frozen_at = record.now()
        write = create_task(send("q3", "WRITE item-1 second"))
        write_answer = await write
        acknowledged = await send("q4", "SET tone high")
        acknowledged_at = record.now()
        if acknowledged.code:
            return 2
        await send("q5", "WRITE item-1 third")
        await sleep(max(0.0, frozen_at + FREEZE_S - record.now()))
        if has_trouble:
            home.process.send_signal(SIGCONT)
            record.note(f"{home.vm} goes on")
        await sleep(SETTLE_S)
        read = await send("q6", "READ item-1")
        record.note(f"q6 read {read.rows}")
        if has_trouble and write_answer.code != "INDOUBT":
            record.note("the write didn't reach the frozen home")
            return 2
        late = [
            item
            for item in standins.arrivals
            if item.request == "q3"
            and item.at > acknowledged_at
            and item.values != {"tone": "high"}
        ]
        for item in late:
            record.note(
                f"PINNED broken: q3 ran with {item.values}, "
                f"{item.at - acknowledged_at:.3f} s after "
                "'SET tone high' was acknowledged"
            )
        return BROKEN if late else 0
    finally:
        await site.stop()


def main() -> int:
    """Play the case; return the exit code."""
    record = Record(Path(__file__).with_name("record.txt"))
    code = run(_play(record, environ.get("TROUBLE") != "0"))
    record.note(f"exit code {code}")
    return code


if __name__ == "__main__":
    sys_exit(main())
