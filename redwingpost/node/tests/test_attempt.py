"""One statement on one member."""

from asyncio import Event, create_task, sleep
from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase

from redwingpost.core.statements import Statement, StatementKind
from redwingpost.node.request.attempt import Caller, NotSent, run_alone
from redwingpost.observability.trace import StatementTrace
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.database import Reply
from redwingpost.statements.session import SessionState
from redwingpost.statements.setup import LinkContents

_READ = Statement("1", StatementKind.READ, "READ a")


class HeldMember:
    """A member that answers once it is told to."""

    def __init__(self) -> None:
        self.answers = Event()
        self.entry = SimpleNamespace(member="m1")
        self.latency = SimpleNamespace(observe=lambda seconds, now: None)
        self.under_way = 0
        self.link = self

    async def acquire(self, *wanted) -> SimpleNamespace:
        """Hand out the one connection."""
        return SimpleNamespace(link=self, contents=LinkContents())

    async def make_ready(self, item, state) -> None:
        """Need nothing."""

    async def run(self, *arguments) -> Reply:
        """Answer when told to."""
        await self.answers.wait()
        return Reply(proof="1.p")

    def note_sent(self) -> None:
        """Ignore it."""

    note_ended = note_answer = note_sent

    def release(self, item) -> None:
        """Take the connection back."""


class WaitingMember(HeldMember):
    """A member that has no place at first; counts what it runs."""

    def __init__(self) -> None:
        super().__init__()
        self.has_place = Event()
        self.runs = 0
        self.released = 0

    async def acquire(self, *wanted) -> SimpleNamespace:
        """Hand out the connection once there is a place."""
        await self.has_place.wait()
        return await super().acquire(*wanted)

    async def run(self, *arguments) -> Reply:
        """Count the statement."""
        self.runs += 1
        return Reply(proof="1.p")

    def release(self, item) -> None:
        """Take the connection back."""
        self.released += 1


class AttemptTest(IsolatedAsyncioTestCase):
    async def test_a_late_loser_leaves_the_next_statement_alone(self) -> None:
        """A read is answered by one member while another still runs it.

        The session goes on. When the second answer comes, its time must
        not stand in the log line of a statement that it isn't about.
        """
        clock = VirtualClock()
        member = HeldMember()
        caller = Caller("parish", SessionState(), 1)
        first = caller.state.trace
        loser = create_task(run_alone(member, caller, _READ, None, 9.0, clock))
        await sleep(0)
        caller.state.trace = StatementTrace()
        clock.advance(2.0)
        member.answers.set()
        await loser
        self.assertEqual(2.0, first.describe()["ran_s"])
        self.assertEqual(0, caller.state.trace.describe()["tries"])

    async def test_a_loser_that_was_not_sent_is_never_sent(self) -> None:
        """A late read got a rival that waits for a connection.

        The first answer comes, the caller sets another session value, and
        then the rival gets its connection. Sent now, the statement would
        run with values that its caller had not set when it asked.
        """
        clock = VirtualClock()
        member = WaitingMember()
        caller = Caller("parish", SessionState(), 1)
        race = SimpleNamespace(is_over=False)
        loser = create_task(
            run_alone(
                member,
                caller,
                _READ,
                None,
                9.0,
                clock,
                lambda: not race.is_over,
            )
        )
        await sleep(0)
        race.is_over = True
        member.has_place.set()
        self.assertIsInstance(await loser, NotSent)
        self.assertEqual((0, 1), (member.runs, member.released))
