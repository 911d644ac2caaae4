"""A node is stopped while its requesters have transactions open.

Each of 24 requesters runs one transaction of 12 statements with pauses of
half a second between them, as on a day of planned restarts. One node gets
SIGTERM shortly after they began.
"""

import asyncio
import os
import signal
import time
from collections import namedtuple

from standins.site import BOUNDS, Caller, config, main

SERVICES = ("plancat-a", "plancat-b", "plancat-c")
TENANTS = {"diocese": ["u3f1"], "parish": ["u7aa"]}
SESSIONS = 24
STATEMENTS = 12
PAUSE_S = 0.5
WORK_S = 0.05
PERIOD_S = PAUSE_S + WORK_S
#: A request's time budget, and the timeout of its route.
BUDGET_S = 1.2
TIMEOUT_S = 1.0

Sent = namedtuple("Sent", "request text at_s ended_s outcome used_s")


async def transact(site, node, number, sent):
    """Run one transaction; add what was sent to ``sent``."""
    service = SERVICES[number % len(SERVICES)]
    key = ("u3f1", "u7aa")[number % 2]
    caller = await Caller.connect(node, f"{service}-read_your_writes", key)
    await asyncio.sleep(1 + number * PERIOD_S / SESSIONS)
    texts = ["BEGIN", f"WRITE k{number} v{number}"]
    texts += [f"READ k{item}" for item in range(STATEMENTS - 3)]
    used_s = 0.0
    for text in [*texts, "COMMIT"]:
        request = caller.new_id()
        at_s = time.monotonic()
        try:
            answer = await caller.run(text, request)
            outcome = answer.error or "complete"
        except (OSError, asyncio.IncompleteReadError) as error:
            outcome = f"no complete answer: {type(error).__name__}"
        ended_s = time.monotonic()
        used_s += ended_s - at_s
        sent.append(Sent(request, text, at_s, ended_s, outcome, used_s))
        site.record(f"session {number} {request} {text}: {outcome} "
                    f"after {ended_s - at_s:.3f} s")
        if outcome != "complete":
            break
        await asyncio.sleep(PAUSE_S)
    caller.close()


async def play(site, trouble):
    """Play the case; return how the rule was broken."""
    await site.start(SERVICES, 3, config(100, SERVICES, TENANTS), WORK_S)
    await asyncio.sleep(6)
    node = site.nodes[0]
    sent = []
    sessions = [
        asyncio.create_task(transact(site, node, number, sent))
        for number in range(SESSIONS)
    ]
    await asyncio.sleep(2.0)
    stopped_at = time.monotonic()
    if trouble:
        node.signal(signal.SIGTERM)
        await node.process.wait()
        site.record(f"ended node={node.name} with {node.process.returncode} "
                    f"after {time.monotonic() - stopped_at:.3f} s")
    await asyncio.gather(*sessions)
    return judge(site, sent, stopped_at)


def judge(site, sent, stopped_at):
    """Return how the rule LOST was broken."""
    grace_s = BOUNDS["graceS"]
    arrivals = {
        request: at_s
        for group in site.group_by_name.values()
        for member in group.member_by_id.values()
        for at_s, request in member.arrivals
    }
    broken = []
    for item in sent:
        if not item.outcome.startswith("no complete answer"):
            continue
        after_s = item.at_s - stopped_at
        if not 0 <= after_s <= grace_s + 1:
            continue
        was_passed_on = item.request in arrivals
        is_late = item.ended_s - item.at_s > BOUNDS["lossSlackMs"] / 1000
        if not was_passed_on and not is_late:
            continue
        if item.used_s >= BUDGET_S or item.ended_s - item.at_s >= TIMEOUT_S:
            continue
        is_in_last_sixth = item.ended_s - stopped_at >= grace_s * 5 / 6
        if after_s <= 3 and is_in_last_sixth:
            continue
        broken.append(
            f"{item.text} {item.request}, sent {after_s:.3f} s after SIGTERM,"
            f" passed on: {was_passed_on}, cut after "
            f"{item.ended_s - item.at_s:.3f} s"
        )
    return broken


# TROUBLE=0 plays the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

main(play, ".", "127.62.1", TROUBLE)
