"""Statements on their way to a home that stands still."""

from asyncio import (
    CancelledError,
    Event,
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    gather,
    open_connection,
    sleep,
    start_server,
)
from random import Random
from unittest import TestCase

from redwingpost.core.codes import Outcome
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Statement, StatementKind
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.node.forwarding.frames import read_frame, write_frame
from redwingpost.node.tests.test_forwarding import (
    _COMMIT,
    ForwardingCase,
    read,
    write,
)
from redwingpost.routing.peer_clock import PeerClock

_IP = "127.0.0.1"

#: Time limit of the statements (seconds).
_TIMEOUT_S = 0.3

#: Seconds after which what a home still had has reached a member.
_SETTLE_S = 0.3

_SET = Statement("s", StatementKind.SET_VALUE, "SET tone low", "tone", "low")


class StandingHome:
    """Accepts connections to a home; passes nothing on while it stands."""

    def __init__(self, port: int) -> None:
        self._home_port = port
        self._writers: list[StreamWriter] = []
        self.goes_on = Event()
        self.goes_on.set()
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self._server = await start_server(self._serve, _IP, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def reset(self) -> None:
        """Reset the callers' VMs' connections; the home keeps its own."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self._writers.append(writer)
        home_reader, home_writer = await open_connection(_IP, self._home_port)
        try:
            await gather(
                self._pass(reader, home_writer),
                self._pass(home_reader, writer),
            )
        except (CancelledError, OSError, IncompleteReadError):
            await self.goes_on.wait()
            home_writer.close()
            writer.close()

    async def _pass(self, reader: StreamReader, writer: StreamWriter) -> None:
        while True:
            frame = await read_frame(reader)
            await self.goes_on.wait()
            write_frame(writer, frame)


class StoppedHomeTest(ForwardingCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.route = self.route._replace(timeout_s=_TIMEOUT_S)
        self.homes.places_by_load = lambda group: False
        self.home = StandingHome(self.servers[0].port)
        await self.home.start()
        self.addCleanup(self.home.close)
        address = VmAddress("home-0", _IP, self.home.port)
        self.homes.addresses = (address,)
        self.homes.homes_to_try = lambda *subject: self.homes.addresses
        await self.forwarder.run_alone(self.task(read("opening")))

    async def test_a_statement_that_was_given_up_never_runs(self) -> None:
        """Guards against statements that run after their caller's answer.

        The home stands still while a statement is on its way to it. The
        caller is told that the outcome is unknown, or that the transaction
        was rolled back, and goes on; then the home does. The statement would
        run with old session values, and undo later writes.
        """
        cases = (
            ("alone", (), write("late")),
            ("first of a transaction", None, write("late")),
            ("in a transaction", ("before",), write("late")),
            ("commit", ("before",), _COMMIT),
        )
        for name, before, statement in cases:
            with self.subTest(name):
                await self._play(before, statement)

    async def _play(
        self, before: tuple[str, ...] | None, statement: Statement
    ) -> None:
        transaction = self.transaction()
        for request in before or ():
            await transaction.run(write(request))
        self.members.ran.clear()
        self.home.goes_on.clear()
        if before == ():
            result = await self.forwarder.run_alone(self.task(statement))
        elif statement is _COMMIT:
            result = await transaction.commit(statement)
        else:
            result = await transaction.run(statement)
        self.assertIsInstance(result, Refusal)
        self.home.goes_on.set()
        await sleep(_SETTLE_S)
        self.assertEqual([], self.members.ran)
        self.homes.suspected.clear()
        await self.forwarder.run_alone(self.task(read("again")))
        self.assertEqual(["again"], self.members.ran)

    async def test_a_session_waits_for_a_statement_in_doubt(self) -> None:
        """Guards against a SET that is acknowledged too early.

        The connection to a home that stands still is reset. The home may
        still run what it has received until the statement's limit: until
        then no other value may be acknowledged, and no later write may run.
        """
        cases = (
            (read("r"), _SET, True),
            (read("r"), write("next"), False),
            (write("w"), _SET, True),
            (write("w"), write("next"), True),
            (write("w"), read("next"), False),
            (write("w"), _COMMIT, True),
        )
        for earlier, later, waits in cases:
            with self.subTest(earlier=earlier.kind, later=later.kind):
                self.state = type(self.state)()
                self.homes.suspected.clear()
                await self.forwarder.run_alone(self.task(read("opening")))
                self.home.goes_on.clear()
                task = self.task(earlier)
                running = gather(self.forwarder.run_alone(task))
                await sleep(0.05)
                self.home.reset()
                (result,) = await running
                self.assertLess(self.clock.now(), task.deadline)
                if earlier.kind is StatementKind.WRITE:
                    self.assertIs(Outcome.UNKNOWN, result.code.outcome)
                expected = task.deadline if waits else float("-inf")
                self.assertEqual(expected, self.state.waits_until(later))
                self.home.goes_on.set()
                await sleep(0.02)


class PeerClockTest(TestCase):
    def test_a_limit_never_lies_too_late(self) -> None:
        """Guards against a home that still runs what was given up.

        Readings travel for random times, during which either VM may stand
        still; the clocks run at slightly different speeds.
        """
        for seed in range(200):
            with self.subTest(seed=seed):
                self._play(Random(seed))

    def _play(self, random: Random) -> None:
        start = random.uniform(1.0, 1e6)
        speed = 1.0 + random.uniform(-0.0009, 0.0009)

        def home_clock(at: float) -> float:
            return start + at * speed

        clock, now = PeerClock(), random.uniform(0.0, 100.0)
        for _ in range(50):
            sent_at = now
            now += random.choice((0.001, 0.01, 0.2, random.uniform(0.0, 20.0)))
            clock.note_reading(home_clock(sent_at), received_at=now)
            now += random.uniform(0.0, 5.0)
            limit = now + random.uniform(-5.0, 5.0)
            at_home = clock.to_peer(limit, now)
            # A limit in the past needs only to have been reached there.
            latest = home_clock(max(limit, now))
            self.assertLessEqual(at_home, latest + 1e-6)

    def test_readings_that_tell_nothing(self) -> None:
        for reading in (0.0, float("nan"), float("inf")):
            with self.subTest(reading=reading):
                clock = PeerClock()
                clock.note_reading(reading, received_at=1.0)
                self.assertFalse(clock.is_known(1.0))
