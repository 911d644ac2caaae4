"""Normal operation of real processes against the simulated platform."""

from asyncio import gather
from signal import SIGTERM
from unittest import IsolatedAsyncioTestCase

from redwingpost.node.tests.line_caller import LineCaller
from redwingpost.node.tests.line_site import NodeSite, configuration, until


class NormalOperationTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = NodeSite()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start(nodes=2)
        self.node = self.site.nodes[0]

    async def test_each_kind_of_statement(self) -> None:
        caller = await self.node.caller("own")
        cases = (
            ("WRITE a 1", (), "", "I"),
            ("READ a", ("1",), "", "I"),
            ("SET tone low", (), "", "I"),
            ("PREPARE p READ q1", (), "", "I"),
            ("EXECUTE p a", ("1",), "", "I"),
            ("PREPARE w WRITE q2", (), "", "I"),
            ("EXECUTE w a 2", (), "", "I"),
            ("READ a", ("2",), "", "I"),
            ("CLOSE p", (), "", "I"),
            ("EXECUTE p a", (), "NOSTMT", "I"),
            ("BEGIN", (), "", "T"),
            ("WRITE a 3", (), "", "T"),
            ("READ a", ("3",), "", "T"),
            ("ROLLBACK", (), "", "I"),
            ("READ a", ("2",), "", "I"),
            ("BEGIN READ", (), "", "T"),
            ("READ a", ("2",), "", "T"),
            ("COMMIT", (), "", "I"),
            ("BEGIN", (), "", "T"),
            ("EXECUTE w a 4", (), "", "T"),
            ("COMMIT", (), "", "I"),
            ("READ a", ("4",), "", "I"),
            ("STATUS", (), "MALFORMED", "I"),
        )
        for text, rows, code, state in cases:
            with self.subTest(text):
                answer = await caller.run(text)
                self.assertEqual((rows, code, state), answer[:3])

    async def test_another_session_reads_what_was_acknowledged(self) -> None:
        writer = await self.node.caller("strict")
        reader = await self.site.nodes[1].caller("strict")
        for number in range(10):
            await writer.run(f"WRITE b {number}")
            answer = await reader.run("READ b")
            self.assertEqual((str(number),), answer.rows)

    async def test_replicas_serve_reads_of_a_stated_age(self) -> None:
        writer = await self.node.caller("own")
        await writer.run("WRITE c 1")
        callers = [await self.node.caller("stated") for _ in range(6)]
        for _ in range(5):
            await gather(*(caller.run("READ c") for caller in callers))
        standins = self.site.standins
        replicas = [
            server.member
            for server in standins.server_by_member.values()
            if not server.member.is_primary
        ]
        self.assertTrue(any(member.runs for member in replicas))

    async def test_members_receive_organisations_but_no_keys(
        self,
    ) -> None:
        for key in ("key-1", "key-3"):
            caller = await self.node.caller("own", key)
            await caller.run("READ d")
        servers = self.site.standins.server_by_member.values()
        named = {name for server in servers for name in server.organisations}
        self.assertLessEqual({"parish", "diocese"}, named)
        self.assertFalse([name for name in named if name.startswith("key")])

    async def test_values_of_one_session_never_reach_another(self) -> None:
        first = await self.node.caller("own")
        second = await self.node.caller("own")
        await first.run("PREPARE same READ q-first")
        await second.run("PREPARE same WRITE q-second")
        await second.run("EXECUTE same e 1")
        self.assertEqual(("1",), (await first.run("EXECUTE same e")).rows)

    async def test_which_sessions_may_open(self) -> None:
        cases = (
            ("own", "key-1", "READY"),
            ("own", "stranger", "AUTHFAIL"),
            ("nowhere", "key-1", "NODB"),
        )
        for database, key, expected in cases:
            with self.subTest(database=database, key=key):
                caller = await LineCaller.connect(
                    self.node.ip, self.node.ports["callers"]
                )
                self.assertEqual(expected, await caller.start(database, key))

    async def test_a_withdrawn_key_is_refused_on_open_sessions(self) -> None:
        caller = await self.node.caller("own", "key-1")
        other = await self.node.caller("own", "key-2")
        self.assertEqual("", (await caller.run("READ f")).code)
        changed = configuration(2)
        changed["tenants"][0]["apiKeys"] = ["key-2"]
        self.site.standins.configure(changed)

        async def is_refused() -> bool:
            return (await caller.run("READ f")).code == "AUTHFAIL"

        await until(is_refused)
        self.assertEqual("", (await other.run("READ f")).code)

    async def test_the_metrics_count_open_sessions(self) -> None:
        callers = [await self.node.caller("own") for _ in range(3)]

        async def counts_all() -> bool:
            line = f"redwing_sessions {float(len(callers))}"
            return line in await self.node.metrics()

        await until(counts_all, "all sessions in the metrics")

    async def test_a_stop_ends_transactions_and_loses_nothing(self) -> None:
        caller = await self.node.caller("own")
        await caller.run("BEGIN")
        await caller.run("WRITE g 1")
        self.node.process.send_signal(SIGTERM)
        await until(self._is_unready)
        answer = await caller.run("COMMIT")
        self.assertEqual(("", "I"), (answer.code, answer.state))
        self.assertEqual(0, await self.node.end())
        errors = (await self.node.process.stderr.read()).decode()
        self.assertEqual("", errors)

    async def _is_unready(self) -> bool:
        return not await self.node.is_ready()
