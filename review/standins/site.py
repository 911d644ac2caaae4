"""A small deployment on loopback addresses, and its callers."""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections import namedtuple
from pathlib import Path

from standins.members import Group
from standins.store import Promotions, Store

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 4000,
    "ackTimeoutMs": 5000, "catchUpS": 4, "drainMs": 7000, "graceS": 6,
    "lossSlackMs": 200, "configApplyMs": 3000, "downgradeSlackMs": 250,
    "outerBoundMs": 12000, "revokeStrict": False, "revokeMs": 5000,
    "quotaWindowS": 5, "quotaOverage": 0.1, "quotaSlack": 20,
    "recoveryS": 12, "fencing": False, "thawSlackMs": 300,
}
ZONES = ("lima-a", "lima-b", "callao-c", "ate-d")
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sql", "tenants",
             "quota", "platform"]

Answer = namedtuple("Answer", "rows proof error state")


class Record:
    """Writes lines with the time since the start to ``record.txt``."""

    def __init__(self, path):
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{self.seconds():9.3f} {text}\n")
        self._file.flush()

    def seconds(self):
        """Return the time since the start."""
        return time.monotonic() - self._started_at


class Node:
    """One process of ``redwing-node``, started as the deploy file says."""

    def __init__(self, site, name, ip, zone):
        self.site = site
        self.name = name
        self.ip = ip
        self.zone = zone
        self.ports = dict(zip(("front", "ready", "control"),
                              free_ports(ip, 3), strict=True))
        self.process = None
        self.log_path = site.folder / f"{name}.log"

    async def start(self):
        """Start the process."""
        path = self.site.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.site.settings(self)))
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-P", "-m", "redwingpost.cli.node", cwd=ROOT,
                env={
                    **{name: os.environ[name] for name in
                       ("PATH", "HOME", "LANG") if name in os.environ},
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "REDWINGPOST_NODE_FILE": str(path),
                },
                stdout=log, stderr=log,
            )
        self.site.record(f"started node={self.name} ip={self.ip}")

    def signal(self, number):
        """Send a signal to the process."""
        self.site.record(f"signal node={self.name} "
                         f"{signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        """Return whether the node counts as ready."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ports["ready"])
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def events(self, kind):
        """Return the logged events of a kind."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                value = json.loads(line)
            except ValueError:
                continue
            if value.get("kind") == kind:
                found.append(value)
        return found


class Site:
    """Store, promotions, groups and nodes of one run."""

    def __init__(self, folder, prefix):
        self.record = Record(Path(folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.ip = f"{prefix}.200"
        self.prefix = prefix
        self.store = Store()
        self.group_by_name = {}
        self.promotions = Promotions(self.group_by_name, self.record)
        self.nodes = []
        self._inner_ports = None
        self._store_port = self._orders_port = 0

    async def start(self, services, nodes, config, work_s=0.01,
                    has_paths=False):
        """Start everything and wait until all nodes are ready.

        ``has_paths``: each node has its own path to the store and members.
        """
        self._store_port = await self.store.start(self.ip)
        self._orders_port = await self.promotions.start(self.ip)
        names = [f"front-{ZONES[number % len(ZONES)]}-{number}"
                 for number in range(nodes)]
        if has_paths:
            self.store.port_for = self._port_for
            for name in names:
                await self.store.start_view(self.ip, name)
        for name in services:
            group = Group(name, self.store, self.ip, self.record, work_s)
            self.group_by_name[name] = group
            await group.start(ZONES)
        self.configure(config)
        self._inner_ports = sorted(free_ports(f"{self.prefix}.1", 2))
        for number in range(nodes):
            zone = ZONES[number % len(ZONES)]
            node = Node(self, names[number], f"{self.prefix}.{number + 1}",
                        zone)
            self.nodes.append(node)
            await node.start()
        for node in self.nodes:
            await until(node.is_ready, f"{node.name} ready")

    def _port_for(self, node, port):
        """Return the port on a node's path of the member with a port."""
        for group in self.group_by_name.values():
            for member in group.member_by_id.values():
                if port in member.ports:
                    return member.port_for(node)
        return port

    def configure(self, config):
        """Write a config; return the time of the store's ack."""
        self.config = config
        self.store.put("op", "config", config)
        self.record(f"config version={config['configVersion']}")
        return time.monotonic()

    def settings(self, node):
        """Return a node's settings file."""
        store_port = self.store.views.get(node.name, self._store_port)
        return {
            "node": node.name, "role": "node", "machineClass": "front",
            "serves": ["front", "control"], "ip": node.ip, "zone": node.zone,
            "region": "lima-centro",
            "zones": dict.fromkeys(ZONES, "lima-centro"),
            "listen": {name: f"{node.ip}:{port}"
                       for name, port in node.ports.items()},
            "innerPorts": self._inner_ports,
            "seeds": [f"{n.ip}:{n.ports['control']}" for n in self.nodes[:3]],
            "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300,
                       "maxFds": 4300, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "beatIntervalMs": 1200, "contracts": CONTRACTS,
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"{self.ip}:{store_port}", "form": "table",
                "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0,
                "partWritesS": 200, "rowBytes": 65536, "across": False,
                "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0,
                "blobMbS": 80.0,
            },
            "cloudApi": {"address": f"{self.ip}:{self._orders_port}",
                         "ratePerS": 50.0, "duties": ["failover"],
                         "dutyPerS": 50.0},
        }

    async def stop(self):
        """End all processes and stand-ins of the run."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for group in self.group_by_name.values():
            for member in group.member_by_id.values():
                member.stop()
        self.promotions.close()
        self.store.close()
        if os.environ.get("KEEP"):
            self.record(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Caller:
    """One requester's connection."""

    number = 0

    def __init__(self, node, reader, writer):
        self.node = node
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, node, database, key):
        """Open a session; raise ConnectionError if it is refused."""
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(node.ip, node.ports["front"]), 2)
        caller = cls(node, reader, writer)
        caller._send(f"STARTUP {database} {key}")
        line = await asyncio.wait_for(caller._line(), 2)
        if not line.startswith("READY"):
            writer.close()
            raise ConnectionError(line)
        return caller

    @classmethod
    def new_id(cls):
        """Return a new request id."""
        cls.number += 1
        return f"{cls.number:016x}"

    async def run(self, text, request=None):
        """Send a request and return its answer."""
        self._send(f"QUERY {request or self.new_id()} {text}")
        rows, proof, error = [], "", ""
        while True:
            word, _, rest = (await self._line()).partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                proof = rest
            elif word == "ERROR":
                error = rest
            elif word == "READY":
                return Answer(rows, proof, error, rest[:1])

    def close(self):
        """End the session."""
        self._writer.close()

    def _send(self, line):
        self._writer.write(f"{line}\r\n".encode("latin-1"))

    async def _line(self):
        raw = await self._reader.readuntil(b"\r\n")
        return raw[:-2].decode("latin-1")


def free_ports(ip, count):
    """Return ports that are free at an address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((ip, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def config(version, services, keys_by_tenant, rate=400, **limits):
    """Return a config with three routes for each service."""
    kinds = (("primary", 0, 1000), ("bounded_staleness", 1500, 3000),
             ("read_your_writes", 2500, 1000))
    return {
        "configVersion": version,
        "routes": [
            {"name": f"r-{service}-{kind}", "host": f"{service}-{kind}",
             "routeType": kind, "timeoutMs": timeout_ms,
             "targetLatencyMs": 400, "priority": 1, "service": service,
             "maxStalenessMs": stale_ms, "public": False}
            for service in services for kind, stale_ms, timeout_ms in kinds
        ],
        "services": [{"name": name, "maxConns": 32, "syncReplicas": 1}
                     for name in services],
        "limits": {"txIdleMs": 3000, **limits},
        "tenants": [
            {"name": name, "apiKeys": keys, "ratePerS": rate, "burst": rate}
            for name, keys in keys_by_tenant.items()
        ],
    }


async def until(holds, what, timeout_s=20.0):
    """Wait until a condition holds; raise RuntimeError if it doesn't."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        result = holds()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return
        await asyncio.sleep(0.02)
    raise RuntimeError(f"did not happen in time: {what}")


def main(play, folder, prefix, trouble):
    """Run a case: exit with 1 if its rule was broken, 2 if it can't run.

    ``play(site, trouble)`` returns the texts that say how it was broken;
    ``trouble`` tells whether to play the disruption.
    """

    async def run():
        site = Site(folder, prefix)
        try:
            broken = await asyncio.wait_for(play(site, trouble), 110)
        finally:
            await site.stop()
        for text in broken:
            site.record(f"BROKEN {text}")
        site.record(f"result {'broken' if broken else 'held'}, "
                    f"trouble={int(trouble)}")
        return broken

    try:
        broken = asyncio.run(run())
    except Exception as error:  # the case couldn't run
        print(f"couldn't run: {type(error).__name__}: {error}")
        sys.exit(2)
    for text in broken:
        print(text)
    sys.exit(1 if broken else 0)
