"""Probes that measure when every proxy applies a new key."""

from asyncio import gather, sleep, timeout
from collections.abc import Iterable
from time import monotonic

from asyncmy import connect
from asyncmy.errors import Error as MySQLError

from redwingpost.bench.callers import Credential, ProxyEndpoint

#: Seconds between two probes of a proxy.
PROBE_INTERVAL_S = 0.03

#: Timeout until a new key is in force at a proxy, in seconds.
PROBE_TIMEOUT_S = 6.0


async def is_accepted(
    proxy: ProxyEndpoint, credential: Credential, group: str
) -> bool:
    """Return whether a proxy accepts a key now."""
    try:
        async with timeout(PROBE_TIMEOUT_S):
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
    """Return when (monotonic seconds) the last proxy accepted a new key.

    None means that a proxy still refused the key at the timeout.
    """
    times = await gather(
        *(_wait_one(proxy, credential, group) for proxy in proxies)
    )
    return None if None in times else max(times)


async def _wait_one(
    proxy: ProxyEndpoint, credential: Credential, group: str
) -> float | None:
    deadline_at = monotonic() + PROBE_TIMEOUT_S
    while monotonic() < deadline_at:
        if await is_accepted(proxy, credential, group):
            return monotonic()
        await sleep(PROBE_INTERVAL_S)
    return None
