"""Fuzzing: malformed messages end their connection, others continue."""

from asyncio import open_connection, run, wait_for
from random import Random
from unittest import TestCase

from capnp import kj_loop

from redwingpost.adapters.peer import (
    NodeInterfaces,
    PeerAddress,
    PeerClients,
    PeerServer,
)
from redwingpost.adapters.tls import TlsContexts
from redwingpost.core import Code

IP = "127.1.1.78"
TIMEOUT_S = 10.0
INPUTS = 600


def random_message(random):
    """Return random bytes, or a frame whose header is wrong."""
    body = random.randbytes(8 * random.randint(0, 12))
    if random.random() < 0.5:
        return body
    segments = random.choice((0, 0, 1, 511, 0xFFFFFFFF))
    words = random.choice((len(body) // 8, 1, 2**20, 2**31))
    head = segments.to_bytes(4, "little") + words.to_bytes(4, "little")
    return head + body


async def attack(port):
    """Send every message over a connection of its own."""
    random = Random(3)
    for _ in range(INPUTS):
        reader, writer = await open_connection(IP, port)
        writer.write(random_message(random))
        writer.write_eof()
        try:
            while await wait_for(reader.read(65536), TIMEOUT_S):
                pass
        except ConnectionError:
            pass
        writer.close()


async def serve_under_attack():
    """Return the answer to a valid call after the attack."""
    async with kj_loop():
        tls = TlsContexts(None)
        server = PeerServer(PeerAddress(IP, 0), NodeInterfaces(), tls)
        await server.start()
        await attack(server.port)
        clients = PeerClients("", tls, seed=1)
        address = PeerAddress(IP, server.port)
        answer = await clients.call(
            address, lambda node: node.watch().watch.announce([]), TIMEOUT_S
        )
        clients.close()
        await server.stop()
        return answer


class FuzzPeerTest(TestCase):
    def test_malformed_message_ends_only_its_connection(self):
        answer = run(serve_under_attack())
        # The server has no interfaces; its answer shows that it still
        # runs.
        self.assertEqual(answer.error.code, Code.PEER_REFUSED)
        self.assertIn("not served here", answer.error.detail)
