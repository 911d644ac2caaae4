"""Tests of ``redwingctl`` against a platform and agents on real sockets."""

from asyncio import Event, new_event_loop, sleep
from json import dumps, loads
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Event as ThreadEvent, Thread
from time import sleep as pause
from typing import Any
from unittest import TestCase

from capnp import kj_loop
from typer.testing import CliRunner

from redwingpost.agent import Agent
from redwingpost.agent.tests.fleet import known_live_vms
from redwingpost.cli.ctl import app
from redwingpost.configuration.keys import hash_key
from redwingpost.configuration.tests.test_parse import GOOD, PUNO, with_change
from redwingpost.settings import (
    AgentSettings,
    PlatformSettings,
    Settings,
    VmSettings,
)
from redwingpost.standin import PlatformStandin
from redwingpost.standin.settings import (
    Endpoint,
    PlatformSettings as StandinSettings,
    VmSettings as ListedVm,
)

PROGRAM = """
from redwingpost.operator import Site

site = Site("semilla-andina")
plans = site.group("plans-1", connections=32)
plans.member("plans-1-a", "lima-1", "127.1.101.1", 3306)
site.organisation("diocese-puno", rate=120, burst=60).may_reach(plans)
site.kind("order", weight=4.0)
"""

#: Seconds to wait for the fleet to start or stop; reached only on a stalled
#: VM.
TIMEOUT_S = 30.0


class SmallFleet:
    """A platform and two agents that run in a thread."""

    def __init__(self) -> None:
        self._loop = new_event_loop()
        self._ready = ThreadEvent()
        self._done = Event()
        self._thread = Thread(target=self._run, daemon=True)
        self.url = ""
        self.agents: list[Agent] = []

    def start(self) -> None:
        """Start and wait until the agents have each other's heartbeats."""
        self._thread.start()
        if not self._ready.wait(TIMEOUT_S):
            raise TimeoutError("the fleet did not start")

    def stop(self) -> None:
        """Stop everything."""
        self._loop.call_soon_threadsafe(self._done.set)
        self._thread.join(TIMEOUT_S)

    def _run(self) -> None:
        self._loop.run_until_complete(self._serve())
        self._loop.close()

    async def _serve(self) -> None:
        async with kj_loop():
            settings = StandinSettings(
                listen=Endpoint("127.200.7.1"),
                faults=Endpoint("127.200.7.1"),
                list_lag_s=0.0,
            )
            platform = PlatformStandin(settings)
            await platform.start()
            self.url = platform.url
            for number in (1, 2):
                await self._start_agent(number, platform)
            while not all(map(self._knows_both_vms, self.agents)):
                await sleep(0.01)
            self._ready.set()
            await self._done.wait()
            for service in (*self.agents, platform):
                await service.stop()

    async def _start_agent(self, number: int, platform: Any) -> None:
        vm = VmSettings(f"vm-{number}", f"dc-{number}", f"127.47.{number}.1")
        agent = Agent(
            Settings(
                vm=vm,
                agent=AgentSettings(),
                platform=PlatformSettings(self.url),
            )
        )
        await agent.start()
        self.agents.append(agent)
        listed = ListedVm(vm.name, vm.data_centre, vm.ip, agent.server.port, 0)
        platform.vms.put(listed, now=0.0)

    def _knows_both_vms(self, agent: Agent) -> bool:
        return len(known_live_vms(agent)) == 2

    @property
    def address(self) -> str:
        """The first agent's address."""
        return f"127.47.1.1:{self.agents[0].server.port}"


class CtlTest(TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = SmallFleet()
        cls.fleet.start()
        cls.addClassCleanup(cls.fleet.stop)
        folder = TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name)

    def run_ctl(self, *arguments: str, code: int = 0) -> Any:
        """Run a command and return what it printed as JSON."""
        common = ["--json", "--who", "ana", "--platform", self.fleet.url]
        common += ["--agent", self.fleet.address]
        result = CliRunner().invoke(app, [*common, *arguments])
        self.assertEqual(result.exit_code, code, result.output)
        return loads(result.stdout)

    def write(self, name: str, content: bytes) -> str:
        """Write a file and return its path."""
        path = self.folder / name
        path.write_bytes(content)
        return str(path)

    def test_a_site_is_printed_and_validated(self):
        program = self.write("site.py", PROGRAM.encode())
        printed = CliRunner().invoke(app, ["print", program])
        self.assertEqual(printed.exit_code, 0)
        body = loads(printed.stdout)
        self.assertEqual(
            body["organisations"]["diocese-puno"]["groups"], ["plans-1"]
        )
        file = self.write("site.json", printed.stdout.encode())
        self.assertTrue(self.run_ctl("validate", file)["valid"])
        broken = self.write("broken.json", with_change(("site",), 1))
        refused = self.run_ctl("validate", broken, code=1)
        self.assertEqual(refused["code"], 20601)

    def test_operator_commands_in_sequence(self):
        first = self.write("first.json", dumps(GOOD).encode())
        self.assertEqual(
            self.run_ctl("submit", first, "--base", "0")["version"], 1
        )
        faster = with_change(PUNO + ("rate",), 240.0)
        second = self.write("second.json", faster)
        changes = self.run_ctl("submit", second, "--base", "1")["changes"]
        self.assertEqual(len(changes), 1)
        conflict = self.run_ctl("submit", second, "--base", "1", code=1)
        self.assertEqual(conflict["name"], "config-conflict")
        self.assertEqual(self.run_ctl("diff", "1", "2"), changes)
        granted = self.run_ctl("grant", "diocese-puno", "next")
        self.assertEqual(granted["hash"], hash_key(granted["key"]))
        self.assertNotIn(granted["key"], dumps(self.run_ctl("show")))
        withdrawn = self.run_ctl("withdraw", "diocese-puno", "next")
        self.assertEqual(withdrawn["recorded_version"], 4)
        self.assertEqual(withdrawn["told"], {"dc-1": "vm-1", "dc-2": "vm-2"})
        for agent in self.fleet.agents:
            known = agent.context.state.configuration.withdrawn
            self.assertIn(granted["hash"], {item.key_hash for item in known})
        drained = self.run_ctl("drain", "catalogue-1-a", "--undo")
        self.assertEqual(drained["version"], 5)
        audit = self.run_ctl("log", "--after", "3")
        self.assertEqual([entry["who"] for entry in audit], ["ana", "ana"])
        waiting = "no proxy takes the agent's feed"
        self.wait_for_reasons({"vm-1": waiting, "vm-2": waiting})
        self.check_evacuation()

    def check_evacuation(self) -> None:
        """Evacuate a data centre, end it, and try an unknown one."""
        groups = self.run_ctl("show")["groups"].values()
        members = [
            (member["data_centre"], name)
            for group in groups
            for name, member in group["members"].items()
        ]
        data_centre = members[0][0]
        expected = sorted(name for dc, name in members if dc == data_centre)
        self.run_ctl("evacuate", data_centre)
        shown = self.run_ctl("show")
        self.assertEqual(expected, shown["draining_members"])
        self.run_ctl("evacuate", data_centre, "--undo")
        self.assertEqual([], self.run_ctl("show")["draining_members"])
        refused = self.run_ctl("evacuate", "nowhere", code=1)
        self.assertEqual(refused["name"], "not-found")

    def wait_for_reasons(self, expected: dict[str, str]) -> None:
        """Poll the status until heartbeats have brought it up to date."""
        for _ in range(100):
            status = self.run_ctl("status")
            reasons = {line["vm"]: line["reason"] for line in status["vms"]}
            if status["version"] == 5 and reasons == expected:
                return
            pause(0.1)
        self.fail(f"{status}")

    def test_unknown_names(self):
        refused = self.run_ctl("grant", "nobody", "x", code=1)
        self.assertEqual(refused["name"], "not-found")

    def test_a_wrong_agent_address(self):
        result = CliRunner().invoke(app, ["--agent", "vm-1", "status"])
        self.assertEqual(result.exit_code, 2)
