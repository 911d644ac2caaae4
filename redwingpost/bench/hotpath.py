"""Measures the cost of a proxy process, per statement and connection.

The setup is one stand-in of a database group with service times of
zero, one proxy, and client connections in this process. Processor time
is the proxy's own, from ``/proc``, so the figures are valid even where
the clients are the bottleneck.

Run it by ``python -m redwingpost.bench.hotpath`` on an otherwise idle
computer.
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

#: Rate and burst that no run reaches, so that admission refuses nothing.
UNLIMITED_RATE = 1_000_000.0

#: Length of each measurement, in seconds.
MEASUREMENT_S = 4.0

#: Wait before memory is read, in seconds.
SETTLE_S = 2.0

#: Connections opened at a time; a larger batch would queue for handshakes.
DIAL_BATCH_SIZE = 64

#: Connections that send statements while the others are idle.
ACTIVE_CONNECTIONS = 10

#: Timeout until the proxy answers a statement, in seconds.
START_TIMEOUT_S = 20.0
READ_SQL = "SELECT name FROM plans WHERE id = 7"


class LoadResult(NamedTuple):
    """Figures of one measurement; latency in ms, processor time in µs."""

    statements_per_s: float
    p50_ms: float
    p99_ms: float
    proxy_us_per_statement: float
    statements_per_s_of_a_core: float


class Site:
    """A group's stand-in and a proxy, run as child processes.

    Parameters
    ----------
    directory : Path
        Where settings and logs are written.
    organisations, groups : int
        How many the configuration has; only one of each is used.
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
        """Start both and wait until the proxy answers a statement."""
        group, proxy = self.write_files()
        await self.children.start(
            "standin",
            ["redwingpost.cli.standin", "group", "--settings", group],
        )
        self.proxy = await self.children.start(
            "proxy", ["redwingpost.cli.proxy", "--settings", proxy]
        )
        connection = await self._connect_when_ready()
        await run_query(
            connection, "CREATE TABLE plans (id INT PRIMARY KEY, name TEXT)"
        )
        await run_query(connection, "INSERT INTO plans VALUES (7, 'lesson')")
        connection.close()

    async def stop(self) -> None:
        """Stop the proxy and the stand-in."""
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
        line = next(s for s in text.splitlines() if s.startswith("VmRSS"))
        return int(line.split()[1])

    async def _connect_when_ready(self) -> Connection:
        deadline_at = perf_counter() + START_TIMEOUT_S
        while True:
            try:
                connection = await self.dial()
                await run_query(connection, "SELECT 1 FROM (SELECT 1) one")
                return connection
            except (MySQLError, OSError):
                if perf_counter() > deadline_at:
                    raise
                await sleep(0.2)

    def write_files(self) -> tuple[str, str]:
        """Write all files; return the paths of both settings files."""
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
                f"m-{index}" if number == 1 else f"g{number}-{index}": {
                    "data_centre": f"dc-{index + 1}",
                    "ip": (
                        ip
                        if number == 1
                        else f"127.{index + 1}.{number % 250}.250"
                    ),
                    "port": port + number // 250,
                }
                for index, ip in enumerate(MEMBER_IPS)
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
        "rate": UNLIMITED_RATE,
        "burst": UNLIMITED_RATE,
        "weight": 1.0,
        "groups": [GROUP],
    }


async def run_query(connection: Connection, sql: str) -> list:
    """Run a statement and return its rows."""
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return list(await cursor.fetchall())


async def _repeat(
    connection: Connection,
    end_at: float,
    histogram: HdrHistogram,
    pause_s: float,
) -> None:
    async with connection.cursor() as cursor:
        while perf_counter() < end_at:
            started_at = perf_counter()
            await cursor.execute(READ_SQL)
            await cursor.fetchall()
            histogram.record_value(int((perf_counter() - started_at) * 1e6))
            if pause_s:
                await sleep(pause_s)


async def measure(
    site: Site, connections: list[Connection], pause_s: float = 0.0
) -> LoadResult:
    """Send statements on all connections for ``MEASUREMENT_S``.

    Each connection pauses for ``pause_s`` after an answer.
    """
    histogram = HdrHistogram(1, 60_000_000, 3)
    cpu_s, started_at = site.proxy.cpu_s(), perf_counter()
    end_at = started_at + MEASUREMENT_S
    await gather(
        *(_repeat(one, end_at, histogram, pause_s) for one in connections)
    )
    elapsed_s = perf_counter() - started_at
    cpu_s = site.proxy.cpu_s() - cpu_s
    count = max(1, histogram.get_total_count())
    return LoadResult(
        count / elapsed_s,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        cpu_s / count * 1e6,
        count / cpu_s if cpu_s else 0.0,
    )


async def _open_connections(site: Site, count: int) -> list[Connection]:
    connections: list[Connection] = []
    while len(connections) < count:
        batch = min(DIAL_BATCH_SIZE, count - len(connections))
        opened = await gather(*(site.dial() for _ in range(batch)))
        connections.extend(opened)
    return connections


async def _with_site(measurement: Any, **sizes: int) -> Any:
    with TemporaryDirectory(prefix="redwing-hotpath-") as name:
        site = Site(Path(name), **sizes)
        try:
            await site.start()
            return await measurement(site)
        finally:
            await site.stop()


async def latency_and_rate(site: Site) -> dict[str, Any]:
    """Compare the proxy with direct connections, at full and half load."""
    proxied = await _open_connections(site, ACTIVE_CONNECTIONS)
    direct = [await site.dial_member() for _ in range(ACTIVE_CONNECTIONS)]
    full = await measure(site, proxied)
    pause_s = 2 * ACTIVE_CONNECTIONS / full.statements_per_s
    half = await measure(site, proxied, pause_s)
    direct_half = await measure(site, direct, pause_s)
    _close(proxied + direct)
    return {
        "full": full._asdict(),
        "half_load": half._asdict(),
        "direct_at_half_load": direct_half._asdict(),
        "added_p50_ms": half.p50_ms - direct_half.p50_ms,
        "added_p99_ms": half.p99_ms - direct_half.p99_ms,
    }


def _measure_with_idle(count: int) -> Any:
    async def measurement(site: Site) -> dict[str, Any]:
        active = await _open_connections(site, ACTIVE_CONNECTIONS)
        await measure(site, active)
        before_kb = site.proxy_rss_kb()
        idle = await _open_connections(site, count)
        await sleep(SETTLE_S)
        growth_kb = site.proxy_rss_kb() - before_kb
        load = await measure(site, active)
        _close(active + idle)
        return {
            "idle_connections": count,
            "kb_per_idle_connection": growth_kb / count if count else 0.0,
            **load._asdict(),
        }

    return measurement


async def _measure_active(site: Site) -> dict[str, Any]:
    active = await _open_connections(site, ACTIVE_CONNECTIONS)
    load = await measure(site, active)
    _close(active)
    return load._asdict()


def _close(connections: list[Connection]) -> None:
    for connection in connections:
        connection.close()


async def profile(idle: tuple[int, ...]) -> dict[str, Any]:
    """Run all measurements one after another."""
    results: dict[str, Any] = {"one": await _with_site(latency_and_rate)}
    results["by_idle_connections"] = [
        await _with_site(_measure_with_idle(count)) for count in idle
    ]
    results["by_organisations"] = [
        {
            "organisations": n,
            **await _with_site(_measure_active, organisations=n),
        }
        for n in (8, 1000)
    ]
    results["by_groups"] = [
        {"groups": n, **await _with_site(_measure_active, groups=n)}
        for n in (3, 100)
    ]
    return results


def main(
    json: Annotated[Path | None, Option(help="File for the results")] = None,
    connections: Annotated[
        int, Option(help="Highest number of idle connections")
    ] = 10_000,
) -> None:
    """Measure the cost of one proxy process.

    Example: python -m redwingpost.bench.hotpath --json hotpath.json
    """
    results = run(profile((0, connections // 10, connections)))
    text = dumps(results, indent=2)
    if json is not None:
        json.write_text(text + "\n")
    echo(text)


if __name__ == "__main__":
    run_command(main)
