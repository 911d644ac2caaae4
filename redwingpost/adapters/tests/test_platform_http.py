"""Tests of what a failed call to the platform says about the store."""

from asyncio import Event, run, start_server
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import TestCase

from redwingpost.adapters.platform_http import HttpPlatform
from redwingpost.core import Code
from redwingpost.ports import Condition, Row, TransactResult, VmEntry, Write
from redwingpost.settings import PlatformSettings

IP = "127.9.2.1"
CONDITIONS = (Condition("t", "k", 1),)
WRITES = (Write("t", "k", {"a": 1}),)


def answer(status: int, body: bytes = b"{}") -> bytes:
    """Return a whole HTTP answer."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"Content-Type: application/json\r\n\r\n" + body


async def ask(
    sent: bytes | None,
    call: Callable[[HttpPlatform], Awaitable[Any]],
    timeout_s: float = 10.0,
) -> Any:
    """Call a platform that sends ``sent``; None keeps it silent."""
    done = Event()

    async def serve(reader: Any, writer: Any) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if sent is None:
            await done.wait()
            writer.close()
            return
        writer.write(sent)
        await writer.drain()
        writer.close()

    server = await start_server(serve, IP, 0)
    port = server.sockets[0].getsockname()[1]
    settings = PlatformSettings(f"http://{IP}:{port}", timeout_s)
    platform = HttpPlatform(settings)
    result = await call(platform)
    await platform.on_stop()
    done.set()
    server.close()
    return result


def transact(platform: HttpPlatform) -> Awaitable[Any]:
    """Make the change that the tests use."""
    return platform.transact(CONDITIONS, WRITES)


class LostAnswerTest(TestCase):
    def test_what_a_failed_change_says(self):
        # The platform refuses a change, or breaks off before or after
        # it took effect. An operator told "not taken" would submit a
        # second time what already stands; so that is said only where it
        # is proven.
        unavailable = Code.STORE_UNAVAILABLE
        unknown = Code.STORE_OUTCOME_UNKNOWN
        table = [
            (answer(429), unavailable),
            (answer(503), unavailable),
            (answer(500), unknown),
            (answer(502), unknown),
            (answer(504), unknown),
            (answer(200, b"{"), unknown),
            (answer(200, b"{}"), unknown),
            (answer(200, b"[]"), unknown),
            (answer(200, b"{}")[:-1], unknown),
            (b"", unknown),
            (b"nonsense\r\n\r\n", unknown),
        ]
        for sent, code in table:
            with self.subTest(sent=sent):
                result = run(ask(sent, transact))
                self.assertEqual(result.error.code, code)

    def test_a_silent_platform(self):
        result = run(ask(None, transact, timeout_s=0.2))
        self.assertEqual(result.error.code, Code.STORE_OUTCOME_UNKNOWN)

    def test_a_refused_connection(self):
        platform = HttpPlatform(PlatformSettings(f"http://{IP}:1"))

        async def call() -> Any:
            result = await transact(platform)
            await platform.on_stop()
            return result

        self.assertEqual(run(call()).error.code, Code.STORE_UNAVAILABLE)

    def test_a_failed_read_has_no_effect(self):
        for sent in (answer(500), answer(503), answer(200, b"{"), b""):
            with self.subTest(sent=sent):
                result = run(ask(sent, lambda p: p.read("t", "k")))
                self.assertEqual(result.error.code, Code.STORE_UNAVAILABLE)


class AnswerTest(TestCase):
    def test_answers_are_read(self):
        row = b'{"key": "k", "version": 3, "value": {"a": 1}}'
        conflict = b'{"conflicts": [{"table": "t", ' + row[1:] + b"]}"
        vm = (
            b'{"vm": "v", "data_centre": "d", "ip": "127.0.0.1", '
            b'"agent_port": 1, "proxy_port": 2, "state": "live", "x": 0}'
        )
        stands = Row("t", "k", 3, {"a": 1})
        table = [
            (answer(404), lambda p: p.read("t", "k"), None),
            (answer(200, row), lambda p: p.read("t", "k"), stands),
            (
                answer(200, b'{"rows": [' + row + b"]}"),
                lambda p: p.scan("t"),
                (stands,),
            ),
            (
                answer(200, b'{"versions": [4]}'),
                transact,
                TransactResult(True, (4,), ()),
            ),
            (
                answer(409, conflict),
                transact,
                TransactResult(False, (), (stands,)),
            ),
            (answer(200, b"body"), lambda p: p.get("o"), b"body"),
            (answer(404), lambda p: p.get("o"), None),
            (answer(200), lambda p: p.put("o", b"body"), None),
            (
                answer(200, b'{"vms": [' + vm + b"]}"),
                lambda p: p.vms(),
                (VmEntry("v", "d", "127.0.0.1", 1, 2, "live"),),
            ),
        ]
        for sent, call, expected in table:
            with self.subTest(sent=sent):
                result = run(ask(sent, call))
                self.assertEqual(result.ok, expected)
