"""Signals at any moment of a node's start."""

from asyncio import create_subprocess_exec, sleep, wait_for
from asyncio.subprocess import PIPE
from json import dumps
from os import environ
from pathlib import Path
from random import Random
from signal import SIGHUP, SIGINT, SIGTERM
from sys import executable
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

from redwingpost.bench.ports import find_free_port
from redwingpost.node.tests.line_site import NodeSite, until
from redwingpost.platform.settings import PATH_VARIABLE

#: Says when the signals are handled, so that the test can choose a moment
#: after that, and goes on as the program does.
_PROGRAM = (
    "from redwingpost.cli.early_signals import EarlySignals;"
    "early = EarlySignals(); early.install(); print(flush=True);"
    "from redwingpost.cli.node_program import run_node;"
    "import sys; sys.exit(run_node([], early))"
)

#: Seconds of a start, within which signals are sent.
_START_S = 0.5

#: Seconds within which a stopped node must have ended.
_GRACE_S = 6.0

_SEEDS = range(12)


class EarlySignalTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = NodeSite()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start(nodes=1)
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = Path(folder.name, "node.json")
        first = self.site.nodes[0]
        ip = f"{self.site._prefix}.9"
        ports = {
            "callers": find_free_port(ip),
            "ready": find_free_port(ip),
            "metrics": first.ports["metrics"],
        }
        value = self.site._settings("vm-9", ip, ports)
        self.settings.write_text(dumps(value))

    async def test_signals_while_a_node_starts(self) -> None:
        """Guards against nodes that a signal ends, or leaves unfinished.

        SIGHUP must not end a node that starts; SIGTERM and SIGINT end it with
        exit code 0 within the grace period.
        """
        for seed in _SEEDS:
            random = Random(seed)
            number = random.choice((SIGHUP, SIGTERM, SIGINT))
            at_s = random.uniform(0.0, _START_S)
            with self.subTest(seed=seed, signal=number.name, at_s=at_s):
                await self._play(number, at_s)

    async def _play(self, number: int, at_s: float) -> None:
        process = await create_subprocess_exec(
            executable,
            "-c",
            _PROGRAM,
            env={**environ, PATH_VARIABLE: str(self.settings)},
            stdout=PIPE,
        )
        try:
            await process.stdout.readline()
            await sleep(at_s)
            process.send_signal(number)
            if number == SIGHUP:
                lines = []
                while not any('"started"' in line for line in lines):
                    line = await wait_for(process.stdout.readline(), _GRACE_S)
                    self.assertTrue(line, "the node has ended")
                    lines.append(line.decode())
                process.send_signal(SIGTERM)
            await wait_for(process.communicate(), _GRACE_S)
            self.assertEqual(0, process.returncode)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def test_a_reload_between_reading_and_serving(self) -> None:
        """Guards against a reload that is lost while the node starts."""
        text = self.settings.read_text()
        changed = text.replace('"drainMs": 7000', '"drainMs": 8000')
        self.assertNotEqual(text, changed)
        # The settings have been read when the journal is set up.
        program = _PROGRAM.replace(
            "import sys;",
            "import sys, os, signal, redwingpost.cli.node_program as p;"
            "set_up = p.configure_journal;"
            "p.configure_journal = lambda: (set_up(),"
            f" open({str(self.settings)!r}, 'w').write({changed!r}),"
            " os.kill(os.getpid(), signal.SIGHUP));",
        )
        process = await create_subprocess_exec(
            executable,
            "-c",
            program,
            env={**environ, PATH_VARIABLE: str(self.settings)},
            stdout=PIPE,
        )
        lines = []

        async def has_read() -> bool:
            lines.append((await process.stdout.readline()).decode())
            return "settings-read" in lines[-1]

        try:
            await until(has_read, "the second reading")
            self.assertIn("drain_s", lines[-1])
        finally:
            process.kill()
            await process.wait()
