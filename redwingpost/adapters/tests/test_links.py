"""Link faults on loopback sockets, under several libraries.

No test measures time: a cut is detected by a missing answer while a
connection without faults has been answered twice.
"""

from asyncio import (
    create_task,
    current_task,
    gather,
    open_connection,
    start_server,
    wait_for,
)
from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientSession
from aiohttp.web import Application, AppRunner, Response, TCPSite
from asyncmy import connect
from capnp import AsyncIoStream, TwoPartyClient, TwoPartyServer, kj_loop

from redwingpost.adapters.link_rules import parse_rules
from redwingpost.adapters.links import (
    install_link_faults,
    mount_link_faults,
)
from redwingpost.standin import Endpoint, GroupSettings, GroupStandin
from redwingpost.wire.schema import SCHEMA

OWN = "127.1.1.1"
FAR = "127.2.1.9"
NEAR = "127.1.1.9"
TIMEOUT_S = 10.0


def rules(kind="cut", **options):
    body = {"from": "127.1.0.0/16", "to": "127.2.0.0/16", "kind": kind}
    return parse_rules({"rules": [{**body, **options}]}).ok


class LinkCase(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.faults = install_link_faults(OWN)
        self.seen = []
        self.serving = []
        self.dialled = []
        self.addAsyncCleanup(self.finish)
        self.far = await self.listen(FAR)
        self.near = await self.listen(NEAR)

    async def listen(self, ip):
        server = await start_server(self.echo, ip, 0)
        self.addCleanup(server.close)
        return server.sockets[0].getsockname()

    async def finish(self):
        """Close the connections of both sides before the loop ends."""
        self.faults.set_rules(())
        for writer in self.dialled:
            writer.close()
        await gather(*self.serving)
        self.faults.uninstall()

    async def echo(self, reader, writer):
        self.serving.append(current_task())
        while line := await reader.readline():
            self.seen.append(line)
            writer.write(line)
        self.seen.append(b"end")
        writer.close()

    async def dial(self, address):
        reader, writer = await open_connection(*address)
        self.dialled.append(writer)
        return reader, writer

    async def echo_line(self, connection, line):
        reader, writer = connection
        writer.write(line)
        return await wait_for(reader.readline(), TIMEOUT_S)

    async def pass_time(self):
        """Exchange two lines over a link without faults."""
        near = await self.dial(self.near)
        for _ in range(2):
            await self.echo_line(near, b"near\n")


class CutTest(LinkCase):
    async def test_cut_holds_bytes_until_it_heals(self):
        """A data centre is cut off while a connection is open.

        The connection stays open and nothing arrives; after the cut the
        bytes must arrive in order.
        """
        far = await self.dial(self.far)
        self.assertEqual(await self.echo_line(far, b"1\n"), b"1\n")
        self.faults.set_rules(rules())
        answer = create_task(self.echo_line(far, b"2\n"))
        await self.pass_time()
        self.assertNotIn(b"2\n", self.seen)
        self.faults.set_rules(())
        self.assertEqual(await answer, b"2\n")

    async def test_one_way_cuts(self):
        """Only one direction is cut: the peer receives or sends nothing."""
        for direction, arrives in (("in", True), ("out", False)):
            with self.subTest(direction=direction):
                line = direction.encode() + b"\n"
                far = await self.dial(self.far)
                await self.echo_line(far, b"1\n")
                self.faults.set_rules(rules(direction=direction))
                answer = create_task(self.echo_line(far, line))
                await self.pass_time()
                self.assertFalse(answer.done())
                self.assertEqual(line in self.seen, arrives)
                self.faults.set_rules(())
                self.assertEqual(await answer, line)

    async def test_connect_hangs_during_a_cut(self):
        """A connect during a cut hangs until the cut ends."""
        self.faults.set_rules(rules())
        dialling = create_task(self.dial(self.far))
        await self.pass_time()
        self.assertFalse(dialling.done())
        self.faults.set_rules(())
        far = await wait_for(dialling, TIMEOUT_S)
        self.assertEqual(await self.echo_line(far, b"1\n"), b"1\n")

    async def test_close_is_not_delivered_during_a_cut(self):
        """A caller closes during a cut; the peer must not be notified."""
        reader, writer = await self.dial(self.far)
        await self.echo_line((reader, writer), b"1\n")
        self.faults.set_rules(rules())
        writer.write(b"last\n")
        writer.close()
        await self.pass_time()
        self.assertNotIn(b"end", self.seen)
        self.faults.set_rules(())
        other = await self.dial(self.far)
        while b"end" not in self.seen:
            await self.echo_line(other, b"?\n")
        self.assertIn(b"last\n", self.seen)


class DelayTest(LinkCase):
    async def test_order_is_kept(self):
        """Delays and losses must not reorder or lose a byte."""
        for kind, options in (("delay", {"ms": 2}), ("loss", {"percent": 20})):
            with self.subTest(kind=kind):
                self.faults.set_rules(rules(kind, **options))
                far = await self.dial(self.far)
                lines = [b"%d\n" % number for number in range(20)]
                for line in lines:
                    far[1].write(line)
                got = [
                    await wait_for(far[0].readline(), TIMEOUT_S) for _ in lines
                ]
                self.assertEqual(got, lines)
                self.faults.set_rules(())

    async def test_many_at_once(self):
        self.faults.set_rules(rules("delay", ms=1))
        far = await gather(*(self.dial(self.far) for _ in range(20)))
        got = await gather(
            *(self.echo_line(one, b"%d\n" % n) for n, one in enumerate(far))
        )
        self.assertEqual(got, [b"%d\n" % n for n in range(20)])


class LibrariesTest(LinkCase):
    async def test_mysql_driver_is_cut_too(self):
        """A driver's query hangs during a cut and completes afterwards."""
        members = {"a": Endpoint(FAR)}
        group = GroupStandin(GroupSettings("g", members, connect_ms=0))
        await group.start()
        self.addAsyncCleanup(group.stop)
        port = group.members_by_name["a"].port
        driver = await connect(host=FAR, port=port, user="u", password="p")
        self.addCleanup(driver.close)
        self.faults.set_rules(rules())
        pending = create_task(self.select_one(driver))
        await self.pass_time()
        self.assertFalse(pending.done())
        self.faults.set_rules(rules("delay", ms=1))
        self.assertEqual(await wait_for(pending, TIMEOUT_S), ((1,),))

    async def select_one(self, driver):
        async with driver.cursor() as cursor:
            await cursor.execute("SELECT 1")
            return await cursor.fetchall()

    async def test_rpc_is_cut_too(self):
        """A call between two of the system's processes hangs in a cut."""
        async with kj_loop():
            server = await AsyncIoStream.create_server(serve_node, FAR, 0)
            port = server.sockets[0].getsockname()[1]
            stream = await AsyncIoStream.create_connection(FAR, port)
            client = TwoPartyClient(stream)
            node = client.bootstrap().cast_as(SCHEMA.Node)
            for rule in ((), rules("delay", ms=1)):
                self.faults.set_rules(rule)
                await wait_for(fleet_of(node), TIMEOUT_S)
            self.faults.set_rules(rules())
            pending = create_task(fleet_of(node))
            await self.pass_time()
            self.assertFalse(pending.done())
            self.faults.set_rules(())
            await wait_for(pending, TIMEOUT_S)
            stream.close()
            server.close()


class Node(SCHEMA.Node.Server):
    async def fleet(self, _context, **_):
        return None


async def serve_node(stream):
    await TwoPartyServer(stream, bootstrap=Node()).on_disconnect()


async def fleet_of(node):
    return await node.fleet()


class HttpTest(LinkCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        application = Application()
        mount_link_faults(application, self.faults)
        application.router.add_get("/", self.hello)
        runner = AppRunner(application, access_log=None)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await TCPSite(runner, FAR, 0).start()
        self.url = f"http://{FAR}:{runner.addresses[0][1]}"

    async def hello(self, request):
        return Response(text="hello")

    async def test_http_client_is_cut_too(self):
        async with ClientSession() as client:
            async with client.get(self.url) as answer:
                self.assertEqual(await answer.text(), "hello")
            self.faults.set_rules(rules())
            held = create_task(self.fetch(client))
            await self.pass_time()
            self.assertFalse(held.done())
            self.faults.set_rules(())
            self.assertEqual(await held, "hello")

    async def fetch(self, client):
        async with client.get(self.url) as answer:
            return await answer.text()

    async def test_rules_over_http(self):
        path = self.url + "/faults/links"
        rule = {"from": "127.1.1.1", "to": "127.3.0.0/16", "kind": "cut"}
        async with ClientSession() as client:
            async with client.post(path, json={"rules": [rule]}) as answer:
                self.assertEqual(answer.status, 200)
            async with client.get(path) as answer:
                shown = (await answer.json())["rules"]
            self.assertEqual([one["to"] for one in shown], ["127.3.0.0/16"])
            for body in (b"", b"[]", b'{"rules": [{}]}'):
                with self.subTest(body=body):
                    async with client.post(path, data=body) as answer:
                        self.assertEqual(answer.status, 400)
