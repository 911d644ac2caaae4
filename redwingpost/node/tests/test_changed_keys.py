"""Open transactions whose key a configuration withdraws or passes on."""

from asyncio import Event, create_task, sleep
from unittest import IsolatedAsyncioTestCase

from redwingpost.node.tests.line_site import (
    NodeSite,
    configuration,
    until_in_force,
)

_RATES = {"ratePerS": 500, "burst": 500}
_PARISH = {"name": "parish", "apiKeys": ["key-2"], **_RATES}


class ChangedKeyTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = NodeSite()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start(nodes=1)
        self.node = self.site.nodes[0]

    async def test_a_transaction_ends_with_its_ground(self) -> None:
        """Guards against statements that run for a former holder of a key.

        The key is passed on or withdrawn while a transaction is open, and
        its route may go in the same configuration.
        """
        passed = [
            {"name": "diocese", "apiKeys": ["key-1", "key-3"], **_RATES},
            _PARISH,
        ]
        gone = [{"name": "diocese", "apiKeys": ["key-3"], **_RATES}, _PARISH]
        first = configuration(1)
        others = [r for r in first["routes"] if r["host"] != "own"]
        cases = (
            ("passed on", {"tenants": passed}, "ABORTED"),
            ("withdrawn", {"tenants": gone}, "AUTHFAIL"),
            (
                "withdrawn with its route",
                {"tenants": gone, "routes": others},
                "AUTHFAIL",
            ),
            ("only its route is gone", {"routes": others}, ""),
        )
        version = 1
        for name, changes, code in cases:
            for last in ("READ k", "COMMIT"):
                with self.subTest(name, last=last):
                    version += 2
                    await self._configure(configuration(version))
                    caller = await self.node.caller("own")
                    await caller.run("BEGIN")
                    await caller.run("WRITE k v")
                    await self._configure(
                        configuration(version + 1, **changes)
                    )
                    answer = await caller.run(last)
                    self.assertEqual(code, answer.code)
                    caller.close()

    async def test_rows_that_come_after_the_key_has_passed_on(self) -> None:
        """Guards against rows of a key's former holder.

        The member answers only after the key is another organisation's. A
        write's answer is handed on: it has run.
        """
        passed = [
            {"name": "diocese", "apiKeys": ["key-1", "key-3"], **_RATES},
            _PARISH,
        ]
        goes_on = Event()

        async def wait(connection, request: str) -> None:
            if request.startswith("late"):
                await goes_on.wait()

        for server in self.site.standins.server_by_member.values():
            server.before_answer = wait
        version = 1
        cases = (
            ("", "READ k", "BUSY"),
            ("BEGIN", "READ k", "ABORTED"),
            ("BEGIN", "WRITE k v", "ABORTED"),
            ("", "WRITE k v", ""),
        )
        for begin, text, code in cases:
            with self.subTest(begin=begin, text=text):
                version += 2
                await self._configure(configuration(version))
                caller = await self.node.caller("own")
                if begin:
                    await caller.run(begin)
                goes_on.clear()
                late = create_task(caller.run_as(f"late-{version}", text))
                await sleep(0.1)
                await self._configure(
                    configuration(version + 1, tenants=passed)
                )
                goes_on.set()
                answer = await late
                self.assertEqual((code, ()), (answer.code, answer.rows))
                caller.close()

    async def _configure(self, value: dict) -> None:
        self.site.standins.configure(value)
        await until_in_force(self.node, value["configVersion"])
