"""A load balancer that sends requests to ready proxies only.

It polls every proxy's ``/readyz``, as a cloud load balancer does.
"""

from asyncio import gather
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout
from mode import Service

from redwingpost.bench.callers import ProxyEndpoint

#: Seconds between two health checks of a proxy.
CHECK_INTERVAL_S = 0.25

#: Timeout of one health check, in seconds.
CHECK_TIMEOUT_S = 1.0


class Balancer(Service):
    """Keeps the set of ready proxies up to date.

    Parameters
    ----------
    proxies_by_vm : dict of str to ProxyEndpoint
        May change while the service runs.
    """

    def __init__(self, proxies_by_vm: dict[str, ProxyEndpoint]) -> None:
        super().__init__()
        self.proxies_by_vm = proxies_by_vm
        self.ready: set[str] = set(proxies_by_vm)

    @Service.task
    async def _check(self) -> None:
        timeout = ClientTimeout(total=CHECK_TIMEOUT_S)
        async with ClientSession(timeout=timeout) as http:
            while not self.should_stop:
                await gather(
                    *(
                        self._check_one(http, proxy)
                        for proxy in list(self.proxies_by_vm.values())
                    )
                )
                await self.sleep(CHECK_INTERVAL_S)

    async def _check_one(
        self, http: ClientSession, proxy: ProxyEndpoint
    ) -> None:
        url = f"http://{proxy.ip}:{proxy.http_port}/readyz"
        try:
            async with http.get(url) as answer:
                ready = answer.status == 200
        except (ClientError, OSError, TimeoutError):
            ready = False
        if ready:
            self.ready.add(proxy.vm)
        else:
            self.ready.discard(proxy.vm)

    def choose(
        self,
        random: Random,
        allowed: tuple[str, ...],
        previous_vm: str,
        switch_probability: float,
    ) -> ProxyEndpoint:
        """Choose a proxy for a session's next request.

        Parameters
        ----------
        random : Random
            Random number generator.
        allowed : tuple of str
            VMs that the caller may use; empty for all.
        previous_vm : str
            VM that the session used last, or "".
        switch_probability : float
            Probability that the session moves to another proxy.

        Returns
        -------
        ProxyEndpoint
            A ready proxy if there is one.
        """
        candidates = [
            vm for vm in sorted(self.ready) if not allowed or vm in allowed
        ]
        candidates = candidates or list(allowed) or sorted(self.proxies_by_vm)
        if previous_vm in candidates and random.random() >= switch_probability:
            return self.proxies_by_vm[previous_vm]
        return self.proxies_by_vm[random.choice(candidates)]
