"""Proxies and stand-in members in one process, for end-to-end tests.

A thread runs the event loop with the stand-ins and the proxies, which
listen on free ports. The tests connect with real drivers.
"""

from asyncio import Event, new_event_loop, run_coroutine_threadsafe, sleep
from collections.abc import Callable
from concurrent.futures import Future
from json import dumps
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Event as ThreadEvent, Thread
from typing import Any

from capnp import kj_loop

from redwingpost.configuration.keys import hash_key
from redwingpost.proxy import Proxy
from redwingpost.settings import (
    FleetSettings,
    ProxySettings,
    Settings,
    TlsSettings,
    VmSettings,
)
from redwingpost.standin import Endpoint, GroupSettings, GroupStandin

#: Keys that occur in no other text of a run, so that a search for them
#: finds only leaked keys.
KEYS_BY_ORGANISATION = {
    "diocese-puno": "marked-key-of-puno-7f3a91",
    "diocese-cusco": "marked-key-of-cusco-02bd6e",
}
GROUP = "plans"
OTHER_GROUP = "seats"
_START_LIMIT_S = 20.0


class SmallSite:
    """One database group of three members and some proxies.

    Parameters
    ----------
    proxies : int
        How many proxies.
    homes : int
        How many of them connect to a group's members.
    tls : TlsSettings, optional
        Certificates of all proxies.
    """

    def __init__(
        self,
        proxies: int = 1,
        homes: int = 6,
        tls: TlsSettings | None = None,
        **group_changes: Any,
    ) -> None:
        self._count = proxies
        self._tls = tls
        self._homes = homes
        self._group_changes = group_changes
        self._started = ThreadEvent()
        self._directory = TemporaryDirectory()
        self._failure: BaseException | None = None
        self.proxies: list[Proxy] = []
        self.loop = new_event_loop()
        self._thread = Thread(target=self._run_loop, daemon=True)

    def start(self) -> "SmallSite":
        """Start all services and wait until callers can be served."""
        self._thread.start()
        if not self._started.wait(_START_LIMIT_S):
            raise TimeoutError("the site did not start")
        if self._failure is not None:
            raise self._failure
        return self

    def stop(self) -> None:
        """Stop all services."""
        self.loop.call_soon_threadsafe(self._stop.set)
        self._thread.join(_START_LIMIT_S)
        self._directory.cleanup()

    def call(self, coroutine: Any) -> Any:
        """Run a coroutine on the site's event loop; return its result."""
        future: Future = run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(_START_LIMIT_S)

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait on the site's event loop until a condition holds."""

        async def wait() -> None:
            while not condition():
                await sleep(0.01)

        self.call(wait())

    def port(self, proxy: int = 0) -> int:
        """Return a proxy's port for callers."""
        return self.proxies[proxy].callers.port

    def login(self, organisation: str = "diocese-puno") -> dict[str, str]:
        """Return user and password of an organisation."""
        key = KEYS_BY_ORGANISATION[organisation]
        return {"user": organisation, "password": key}

    def _run_loop(self) -> None:
        self.loop.run_until_complete(self._serve())
        self.loop.close()

    async def _serve(self) -> None:
        self._stop = Event()
        async with kj_loop():
            services = []
            try:
                await self._start_all(services)
            except BaseException as failure:
                self._failure = failure
            self._started.set()
            if self._failure is None:
                await self._stop.wait()
            for service in reversed(services):
                await service.stop()

    async def _start_all(self, services: list) -> None:
        members = {
            f"{GROUP}-{letter}": Endpoint(
                f"127.{place}.101.1", 0, f"dc-{place}"
            )
            for place, letter in enumerate("abc", start=1)
        }
        settings = GroupSettings(
            group=GROUP, members=members, **self._group_changes
        )
        self.group = GroupStandin(settings)
        services.append(self.group)
        await self.group.start()
        path = Path(self._directory.name, "configuration.json")
        path.write_text(dumps(self._configuration()))
        for number in range(1, self._count + 1):
            settings = _settings(number, path, self._homes)
            proxy = Proxy(settings._replace(tls=self._tls))
            services.append(proxy)
            self.proxies.append(proxy)
            await proxy.start()
        self._exchange_addresses()
        for proxy in self.proxies:
            while (
                proxy.homes.is_home(GROUP)
                and proxy.directory.primary(GROUP) is None
            ):
                await proxy.sleep(0.01)

    def _exchange_addresses(self) -> None:
        addresses = [
            proxy.homes.own._replace(proxy_port=proxy.peers.port)
            for proxy in self.proxies
        ]
        for proxy in self.proxies:
            own = proxy.homes.own
            proxy.homes.set_vms(
                tuple(vm for vm in addresses if vm.vm != own.vm)
            )

    def home_and_other(self, group: str = GROUP) -> tuple[int, int]:
        """Return the index of a home of the group and that of another VM."""
        homes = [proxy.homes.is_home(group) for proxy in self.proxies]
        return homes.index(True), homes.index(False)

    def _configuration(self) -> dict[str, Any]:
        members = {
            name: {
                "data_centre": member.endpoint.data_centre,
                "ip": member.endpoint.ip,
                "port": member.port,
            }
            for name, member in self.group.members_by_name.items()
        }
        unused = {
            f"{OTHER_GROUP}-{letter}": {
                "data_centre": "dc-1",
                "ip": "127.1.109.1",
                "port": 1000 + place,
            }
            for place, letter in enumerate("abc")
        }
        return {
            "site": "small",
            "organisations": {
                name: {
                    "keys": [{"name": "first", "hash": hash_key(key)}],
                    "rate": 10_000.0,
                    "burst": 10_000.0,
                    "groups": [GROUP],
                }
                for name, key in KEYS_BY_ORGANISATION.items()
            },
            "groups": {
                GROUP: {"connections": 32, "members": members},
                OTHER_GROUP: {"connections": 32, "members": unused},
            },
        }


def _settings(number: int, path: Path, homes: int) -> Settings:
    return Settings(
        vm=VmSettings(f"vm-{number}", f"dc-{number}", f"127.{number}.1.1"),
        proxy=ProxySettings(configuration_file=str(path), homes=homes),
        fleet=FleetSettings(token_secrets=("a-secret-of-the-tests",)),
    )
