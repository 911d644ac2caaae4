"""Tests of the result codes of failed calls to the platform."""

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


def http_response(status: int, body: bytes = b"{}") -> bytes:
    """Return a complete HTTP response."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"Content-Type: application/json\r\n\r\n" + body


async def call_platform(
    sent: bytes | None,
    call: Callable[[HttpPlatform], Awaitable[Any]],
    timeout_s: float = 10.0,
) -> Any:
    """Call a platform that sends ``sent``; with None it never answers."""
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
    """Send the change that the tests use."""
    return platform.transact(CONDITIONS, WRITES)


class LostAnswerTest(TestCase):
    def test_result_code_of_a_failed_change(self):
        # The platform refuses a change, or fails before or after it took
        # effect. If a change that took effect is reported as refused, an
        # operator would submit it twice; so it may be reported only if
        # that is certain.
        unavailable = Code.STORE_UNAVAILABLE
        unknown = Code.STORE_OUTCOME_UNKNOWN
        table = [
            (http_response(429), unavailable),
            (http_response(503), unavailable),
            (http_response(500), unknown),
            (http_response(502), unknown),
            (http_response(504), unknown),
            (http_response(200, b"{"), unknown),
            (http_response(200, b"{}"), unknown),
            (http_response(200, b"[]"), unknown),
            (http_response(200, b"{}")[:-1], unknown),
            (b"", unknown),
            (b"nonsense\r\n\r\n", unknown),
        ]
        for sent, code in table:
            with self.subTest(sent=sent):
                result = run(call_platform(sent, transact))
                self.assertEqual(result.error.code, code)

    def test_an_unanswered_change_has_an_unknown_outcome(self):
        result = run(call_platform(None, transact, timeout_s=0.2))
        self.assertEqual(result.error.code, Code.STORE_OUTCOME_UNKNOWN)

    def test_a_refused_connection(self):
        platform = HttpPlatform(PlatformSettings(f"http://{IP}:1"))

        async def call() -> Any:
            result = await transact(platform)
            await platform.on_stop()
            return result

        self.assertEqual(run(call()).error.code, Code.STORE_UNAVAILABLE)

    def test_a_failed_read_has_no_effect(self):
        for sent in (
            http_response(500),
            http_response(503),
            http_response(200, b"{"),
            b"",
        ):
            with self.subTest(sent=sent):
                result = run(call_platform(sent, lambda p: p.read("t", "k")))
                self.assertEqual(result.error.code, Code.STORE_UNAVAILABLE)


class AnswerTest(TestCase):
    def test_answers_are_read(self):
        row = b'{"key": "k", "version": 3, "value": {"a": 1}}'
        conflict = b'{"conflicts": [{"table": "t", ' + row[1:] + b"]}"
        vm = (
            b'{"vm": "v", "data_centre": "d", "ip": "127.0.0.1", '
            b'"agent_port": 1, "proxy_port": 2, "state": "live", "x": 0}'
        )
        stored_row = Row("t", "k", 3, {"a": 1})
        table = [
            (http_response(404), lambda p: p.read("t", "k"), None),
            (http_response(200, row), lambda p: p.read("t", "k"), stored_row),
            (
                http_response(200, b'{"rows": [' + row + b"]}"),
                lambda p: p.scan("t"),
                (stored_row,),
            ),
            (
                http_response(200, b'{"versions": [4]}'),
                transact,
                TransactResult(True, (4,), ()),
            ),
            (
                http_response(409, conflict),
                transact,
                TransactResult(False, (), (stored_row,)),
            ),
            (http_response(200, b"body"), lambda p: p.get("o"), b"body"),
            (http_response(404), lambda p: p.get("o"), None),
            (http_response(200), lambda p: p.put("o", b"body"), None),
            (
                http_response(200, b'{"vms": [' + vm + b"]}"),
                lambda p: p.vms(),
                (VmEntry("v", "d", "127.0.0.1", 1, 2, "live"),),
            ),
        ]
        for sent, call, expected in table:
            with self.subTest(sent=sent):
                result = run(call_platform(sent, call))
                self.assertEqual(result.ok, expected)
