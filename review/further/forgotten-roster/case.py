"""A restore of the store forgets that a group got a member.

A member of a service is replaced: the new one starts first. A drill restores
the store from a copy that is some seconds old. Then the primary and the new
member are cut off from the store, from the other members and from all nodes
but one, whose requesters write on.
"""

import asyncio
import os
import time

from standins.site import Caller, ZONES, config, main

SERVICE = "plancat"
AWAY_S = 0.5
TENANTS = {"diocese": ["u3f1"], "parish": ["u7aa"]}


async def write(site, node, told):
    """Write ten times a second through one node."""
    number = 0
    while True:
        await asyncio.sleep(0.1)
        number += 1
        try:
            caller = await Caller.connect(node, f"{SERVICE}-primary", "u3f1")
            answer = await caller.run(f"WRITE k{number} v{number}")
            caller.close()
            outcome = answer.error or "acknowledged"
            if not answer.error:
                told.add(f"k{number}")
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            outcome = f"{type(error).__name__} {error}"
        site.record(f"write k{number} at {node.name}: {outcome}")


async def play(site, trouble):
    """Play the case; return how the rule was broken."""
    await site.start((SERVICE,), 4, config(100, (SERVICE,), TENANTS),
                     has_paths=True)
    group = site.group_by_name[SERVICE]
    await asyncio.sleep(4)
    near = site.nodes[0]
    told = set()
    writing = asyncio.create_task(write(site, near, told))
    await asyncio.sleep(1)
    copy = site.store.copy()
    copied_at = time.monotonic()
    site.record("the copy of the store is taken")
    await asyncio.sleep(1)
    primary = group.primary()
    leaving = next(m for m in reversed(group.member_by_id.values())
                   if m is not primary)
    new = await group.add("i-new", ZONES[0])
    site.record("a new member i-new starts")
    await asyncio.sleep(1)
    leaving.drain()
    await asyncio.sleep(1)
    if trouble:
        site.record(
            f"the store is away for {AWAY_S} s and is restored from a copy "
            f"{time.monotonic() + AWAY_S - copied_at:.1f} s old"
        )
        await site.store.restore(copy, AWAY_S)
        site.store.put("op", "config", site.config)
        for member in group.member_by_id.values():
            member.publish()
    await asyncio.sleep(1)
    far = [node.name for node in site.nodes if node is not near]
    for member in (primary, new):
        member.cut(far, 1)
    await asyncio.sleep(12)
    writing.cancel()
    return judge(site, group, told)


def judge(site, group, told):
    """Return how the rule LOST was broken.

    Only commits count whose requester was told of success.
    """
    lost = [entry for entry in group.lost if told.issuperset(entry.writes)]
    for entry in lost:
        site.record(f"lost: {entry.term}.{entry.number} {entry.writes}")
    if not lost:
        return []
    return [f"{len(lost)} commits whose requesters were told of success "
            f"aren't in the log of the promoted member"]


# TROUBLE=0 plays the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

main(play, ".", "127.65.1", TROUBLE)
