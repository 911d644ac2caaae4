"""Tests of the platform stand-in over HTTP."""

from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientError, ClientSession

from redwingpost.standin import PlatformSettings, PlatformStandin, VmSettings
from redwingpost.standin.tests.support import inject_fault

VM = VmSettings("vm-1", "lima-1", "127.1.1.1", 7002, 3306)


class PlatformTest(IsolatedAsyncioTestCase):
    settings = PlatformSettings(list_lag_s=0.0, vms=(VM,))

    async def asyncSetUp(self):
        self.platform = PlatformStandin(self.settings)
        await self.platform.start()
        self.addAsyncCleanup(self.platform.stop)
        self.client = ClientSession(self.platform.url)
        self.addAsyncCleanup(self.client.close)

    async def inject_fault(self, fault, **arguments):
        status, answer = await inject_fault(
            self.platform.fault_address, fault, **arguments
        )
        self.assertEqual(status, 200, answer)
        return answer

    async def transact(self, conditions, writes):
        body = {"conditions": conditions, "writes": writes}
        async with self.client.post("/v1/transact", json=body) as answer:
            return answer.status, await answer.json()

    async def get(self, path):
        async with self.client.get(path) as answer:
            body = await answer.json() if answer.status == 200 else None
            return answer.status, body

    async def test_conditional_transaction(self):
        absent = {"table": "t", "key": "a", "version": 0}
        write = {"table": "t", "key": "a", "value": {"x": 1}}
        first = await self.transact([absent], [write])
        self.assertEqual(first, (200, {"versions": [1]}))
        status, body = await self.transact([absent], [write])
        self.assertEqual(status, 409)
        row = {"table": "t", "key": "a", "version": 1, "value": {"x": 1}}
        self.assertEqual(body, {"conflicts": [row]})
        found = await self.get("/v1/tables/t/a")
        self.assertEqual(found, (200, {"version": 1, "value": {"x": 1}}))

    async def test_scan_in_key_order(self):
        writes = [
            {"table": "t", "key": key, "value": {}}
            for key in ("v/2", "v/1", "w", "v/3")
        ]
        await self.transact([], writes)
        table = [
            ("prefix=v/", ["v/1", "v/2", "v/3"]),
            ("prefix=v/&after=v/1", ["v/2", "v/3"]),
            ("after=v/2&limit=1", ["v/3"]),
            ("prefix=x", []),
        ]
        for query, keys in table:
            with self.subTest(query=query):
                _, body = await self.get(f"/v1/tables/t?{query}")
                self.assertEqual([row["key"] for row in body["rows"]], keys)

    async def test_malformed_transactions(self):
        table = [b"", b"[]", b'{"writes": [{}]}', b'{"writes": 3}', b"\xff"]
        for body in table:
            with self.subTest(body=body):
                async with self.client.post(
                    "/v1/transact", data=body
                ) as answer:
                    self.assertEqual(answer.status, 400)

    async def test_objects(self):
        async with self.client.put("/v1/objects/a/b", data=b"\x00x") as done:
            self.assertEqual(done.status, 200)
        async with self.client.get("/v1/objects/a/b") as answer:
            self.assertEqual(await answer.read(), b"\x00x")
        self.assertEqual((await self.get("/v1/objects/none"))[0], 404)

    async def test_fault_commands_change_the_vm_list(self):
        await self.inject_fault("vm-leaving", vm="vm-1")
        _, body = await self.get("/v1/vms")
        states = [(vm["vm"], vm["state"]) for vm in body["vms"]]
        self.assertEqual(states, [("vm-1", "leaving")])
        await self.inject_fault("vm-remove", vm="vm-1")
        self.assertEqual((await self.get("/v1/vms"))[1], {"vms": []})

    async def test_outage_refuses_and_ends(self):
        await self.inject_fault("outage")
        self.assertEqual((await self.get("/v1/vms"))[0], 503)
        await self.inject_fault("recover")
        self.assertEqual((await self.get("/v1/vms"))[0], 200)

    async def test_write_with_lost_answer_is_applied(self):
        """The platform applies a write, but its answer never arrives."""
        await self.inject_fault("lose-answer", match="marked")
        write = {"table": "t", "key": "marked", "value": {}}
        other = {"table": "t", "key": "plain", "value": {}}
        self.assertEqual((await self.transact([], [other]))[0], 200)
        with self.assertRaises(ClientError):
            await self.transact([], [write])
        self.assertEqual((await self.get("/v1/tables/t/marked"))[0], 200)


class LimitsTest(IsolatedAsyncioTestCase):
    async def test_too_many_requests(self):
        """Above its rate limits the platform answers 429 and does nothing."""
        settings = PlatformSettings(writes_per_s=1.0, reads_per_s=0.0)
        platform = PlatformStandin(settings)
        await platform.start()
        self.addAsyncCleanup(platform.stop)
        async with ClientSession(platform.url) as client:
            async with client.get("/v1/vms") as answer:
                self.assertEqual(answer.status, 429)
