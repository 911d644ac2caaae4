"""Fuzzing: malformed packets before and after the key check.

The proxy must answer with an error packet or close the connection. It
must not crash, hang or admit a client without a key, and must continue
to serve other callers.
"""

from asyncio import open_connection, run, wait_for
from hashlib import sha1
from logging import CRITICAL, getLogger
from random import Random
from unittest import TestCase

from asyncmy import connect
from expression import Ok
from loguru import logger

from redwingpost.adapters.mysql_server import CallerServer
from redwingpost.ports import StatementResult

IP = "127.1.1.77"
KEY = "a-key-for-the-test"
TIMEOUT_S = 10.0

#: PROTOCOL_41, SECURE_CONNECTION, PLUGIN_AUTH, QUERY_ATTRIBUTES.
CAPABILITIES = 1 << 9 | 1 << 15 | 1 << 19 | 1 << 27

#: Connections that send garbage before the key check, and packets of
#: garbage after it.
GREETINGS = 1000
COMMANDS = 4000


class FixedKeys:
    """An authenticator with one organisation's key."""

    def key_hashes(self, organisation):
        if organisation != "diocese-puno":
            return ()
        return (sha1(sha1(KEY.encode()).digest()).hexdigest(),)


class Handler:
    """Counts statements; answers each with an empty result."""

    in_transaction = False
    autocommit = True
    statements = 0

    async def handle(self, sql, attributes):
        Handler.statements += 1
        return Ok(StatementResult((), (), 0, 0))

    async def use(self, group):
        return Ok(None)

    async def reset(self):
        return None

    async def close(self):
        return None


def random_packet(random, sequence):
    """Return a packet whose length or sequence number may be wrong."""
    body = random.randbytes(random.choice((0, 1, 5, 40, 300)))
    length = len(body)
    if random.random() < 0.1:
        length = random.choice((0, length + 1, 0xFFFFFF))
    if random.random() < 0.1:
        sequence = random.randrange(256)
    return length.to_bytes(3, "little") + bytes([sequence]) + body


def damaged_handshake(random):
    """Return a valid handshake, truncated and with a few bytes changed."""
    body = bytearray(handshake(b"\0" * 20))
    for _ in range(random.randint(0, 4)):
        body[random.randrange(len(body))] = random.randrange(256)
    body = body[: random.randint(0, len(body))]
    return len(body).to_bytes(3, "little") + b"\1" + bytes(body)


def random_command(random):
    """Return a packet with a known command as its first byte."""
    body = random.randbytes(random.choice((0, 2, 9, 30, 120)))
    command = bytes([random.choice(range(0x20))])
    if random.random() < 0.3:
        body = b"SELECT ?, '?' FROM t" + body[:4]
    payload = command + body
    return len(payload).to_bytes(3, "little") + b"\0" + payload


async def greet_with_garbage(port, random):
    """Answer the greeting with garbage; wait until the proxy closes."""
    reader, writer = await open_connection(IP, port)
    await wait_for(reader.read(4096), TIMEOUT_S)
    if random.random() < 0.5:
        writer.write(damaged_handshake(random))
    else:
        for sequence in range(1, random.randint(2, 4)):
            writer.write(random_packet(random, sequence))
    writer.write_eof()
    while await wait_for(reader.read(65536), TIMEOUT_S):
        pass
    writer.close()


def greeting_nonce(greeting):
    """Return the nonce of a greeting packet, without its header."""
    at = greeting.index(b"\0", 5) + 5
    return greeting[at : at + 8] + greeting[at + 27 : at + 39]


def scramble(nonce):
    """Return the response to a nonce for the key."""
    once = sha1(KEY.encode()).digest()
    mask = sha1(nonce + sha1(once).digest()).digest()
    return bytes(a ^ b for a, b in zip(once, mask))


def handshake(proof):
    """Return the body of a handshake response with the given proof."""
    body = CAPABILITIES.to_bytes(4, "little") + b"\0\0\0\1" + b"\x2d"
    body += b"\0" * 23 + b"diocese-puno\0" + b"\x14" + proof
    return body + b"mysql_native_password\0"


async def log_in(port):
    """Return a raw connection after a successful key check."""
    reader, writer = await open_connection(IP, port)
    greeting = await wait_for(reader.read(4096), TIMEOUT_S)
    body = handshake(scramble(greeting_nonce(greeting)))
    writer.write(len(body).to_bytes(3, "little") + b"\1" + body)
    answer = await wait_for(reader.read(4096), TIMEOUT_S)
    assert answer[4] == 0, answer
    return reader, writer


async def send_garbage_commands(port, random, count):
    """Send commands over connections that the proxy may close."""
    sent = 0
    while sent < count:
        reader, writer = await log_in(port)
        for _ in range(random.randint(1, 20)):
            writer.write(random_command(random))
            sent += 1
        writer.write_eof()
        while await wait_for(reader.read(65536), TIMEOUT_S):
            pass
        writer.close()


async def run_attack(attack):
    """Run an attack, then check that a driver is still served."""
    server = CallerServer(IP, 0, FixedKeys(), lambda *_: Handler())
    await server.start()
    try:
        before = Handler.statements
        await attack(server.port)
        attacked = Handler.statements - before
        driver = await connect(
            host=IP, port=server.port, user="diocese-puno", password=KEY
        )
        async with driver.cursor() as cursor:
            await cursor.execute("SELECT 1")
        driver.close()
        return attacked
    finally:
        await server.stop()


class FuzzPacketsTest(TestCase):
    def setUp(self):
        getLogger("mysql_mimic").setLevel(CRITICAL)
        logger.disable("redwingpost.adapters.mysql_server")
        self.addCleanup(logger.enable, "redwingpost.adapters.mysql_server")

    def test_unterminated_strings(self):
        """A string in a packet has no zero byte at its end.

        The library's parser would loop for ever, for a handshake of any
        client, a change of user or a field list.
        """

        async def attack(port):
            handshake = b"\xff" * 8 + b"\x2d" + b"\0" * 23 + b"no-end"
            for head, body in ((b"\1", handshake),):
                reader, writer = await open_connection(IP, port)
                size = len(body).to_bytes(3, "little")
                writer.write(size + head + body)
                writer.write_eof()
                while await wait_for(reader.read(65536), TIMEOUT_S):
                    pass
                writer.close()
            for command in (b"\x11user", b"\x11u\0\x05abc", b"\x04table"):
                reader, writer = await log_in(port)
                size = len(command).to_bytes(3, "little")
                writer.write(size + b"\0" + command)
                writer.write_eof()
                while await wait_for(reader.read(65536), TIMEOUT_S):
                    pass
                writer.close()

        run(run_attack(attack))

    def test_unauthenticated_clients_run_no_statement(self):
        async def attack(port):
            random = Random(1)
            for _ in range(GREETINGS):
                await greet_with_garbage(port, random)

        self.assertEqual(run(run_attack(attack)), 0)

    def test_malformed_packets_of_authenticated_callers(self):
        async def attack(port):
            await send_garbage_commands(port, Random(2), COMMANDS)

        run(run_attack(attack))
