"""How a member's refusals affect its health."""

from asyncio import (
    StreamReader,
    StreamWriter,
    create_task,
    new_event_loop,
    run_coroutine_threadsafe,
    sleep,
    start_server,
    wait_for,
)
from threading import Thread
from time import sleep as block
from unittest import IsolatedAsyncioTestCase

from redwingpost.node.member import MemberClient
from redwingpost.platform.member_link import LineLinkFactory
from redwingpost.ports.clock import MonotonicClock, VirtualClock
from redwingpost.ports.database import (
    FailureKind,
    LinkLost,
    MemberEntry,
    MemberFailure,
)

_ENTRY = MemberEntry("m1", "g", "ip", 1, "a", False, True)


class RefusingMember:
    """Opens no link: returns or raises the given failure."""

    def __init__(self, reason: MemberFailure | LinkLost) -> None:
        self._reason = reason

    async def open(
        self, entry: MemberEntry, organisation: str, timeout_s: float
    ) -> MemberFailure:
        """Return or raise the failure."""
        if isinstance(self._reason, LinkLost):
            raise self._reason
        return self._reason


class SilentMember:
    """Accepts connections after 50 ms and answers nothing else.

    It runs on a loop of its own, so that it goes on while the test's is held
    up.
    """

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self._loop = new_event_loop()
        Thread(target=self._loop.run_forever, daemon=True).start()

    def start(self) -> int:
        """Start to listen; return the port."""
        starting = start_server(self._serve, "127.0.0.1", 0)
        server = run_coroutine_threadsafe(starting, self._loop).result()
        return server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop the loop."""
        self._loop.call_soon_threadsafe(self._loop.stop)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        await reader.readuntil(b"\r\n")
        await sleep(0.05)
        writer.write(b"READY I -\r\n")
        self.lines.append(await reader.read(100))


class SuspensionTest(IsolatedAsyncioTestCase):
    async def test_a_command_behind_a_suspension(self) -> None:
        """Guards against a command that is sent late, and waited for ever."""
        member = SilentMember()
        self.addCleanup(member.stop)
        entry = _ENTRY._replace(ip="127.0.0.1", port=member.start())
        client = MemberClient(entry, LineLinkFactory(), MonotonicClock())
        resuming = create_task(client.send_command("resume"))
        await sleep(0.02)
        # The whole process stands still, past the command's time.
        block(1.0)
        self.assertIsNone(await wait_for(resuming, 5.0))
        self.assertNotIn(b"RESUME", b"".join(member.lines))


class RefusalTest(IsolatedAsyncioTestCase):
    async def test_a_full_member_is_not_lost(self) -> None:
        """Guards against replacing a primary that has no free connection."""
        full = MemberFailure(FailureKind.TOO_MANY_CONNECTIONS, "MAXCONN")
        other = MemberFailure(FailureKind.WRONG_MEMBER, "WRONGNODE")
        cases = (
            ("full", full, 0.0),
            ("another member at its address", other, 2.0),
            ("no answer", LinkLost("TimeoutError", sent=False), 2.0),
        )
        for name, reason, failing_s in cases:
            with self.subTest(name):
                clock = VirtualClock()
                client = MemberClient(_ENTRY, RefusingMember(reason), clock)
                clock.advance(2.0)
                self.assertIsNone(await client.send_command("status"))
                self.assertEqual(failing_s, client.failing_s)
                self.assertEqual(failing_s > 0.0, client.is_failing)
