"""All processes are killed while the members' table has an unreadable row.

Another writer leaves an entry in the members' table whose bytes can't be
read. All nodes are killed and start again, as in a final fault. Requests go
on all the while.
"""

import asyncio
import os
import signal
import time

from standins.site import BOUNDS, Caller, config, main, until

SERVICE = "plancat"
TENANTS = {"diocese": ["u3f1"], "parish": ["u7aa"]}
#: Bytes of an entry that is no text of a table.
UNREADABLE = b"[" * 2000
DOWN_S = 0.8


async def request(site, sent):
    """Send ten requests a second through all nodes, as requesters do."""
    number = 0
    while True:
        await asyncio.sleep(0.1)
        number += 1
        node = site.nodes[number % len(site.nodes)]
        kind = ("primary", "bounded_staleness", "read_your_writes")[number % 3]
        text = f"WRITE k{number} v" if number % 4 == 0 else f"READ k{number}"
        at_s = time.monotonic()
        try:
            caller = await Caller.connect(node, f"{SERVICE}-{kind}", "u3f1")
            answer = await asyncio.wait_for(caller.run(text), 3)
            caller.close()
            is_served = bool(answer.proof) and not answer.error
            outcome = "served" if is_served else answer.error
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            is_served, outcome = False, f"{type(error).__name__} {error}"
        sent.append((at_s, is_served))
        site.record(f"{text} on {kind} at {node.name}: {outcome}")


async def play(site, trouble):
    """Play the case; return how the rule was broken."""
    await site.start((SERVICE,), 3, config(100, (SERVICE,), TENANTS))
    sent = []
    sending = asyncio.create_task(request(site, sent))
    await asyncio.sleep(5)
    if trouble:
        site.store.put("servers", "zz-other-writer", UNREADABLE)
        site.record("another writer puts servers/zz-other-writer")
    await asyncio.sleep(5)
    killed_at = time.monotonic()
    for node in site.nodes:
        node.signal(signal.SIGKILL)
    await asyncio.gather(*(node.process.wait() for node in site.nodes))
    await asyncio.sleep(DOWN_S)
    for node in site.nodes:
        await node.start()
    back_at = time.monotonic()
    await asyncio.sleep(BOUNDS["recoveryS"] + 8)
    sending.cancel()
    before = [served for at_s, served in sent if at_s < killed_at]
    after = [served for at_s, served in sent
             if at_s > back_at + BOUNDS["recoveryS"]]
    site.record(f"before the kill {sum(before)} of {len(before)} served, "
                f"later than recoveryS after it {sum(after)} of {len(after)}")
    if 4 * sum(before) >= len(before) and 4 * sum(after) < len(after):
        return [f"{sum(after)} of {len(after)} requests are served later than "
                f"{BOUNDS['recoveryS']} s after all nodes are back; before, "
                f"{sum(before)} of {len(before)}"]
    return []


# TROUBLE=0 plays the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

main(play, ".", "127.66.1", TROUBLE)
