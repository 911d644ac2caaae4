"""The platform's balancer: which proxies new requests may go to.

It asks every proxy's ``/readyz`` and sends nobody to one that does not
say "ready", as a cloud's load balancer does.
"""

from asyncio import gather
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout
from mode import Service

from redwingpost.bench.callers import ProxyEndpoint

#: Seconds between two health checks of a proxy.
CHECK_INTERVAL_S = 0.25

#: Seconds after which a check without an answer has failed.
CHECK_LIMIT_S = 1.0


class Balancer(Service):
    """Keeps the set of ready proxies.

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
        limit = ClientTimeout(total=CHECK_LIMIT_S)
        async with ClientSession(timeout=limit) as http:
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
        self, random: Random, allowed: tuple[str, ...], stay: str, roam: float
    ) -> ProxyEndpoint:
        """Pick a proxy for a session's next request.

        Parameters
        ----------
        random : Random
            Source of choice.
        allowed : tuple of str
            VMs that the caller may use; empty for all.
        stay : str
            VM the session used last, or "".
        roam : float
            Probability that it moves.

        Returns
        -------
        ProxyEndpoint
            A ready one if there is any.
        """
        names = [
            vm for vm in sorted(self.ready) if not allowed or vm in allowed
        ]
        names = names or list(allowed) or sorted(self.proxies_by_vm)
        if stay in names and random.random() >= roam:
            return self.proxies_by_vm[stay]
        return self.proxies_by_vm[random.choice(names)]
