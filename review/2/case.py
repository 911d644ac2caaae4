"""Two promotions of one service around a restore of the store.

The primary is to be replaced; the node that holds the duty orders that and
is stopped for good. A drill then restores the store from a copy that is some
seconds old. The next primary is to be replaced, too.
"""

import asyncio
import os
import signal
import time

from standins.site import Caller, config, main, until

SERVICE = "plancat"
AWAY_S = 0.5
TENANTS = {"diocese": ["u3f1"], "parish": ["u7aa"]}


async def write(site, written):
    """Write twice a second through any node, as a requester does."""
    number = 0
    while True:
        await asyncio.sleep(0.5)
        number += 1
        node = site.nodes[number % len(site.nodes)]
        try:
            caller = await Caller.connect(node, f"{SERVICE}-primary", "u3f1")
            answer = await caller.run(f"WRITE k{number} v{number}")
            caller.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            answer = f"{type(error).__name__} {error}"
        written.append(answer)
        site.record(f"write k{number} at {node.name}: {answer}")


async def replace_primary(site, group):
    """Let the primary announce its end; wait for the next one."""
    old = group.primary()
    count = len(site.promotions.orders)
    old.drain()

    def is_replaced():
        leader = group.primary()
        return leader is not old and len(site.promotions.orders) > count

    await until(is_replaced, "a promotion", 25)
    return site.promotions.orders[-1]


async def play(site, trouble):
    """Play the case; return how the rule was broken."""
    settled = config(100, (SERVICE,), TENANTS)
    await site.start((SERVICE,), 4, settled)
    group = site.group_by_name[SERVICE]
    written = []
    writing = asyncio.create_task(write(site, written))
    await asyncio.sleep(4)
    copy = site.store.copy()
    copied_at = time.monotonic()
    site.record("the copy of the store is taken")
    await asyncio.sleep(2.5)

    first = await replace_primary(site, group)
    await asyncio.sleep(0.5)
    holder = next(n for n in site.nodes if n.name == first.holder)
    holder.signal(signal.SIGTERM)
    if trouble:
        site.record(
            f"the store is away for {AWAY_S} s and is restored from a copy "
            f"{time.monotonic() + AWAY_S - copied_at:.1f} s old"
        )
        await site.store.restore(copy, AWAY_S)
        # What the operator and the members wrote is written again.
        site.store.put("op", "config", site.config)
        for member in group.member_by_id.values():
            member.publish()
    await holder.process.wait()
    site.record(f"ended node={holder.name}")
    site.nodes.remove(holder)
    await asyncio.sleep(1)

    await replace_primary(site, group)
    await asyncio.sleep(1)
    writing.cancel()
    return judge(site)


def judge(site):
    """Return how the rule ONE was broken."""
    broken = []
    newest = 0
    holder_by_fence = {}
    for order in site.promotions.orders:
        holder = holder_by_fence.setdefault(order.fence, order.holder)
        if holder != order.holder:
            broken.append(f"{holder} and {order.holder} promoted with the "
                          f"same epoch number {order.fence}")
        if order.fence < newest:
            broken.append(f"{order.holder} sent {order.fence} after {newest}")
        newest = max(newest, order.fence)
    return list(dict.fromkeys(broken))


# TROUBLE=0 plays the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

main(play, ".", "127.61.1", TROUBLE)
