"""Tests of a connection to a member: pipelining and answers."""

from asyncio import (
    CancelledError,
    Future,
    StreamReader,
    StreamWriter,
    create_task,
    get_running_loop,
    sleep,
    start_server,
    wait_for,
)
from unittest import IsolatedAsyncioTestCase

from redwingpost.core.statements import Shape, Statement, StatementKind
from redwingpost.platform.member_link import LineLink, LineLinkFactory
from redwingpost.ports.database import FailureKind, MemberEntry
from redwingpost.statements.setup import Discard, Prepare, SetValue

_PREPARE = Prepare("p1", Shape(False, "q2"))
_EXECUTE = Statement(
    "7", StatementKind.EXECUTE, "EXECUTE mine 1a", "mine", "1a"
)


class ScriptedMember:
    """Sends its answers only after it has received a line for each."""

    def __init__(self, answers: list[str]) -> None:
        self.lines: list[str] = []
        self._answers = answers

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Accept STARTUP, read all lines, then send all answers."""
        await reader.readuntil(b"\r\n")
        writer.write(b"READY I -\r\n")
        for _ in self._answers:
            line = await reader.readuntil(b"\r\n")
            self.lines.append(line.decode().rstrip())
        for answer in self._answers:
            writer.write(f"{answer}\r\nREADY I -\r\n".encode())
        await reader.read()
        writer.close()


class MemberLinkTest(IsolatedAsyncioTestCase):
    async def _open(self, answers: list[str]) -> LineLink:
        self.member = ScriptedMember(answers)
        server = await start_server(self.member.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        entry = MemberEntry("m", "g", "127.0.0.1", port, "a", False, True)
        link = await LineLinkFactory().open(entry, "parish", 5.0)
        self.addCleanup(link.close)
        return link

    async def test_a_command_that_is_given_up(self) -> None:
        """Guards against a RESUME that arrives after a later PAUSE."""
        ended: Future[type] = get_running_loop().create_future()

        async def serve(reader: StreamReader, writer: StreamWriter) -> None:
            await reader.readuntil(b"\r\n")
            writer.write(b"READY I -\r\n")
            await reader.readuntil(b"\r\n")
            try:
                ended.set_result(await reader.read())
            except ConnectionResetError:
                ended.set_result(ConnectionResetError)
            writer.close()

        server = await start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        entry = MemberEntry("m", "g", "127.0.0.1", port, "a", False, True)
        link = await LineLinkFactory().open(entry, "parish", 5.0)
        with self.assertRaises(TimeoutError):
            await wait_for(link.resume(), 0.1)
        self.assertIs(ConnectionResetError, await wait_for(ended, 5.0))
        self.assertFalse(link.is_open)

    async def test_a_connection_that_ended_as_it_is_given_up(self) -> None:
        """Guards against a takeover that ends by an error of a socket."""
        link = await self._open(["COMPLETE -"])
        waiting = create_task(link._exchange("QUERY - PAUSE 2"))
        await sleep(0.01)
        link._writer.get_extra_info("socket")._sock.close()
        waiting.cancel()
        with self.assertRaises(CancelledError):
            await waiting

    async def test_all_set_up_steps_are_sent_together(self) -> None:
        """Set-up steps are sent one by one, each after the last answer.

        The caller would wait one round trip for each. This member answers
        none before it has received all.
        """
        link = await self._open(["COMPLETE -"] * 3)
        steps = (Discard(), SetValue("a", "1"), SetValue("b", "2"))
        replies = await link.set_up(steps)
        self.assertEqual([None] * 3, [reply.failure for reply in replies])
        expected = ["DISCARD", "SET a 1", "SET b 2"]
        self.assertEqual(
            [f"QUERY - {text}" for text in expected], self.member.lines
        )

    async def test_each_step_has_its_own_answer(self) -> None:
        link = await self._open(["COMPLETE -", "ERROR BUSY full"])
        replies = await link.set_up((SetValue("a", "1"), SetValue("b", "2")))
        kinds = [r.failure and r.failure.kind for r in replies]
        self.assertEqual([None, FailureKind.FULL], kinds)

    async def test_a_shape_is_prepared_before_its_execution(self) -> None:
        """A member refuses to prepare the shape that a caller executes.

        The caller must get that refusal: "not prepared" would be wrong
        for a name that it has prepared.
        """
        cases = (
            (["COMPLETE -", "COMPLETE 1.p"], None),
            (["ERROR BUSY full", "ERROR NOSTMT p1"], FailureKind.FULL),
        )
        for answers, expected in cases:
            with self.subTest(answers[0]):
                link = await self._open(answers)
                reply = await link.run(_EXECUTE, None, "p1", _PREPARE)
                kind = reply.failure and reply.failure.kind
                self.assertEqual(expected, kind)
                self.assertEqual(
                    ["QUERY - PREPARE p1 READ q2", "QUERY 7 EXECUTE p1 1a"],
                    self.member.lines,
                )
