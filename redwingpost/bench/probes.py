"""Probes of a change: when does every proxy act on it?"""

from asyncio import gather, sleep, timeout
from collections.abc import Iterable
from time import monotonic

from asyncmy import connect
from asyncmy.errors import Error as MySQLError

from redwingpost.bench.callers import Credential, ProxyEndpoint

#: Seconds between two probes of a proxy.
PROBE_INTERVAL_S = 0.03

#: Seconds after which a change that isn't in force is given up.
PROBE_LIMIT_S = 6.0


async def is_accepted(
    proxy: ProxyEndpoint, credential: Credential, group: str
) -> bool:
    """Say whether a proxy takes a key just now."""
    try:
        async with timeout(PROBE_LIMIT_S):
            connection = await connect(
                host=proxy.ip,
                port=proxy.caller_port,
                user=credential.organisation,
                password=credential.key,
                db=group,
                autocommit=None,
            )
    except (MySQLError, OSError, EOFError, TimeoutError):
        return False
    connection.close()
    return True


async def wait_in_force(
    proxies: Iterable[ProxyEndpoint], credential: Credential, group: str
) -> float | None:
    """Return when (monotonic) the last proxy took a new key.

    None means that some proxy still refused it when time was up.
    """
    times = await gather(
        *(_wait_one(proxy, credential, group) for proxy in proxies)
    )
    return None if None in times else max(times)


async def _wait_one(
    proxy: ProxyEndpoint, credential: Credential, group: str
) -> float | None:
    limit = monotonic() + PROBE_LIMIT_S
    while monotonic() < limit:
        if await is_accepted(proxy, credential, group):
            return monotonic()
        await sleep(PROBE_INTERVAL_S)
    return None
