"""Attempts to run a statement on one member."""

from asyncio import Event, create_task, sleep
from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase

from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Statement, StatementKind
from redwingpost.node.request.attempt import Caller, NotSent, run_standalone
from redwingpost.observability.trace import StatementTrace
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.database import Reply
from redwingpost.statements.session import SessionState
from redwingpost.statements.setup import LinkContents

_READ = Statement("1", StatementKind.READ, "READ a")


class HeldMember:
    """A member that answers a statement once ``answers`` is set."""

    def __init__(self) -> None:
        self.answers = Event()
        self.entry = SimpleNamespace(member="m1")
        self.latency = SimpleNamespace(observe=lambda seconds, now: None)
        self.statements_in_flight = 0
        self.may_be_sent_work = self.takes_new_work = True
        self.link = self

    async def acquire(self, *wanted) -> SimpleNamespace:
        """Hand out the one connection."""
        return SimpleNamespace(link=self, contents=LinkContents())

    async def make_ready(self, item, state) -> None:
        """Accept the connection as it is."""

    async def run(self, *arguments) -> Reply:
        """Answer once ``answers`` is set."""
        await self.answers.wait()
        return Reply(proof="1.p")

    def refuse_cold(self) -> None:
        """Refuse nothing: the member is warm."""

    def note_sent(self) -> None:
        """Do nothing."""

    note_ended = note_answer = note_sent

    def release(self, item) -> None:
        """Take the connection back."""


class WaitingMember(HeldMember):
    """A member without a free connection at first.

    It counts the statements that it runs.
    """

    def __init__(self) -> None:
        super().__init__()
        self.has_free_connection = Event()
        self.runs = 0
        self.released = 0

    async def acquire(self, *wanted) -> SimpleNamespace:
        """Hand out the connection once it is free."""
        await self.has_free_connection.wait()
        return await super().acquire(*wanted)

    async def run(self, *arguments) -> Reply:
        """Count the statement."""
        self.runs += 1
        return Reply(proof="1.p")

    def release(self, item) -> None:
        """Take the connection back."""
        self.released += 1


class AttemptTest(IsolatedAsyncioTestCase):
    async def test_late_answer_is_not_logged_with_next_statement(self) -> None:
        """A hedged read is answered while another member still runs it.

        The session runs its next statement before the second answer
        arrives. The second attempt's time must not be logged with that
        statement.
        """
        clock = VirtualClock()
        member = HeldMember()
        caller = Caller("parish", SessionState(), 1)
        first = caller.state.trace
        late_attempt = create_task(
            run_standalone(member, caller, _READ, None, 9.0, clock)
        )
        await sleep(0)
        caller.state.trace = StatementTrace()
        clock.advance(2.0)
        member.answers.set()
        await late_attempt
        self.assertEqual(2.0, first.describe()["ran_s"])
        self.assertEqual(0, caller.state.trace.describe()["tries"])

    async def test_unsent_hedge_is_dropped_after_the_answer(self) -> None:
        """A hedged attempt at a read waits for a connection.

        The first attempt is answered, the caller sets another session
        value, and then the second attempt gets its connection. Sent now,
        the read would run with a value that was set after it.
        """
        clock = VirtualClock()
        member = WaitingMember()
        caller = Caller("parish", SessionState(), 1)
        hedge = SimpleNamespace(is_over=False)
        late_attempt = create_task(
            run_standalone(
                member,
                caller,
                _READ,
                None,
                9.0,
                clock,
                lambda: not hedge.is_over,
            )
        )
        await sleep(0)
        hedge.is_over = True
        member.has_free_connection.set()
        self.assertIsInstance(await late_attempt, NotSent)
        self.assertEqual((0, 1), (member.runs, member.released))

    async def test_a_connection_that_is_claimed_too_late(self) -> None:
        """Guards against statements at a member of an evacuated centre.

        The time to send statements there ends while one of them waits for a
        connection.
        """
        member = WaitingMember()
        caller = Caller("parish", SessionState(), 1)
        attempt = create_task(
            run_standalone(member, caller, _READ, None, 9.0, VirtualClock())
        )
        await sleep(0)
        member.may_be_sent_work = False
        member.has_free_connection.set()
        self.assertIsInstance(await attempt, NotSent)
        self.assertEqual((0, 1), (member.runs, member.released))

    async def test_a_member_that_turned_cold(self) -> None:
        """Guards against statements above the limit of a cold member.

        The member may get no more while the statement waits for a
        connection. It isn't sent, the connection stays open, and nothing is
        said to have run.
        """
        member = WaitingMember()
        refusal = Refusal(Code.OVER_CAPACITY, "m1 is cold", 400)
        member.refuse_cold = lambda: refusal
        member.has_free_connection.set()
        caller = Caller("parish", SessionState(), 1)
        outcome = await run_standalone(
            member, caller, _READ, None, 9.0, VirtualClock()
        )
        self.assertEqual(refusal, outcome.as_refusal())
        self.assertEqual((0, 1), (member.runs, member.released))
        self.assertFalse(caller.state.trace.may_have_run)
