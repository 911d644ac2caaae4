"""What one proxy process costs: per statement, per idle connection.

A group's stand-in with service times of zero, one proxy, and drivers in
this process. Processor time is the proxy's own, from ``/proc``, so the
figures hold also where the drivers are the slowest part.

Run it by ``python -m redwingpost.bench.hotpath``; nothing else should
load the machine meanwhile.
"""

from asyncio import gather, run, sleep
from hashlib import sha1
from json import dumps
from pathlib import Path
from tempfile import TemporaryDirectory
from time import perf_counter
from typing import Annotated, Any, NamedTuple

from asyncmy import Connection, connect
from asyncmy.errors import MySQLError
from hdrh.histogram import HdrHistogram
from typer import Option, echo, run as run_command

from redwingpost.bench.children import Children
from redwingpost.bench.ports import find_free_port

KEY = "hot-path-key"
GROUP = "catalogue-1"
PROXY_IP = "127.1.1.201"
MEMBER_IPS = ("127.1.101.201", "127.2.101.201", "127.3.101.201")

#: Rate that no run comes near, so that admission refuses nothing.
AMPLE = 1_000_000.0

#: Seconds of each measurement, and of the idle wait before memory counts.
RUN_S = 4.0
SETTLE_S = 2.0

#: Connections opened at a time; more would only queue at the handshake.
DIAL_BATCH = 64

#: Connections that carry the load while the others are idle.
ACTIVE = 10

START_LIMIT_S = 20.0
READ = "SELECT name FROM plans WHERE id = 7"


class Load(NamedTuple):
    """What one load measured; latency in ms, processor time in µs."""

    statements_per_s: float
    p50_ms: float
    p99_ms: float
    proxy_us_per_statement: float
    statements_per_s_of_a_core: float


class Site:
    """A stand-in and a proxy as children.

    Parameters
    ----------
    directory : Path
        Where settings and logs go.
    organisations, groups : int
        How many the configuration holds; one of each is used.
    """

    def __init__(
        self, directory: Path, organisations: int = 8, groups: int = 3
    ) -> None:
        self.directory = directory
        self.children = Children(directory)
        self._organisations = organisations
        self._groups = groups
        self.member_port = find_free_port(MEMBER_IPS[0])
        self.caller_port = find_free_port(PROXY_IP)
        self.proxy: Any = None

    async def start(self) -> None:
        """Start both and wait until a caller is served."""
        group, proxy = self.write_files()
        await self.children.start(
            "standin",
            ["redwingpost.cli.standin", "group", "--settings", group],
        )
        self.proxy = await self.children.start(
            "proxy", ["redwingpost.cli.proxy", "--settings", proxy]
        )
        driver = await self._first_caller()
        await ask(driver, "CREATE TABLE plans (id INT PRIMARY KEY, name TEXT)")
        await ask(driver, "INSERT INTO plans VALUES (7, 'lesson')")
        driver.close()

    async def stop(self) -> None:
        """Stop both."""
        for name in self.children.names():
            await self.children.end(name, planned=True)

    async def dial(self) -> Connection:
        """Connect through the proxy."""
        return await connect(
            host=PROXY_IP,
            port=self.caller_port,
            user="organisation-0",
            password=KEY,
            database=GROUP,
            autocommit=True,
        )

    async def dial_member(self) -> Connection:
        """Connect to the primary, without the proxy."""
        return await connect(
            host=MEMBER_IPS[0],
            port=self.member_port,
            user="any",
            password="any",
            autocommit=True,
        )

    def proxy_rss_kb(self) -> int:
        """Return the proxy's resident memory, kB."""
        text = Path(f"/proc/{self.proxy.pid}/status").read_text()
        line = next(x for x in text.splitlines() if x.startswith("VmRSS"))
        return int(line.split()[1])

    async def _first_caller(self) -> Connection:
        give_up_at = perf_counter() + START_LIMIT_S
        while True:
            try:
                driver = await self.dial()
                await ask(driver, "SELECT 1 FROM (SELECT 1) one")
                return driver
            except (MySQLError, OSError):
                if perf_counter() > give_up_at:
                    raise
                await sleep(0.2)

    def write_files(self) -> tuple[str, str]:
        """Write settings and configuration; return the settings' paths."""
        members = "\n".join(
            f'[members.m-{number}]\nip = "{ip}"\nport = {self.member_port}'
            for number, ip in enumerate(MEMBER_IPS)
        )
        group = self.directory / "group.toml"
        group.write_text(
            f'group = "{GROUP}"\nslots = 64\nconnections = 64\n'
            "connect_ms = 0\nread_ms = 0\nwrite_ms = 0\nstep_ms = 0\n"
            f'{members}\n[faults]\nip = "{MEMBER_IPS[0]}"\n'
        )
        configuration = self.directory / "configuration.json"
        configuration.write_text(dumps(self.configuration()))
        proxy = self.directory / "proxy.toml"
        proxy.write_text(
            f'[vm]\nname = "vm-1"\ndata_centre = "dc-1"\nip = "{PROXY_IP}"\n'
            f"[proxy]\ncaller_port = {self.caller_port}\n"
            f"peer_port = {find_free_port(PROXY_IP)}\n"
            f"http_port = {find_free_port(PROXY_IP)}\n"
            f'configuration_file = "{configuration}"\n'
            '[fleet]\ntoken_secrets = ["0123456789abcdef"]\n'
        )
        return str(group), str(proxy)

    def configuration(self) -> dict[str, Any]:
        """Return the configuration; only its first group runs."""
        return {
            "site": "hot-path",
            "organisations": {
                f"organisation-{number}": _organisation(number)
                for number in range(self._organisations)
            },
            "groups": {
                f"catalogue-{number}": self._group(number)
                for number in range(1, self._groups + 1)
            },
            "kinds": {},
            "withdrawn": [],
            "draining_members": [],
        }

    def _group(self, number: int) -> dict[str, Any]:
        # Only the first group runs; the others are configured, not used.
        port = self.member_port if number == 1 else 1
        return {
            "connections": 64,
            "members": {
                f"m-{place}" if number == 1 else f"g{number}-{place}": {
                    "data_centre": f"dc-{place + 1}",
                    "ip": (
                        ip
                        if number == 1
                        else f"127.{place + 1}.{number % 250}.250"
                    ),
                    "port": port + number // 250,
                }
                for place, ip in enumerate(MEMBER_IPS)
            },
        }


def _organisation(number: int) -> dict[str, Any]:
    key = KEY if number == 0 else f"{KEY}-{number}"
    return {
        "keys": [
            {
                "name": "only",
                "hash": sha1(sha1(key.encode()).digest()).hexdigest(),
            }
        ],
        "rate": AMPLE,
        "burst": AMPLE,
        "weight": 1.0,
        "groups": [GROUP],
    }


async def ask(driver: Connection, sql: str) -> list:
    """Run a statement and return its rows."""
    async with driver.cursor() as cursor:
        await cursor.execute(sql)
        return list(await cursor.fetchall())


async def _repeat(
    driver: Connection, until: float, times: HdrHistogram, pause_s: float
) -> None:
    async with driver.cursor() as cursor:
        while perf_counter() < until:
            began = perf_counter()
            await cursor.execute(READ)
            await cursor.fetchall()
            times.record_value(int((perf_counter() - began) * 1e6))
            if pause_s:
                await sleep(pause_s)


async def measure(
    site: Site, drivers: list[Connection], pause_s: float = 0.0
) -> Load:
    """Load the drivers for ``RUN_S``; each pauses after an answer."""
    times = HdrHistogram(1, 60_000_000, 3)
    cpu_s, began = site.proxy.cpu_s(), perf_counter()
    until = began + RUN_S
    await gather(*(_repeat(one, until, times, pause_s) for one in drivers))
    elapsed_s = perf_counter() - began
    cpu_s = site.proxy.cpu_s() - cpu_s
    count = max(1, times.get_total_count())
    return Load(
        count / elapsed_s,
        times.get_value_at_percentile(50) / 1000,
        times.get_value_at_percentile(99) / 1000,
        cpu_s / count * 1e6,
        count / cpu_s if cpu_s else 0.0,
    )


async def _dial_many(site: Site, count: int) -> list[Connection]:
    drivers: list[Connection] = []
    while len(drivers) < count:
        batch = min(DIAL_BATCH, count - len(drivers))
        found = await gather(*(site.dial() for _ in range(batch)))
        drivers.extend(found)
    return drivers


async def _with_site(work: Any, **sizes: int) -> Any:
    with TemporaryDirectory(prefix="redwing-hotpath-") as name:
        site = Site(Path(name), **sizes)
        try:
            await site.start()
            return await work(site)
        finally:
            await site.stop()


async def latency_and_rate(site: Site) -> dict[str, Any]:
    """Compare the proxy with a direct connection, idle and full."""
    through = await _dial_many(site, ACTIVE)
    direct = [await site.dial_member() for _ in range(ACTIVE)]
    full = await measure(site, through)
    pause_s = 2 * ACTIVE / full.statements_per_s
    half = await measure(site, through, pause_s)
    plain = await measure(site, direct, pause_s)
    _close(through + direct)
    return {
        "full": full._asdict(),
        "half_load": half._asdict(),
        "direct_at_half_load": plain._asdict(),
        "added_p50_ms": half.p50_ms - plain.p50_ms,
        "added_p99_ms": half.p99_ms - plain.p99_ms,
    }


def _idle(count: int) -> Any:
    async def work(site: Site) -> dict[str, Any]:
        active = await _dial_many(site, ACTIVE)
        await measure(site, active)
        before_kb = site.proxy_rss_kb()
        idle = await _dial_many(site, count)
        await sleep(SETTLE_S)
        grown_kb = site.proxy_rss_kb() - before_kb
        load = await measure(site, active)
        _close(active + idle)
        return {
            "idle_connections": count,
            "kb_per_idle_connection": grown_kb / count if count else 0.0,
            **load._asdict(),
        }

    return work


async def _active_load(site: Site) -> dict[str, Any]:
    active = await _dial_many(site, ACTIVE)
    load = await measure(site, active)
    _close(active)
    return load._asdict()


def _close(drivers: list[Connection]) -> None:
    for driver in drivers:
        driver.close()


async def profile(idle: tuple[int, ...]) -> dict[str, Any]:
    """Run every measurement, one after another."""
    found: dict[str, Any] = {"one": await _with_site(latency_and_rate)}
    found["by_idle_connections"] = [
        await _with_site(_idle(count)) for count in idle
    ]
    found["by_organisations"] = [
        {"organisations": n, **await _with_site(_active_load, organisations=n)}
        for n in (8, 1000)
    ]
    found["by_groups"] = [
        {"groups": n, **await _with_site(_active_load, groups=n)}
        for n in (3, 100)
    ]
    return found


def main(
    json: Annotated[
        Path | None, Option(help="Write the figures here.")
    ] = None,
    connections: Annotated[int, Option(help="Most idle ones.")] = 10_000,
) -> None:
    """Measure one proxy process.

    Example: python -m redwingpost.bench.hotpath --json hotpath.json
    """
    found = run(profile((0, connections // 10, connections)))
    text = dumps(found, indent=2)
    if json is not None:
        json.write_text(text + "\n")
    echo(text)


if __name__ == "__main__":
    run_command(main)
