"""Tests of RPC between the system's processes, on loopback sockets."""

from asyncio import Event, gather, run
from collections.abc import Awaitable, Callable
from functools import wraps
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import TestCase

from capnp import kj_loop

from redwingpost.adapters.peer import (
    NodeInterfaces,
    PeerAddress,
    PeerClients,
    PeerServer,
)
from redwingpost.adapters.tests.certificates import Authority
from redwingpost.adapters.tls import TlsContexts
from redwingpost.core import Code
from redwingpost.ports import VirtualClock
from redwingpost.wire.schema import SCHEMA

SERVER_IP, CLIENT_IP = "127.9.1.1", "127.9.1.2"
PLAIN = TlsContexts(None)

#: Long enough for a loaded computer; only calls that hang reach it.
TIMEOUT_S = 20.0


class EchoFleet(SCHEMA.Fleet.Server):
    """Answers calls of withdrawals at once, of configuration never."""

    async def withdrawals(self, known: Any, _context: Any, **kwargs: Any):
        _context.results.init("known", 1)[0].organisation = "echoed"

    async def configuration(self, above: int, _context: Any, **kwargs: Any):
        await Event().wait()


def call_withdrawals(node: Any) -> Any:
    """Make a call that is answered."""
    return node.fleet().fleet.withdrawals(known=[])


def call_unanswered(node: Any) -> Any:
    """Make a call that is never answered."""
    return node.fleet().fleet.configuration(above=0)


def in_kj_loop(test: Callable[[Any], Awaitable[None]]) -> Callable:
    """Run an async test method inside the loop that RPC needs."""

    @wraps(test)
    def wrapper(self: Any) -> None:
        async def body() -> None:
            async with kj_loop():
                await test(self)

        run(body())

    return wrapper


async def serve(tls: TlsContexts = PLAIN, port: int = 0) -> PeerServer:
    """Start a server of EchoFleet."""
    interfaces = NodeInterfaces()
    interfaces.fleet = EchoFleet()
    server = PeerServer(PeerAddress(SERVER_IP, port), interfaces, tls)
    await server.start()
    return server


class PeerTest(TestCase):
    @in_kj_loop
    async def test_calls_share_one_connection(self):
        server = await serve()
        clients = PeerClients(CLIENT_IP, PLAIN)
        address = PeerAddress(SERVER_IP, server.port)
        answers = await gather(
            *(
                clients.call(address, call_withdrawals, TIMEOUT_S)
                for _ in range(5)
            )
        )
        for answer in answers:
            self.assertEqual(answer.ok.known[0].organisation, "echoed")
        self.assertEqual(len(server._streams), 1)
        clients.close()
        await server.stop()

    @in_kj_loop
    async def test_a_call_times_out_at_its_deadline(self):
        # A peer is paused by its hypervisor. Without a timeout the
        # caller's heartbeats would wait for it, and the caller would
        # miss those of all other VMs.
        server = await serve()
        clock = VirtualClock()
        clients = PeerClients(CLIENT_IP, PLAIN, clock=clock)
        address = PeerAddress(SERVER_IP, server.port)
        refused = await clients.call(address, call_unanswered, 0.05)
        self.assertEqual(refused.error.code, Code.PEER_REFUSED)
        backing_off = await clients.call(address, call_withdrawals, TIMEOUT_S)
        self.assertEqual(backing_off.error.detail, "backing off")
        clock.advance(1.0)
        self.assertTrue(
            (await clients.call(address, call_withdrawals, TIMEOUT_S)).is_ok()
        )
        clients.close()
        await server.stop()

    @in_kj_loop
    async def test_a_restarted_peer_is_dialled_again(self):
        server = await serve()
        clock = VirtualClock()
        clients = PeerClients(CLIENT_IP, PLAIN, clock=clock)
        address = PeerAddress(SERVER_IP, server.port)
        self.assertTrue(
            (await clients.call(address, call_withdrawals, TIMEOUT_S)).is_ok()
        )
        await server.stop()
        self.assertTrue(
            (await clients.call(address, call_withdrawals, 1.0)).is_error()
        )
        again = await serve(port=server.port)
        clock.advance(5.0)
        self.assertTrue(
            (await clients.call(address, call_withdrawals, TIMEOUT_S)).is_ok()
        )
        clients.close()
        await again.stop()

    @in_kj_loop
    async def test_an_interface_that_is_not_served(self):
        server = await serve()
        clients = PeerClients(CLIENT_IP, PLAIN)
        address = PeerAddress(SERVER_IP, server.port)
        refused = await clients.call(
            address, lambda node: node.watch().watch.announce([]), TIMEOUT_S
        )
        self.assertIn("watch is not served", refused.error.detail)
        self.assertTrue(
            (await clients.call(address, call_withdrawals, TIMEOUT_S)).is_ok()
        )
        clients.close()
        await server.stop()


class MutualTlsTest(TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.fleet_authority = Authority("fleet")

    def contexts(self, authority: Authority, name: str) -> TlsContexts:
        """Return a VM's contexts, with its files in a separate folder."""
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        return TlsContexts(authority.write(folder, name))

    async def call_with(self, server: PeerServer, tls: TlsContexts) -> Any:
        clients = PeerClients(CLIENT_IP, tls)
        address = PeerAddress(SERVER_IP, server.port)
        answer = await clients.call(address, call_withdrawals, TIMEOUT_S)
        clients.close()
        return answer

    @in_kj_loop
    async def test_certificates_of_other_authorities_are_refused(self):
        # Another program on the same network connects to an agent without
        # TLS or with a certificate of another authority. It must not be
        # able to read the configuration or to withdraw a key.
        server = await serve(self.contexts(self.fleet_authority, "server"))
        fleet_peer = self.contexts(self.fleet_authority, "mate")
        stranger = self.contexts(Authority("other"), "stranger")
        trusting = self.contexts(Authority("third"), "trusting")
        trusting.client.load_verify_locations(
            str(self.folder / "server" / "authority.pem")
        )
        self.assertTrue((await self.call_with(server, fleet_peer)).is_ok())
        for tls in (PLAIN, stranger, trusting):
            refused = await self.call_with(server, tls)
            self.assertEqual(refused.error.code, Code.PEER_REFUSED)
        await server.stop()

    @in_kj_loop
    async def test_certificates_are_replaced_without_a_restart(self):
        tls = self.contexts(self.fleet_authority, "server")
        server = await serve(tls)
        self.assertFalse(tls.reload())
        broken = self.folder / "server" / "server.pem"
        broken.write_text("half a certi")
        self.assertFalse(tls.reload())
        old = self.contexts(self.fleet_authority, "mate")
        self.assertTrue((await self.call_with(server, old)).is_ok())
        fresh = Authority("fleet")
        fresh.write(self.folder / "server", "server")
        await server.reload_certificates()
        new = self.contexts(fresh, "mate-2")
        self.assertTrue((await self.call_with(server, new)).is_ok())
        self.assertTrue((await self.call_with(server, old)).is_error())
        await server.stop()
