"""A key passes from one tenant to another while a transaction is open.

A new config takes a key away from one tenant and adds it to another. A
requester with that key has a transaction open and goes on in it for longer
than the config needs to be in force everywhere.
"""

import asyncio
import os
import time

from standins.site import BOUNDS, Caller, config, main

SERVICE = "plancat"
KEY = "u3f1"
BEFORE = {"diocese": [KEY, "u5c0"], "parish": ["u7aa"]}
AFTER = {"diocese": ["u5c0"], "parish": ["u7aa", KEY]}
PAUSE_S = 1.0
STATEMENTS = 8


async def play(site, trouble):
    """Play the case; return how the rule was broken."""
    await site.start((SERVICE,), 3, config(100, (SERVICE,), BEFORE))
    group = site.group_by_name[SERVICE]
    await asyncio.sleep(5)
    caller = await Caller.connect(site.nodes[0], f"{SERVICE}-primary", KEY)
    sent_at = {}
    acked_at = float("inf")
    texts = ["BEGIN", "WRITE k1 v1"]
    texts += [f"READ k{number}" for number in range(STATEMENTS)]
    for number, text in enumerate([*texts, "COMMIT"]):
        request = caller.new_id()
        sent_at[request] = time.monotonic()
        answer = await caller.run(text, request)
        site.record(f"{request} {text}: {answer}")
        if answer.error:
            break
        if number == 2:
            # Without the disruption the same version leaves the key.
            tenants = AFTER if trouble else BEFORE
            acked_at = site.configure(config(105, (SERVICE,), tenants))
            site.record(f"the key {KEY} is held by "
                        f"{'parish' if trouble else 'diocese'}")
        await asyncio.sleep(PAUSE_S)
    caller.close()
    other = await Caller.connect(site.nodes[0], f"{SERVICE}-primary", KEY)
    site.record(f"another session with the key: {await other.run('READ k1')}")
    other.close()
    return judge(site, group, sent_at, acked_at, trouble)


def judge(site, group, sent_at, acked_at, trouble):
    """Return how the rule UNASKED was broken."""
    broken = []
    in_force_at = acked_at + BOUNDS["configApplyMs"] / 1000
    for run in group.runs:
        site.record(f"{run.member} ran {run.request} {run.text} "
                    f"for {run.tenant}")
        at_s = sent_at.get(run.request)
        if at_s is None or at_s <= in_force_at:
            continue
        holder = "parish" if trouble else "diocese"
        if run.tenant != holder:
            broken.append(
                f"{run.member} ran {run.request} {run.text} for {run.tenant},"
                f" sent {at_s - acked_at:.1f} s after the ack of the config "
                f"by which {holder} holds the key"
            )
    return broken


# TROUBLE=0 plays the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

main(play, ".", "127.64.1", TROUBLE)
