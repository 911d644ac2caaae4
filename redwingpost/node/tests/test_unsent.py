"""The codes of statements that time out, by whether they were sent.

A caller may send a statement again if it is known not to have run. Where
every statement that waited for a connection until its time-out is answered
``timed-out``, its caller can't, although no member ever saw it.
"""

from asyncio import sleep
from unittest import TestCase

from redwingpost.adapters.tests.virtual_loop import run_in_virtual_time
from redwingpost.configuration.routes import Consistency
from redwingpost.core.codes import Code
from redwingpost.core.statements import StatementKind
from redwingpost.node.request.reads import ReadRunner
from redwingpost.node.request.writes import WriteRunner
from redwingpost.node.tests.small_group import (
    MEMBERS,
    FakeMembers,
    LoopClock,
    make_group,
    make_request,
)
from redwingpost.ports.database import LinkLost

_SILENT_S = 60.0

#: Kind of statement and the consistency of its route.
_KINDS = (
    ("read", StatementKind.READ, Consistency.STATED_AGE, Code.TIMED_OUT),
    (
        "read at the primary",
        StatementKind.READ,
        Consistency.PRIMARY,
        Code.TIMED_OUT,
    ),
    (
        "write",
        StatementKind.WRITE,
        Consistency.STATED_AGE,
        Code.OUTCOME_UNKNOWN,
    ),
)


class UnsentTest(TestCase):
    """One connection to each member, in use or free."""

    async def _run(self, kind, consistency, *, is_pool_full):
        members = FakeMembers()
        group = await make_group(members, max_connections=4)
        for member in MEMBERS:
            members.answer_s_by_member[member] = _SILENT_S
            client = group.member_by_name[member]
            client.budget.share = 1
            if is_pool_full:
                await client.acquire("other", {}, None, 0, 9.0)
        clock = LoopClock()
        request = make_request(1, kind, consistency)
        if kind is StatementKind.WRITE:
            result = await WriteRunner(clock).run(group, request, 0)
        else:
            result = await ReadRunner(clock).run(group, request)
        await sleep(1.0)
        return group, members, result

    def test_statements_that_time_out(self) -> None:
        for name, kind, consistency, code_if_sent in _KINDS:
            for is_pool_full in (True, False):
                with self.subTest(name, is_pool_full=is_pool_full):
                    _, members, result = run_in_virtual_time(
                        self._run(kind, consistency, is_pool_full=is_pool_full)
                    )
                    expected = (
                        Code.TARGET_LOST if is_pool_full else code_if_sent
                    )
                    self.assertEqual(expected, result.code)
                    self.assertEqual(is_pool_full, not members.sent)

    def test_a_full_pool_does_not_make_its_member_suspect(self) -> None:
        """Guards against members passed over, and replaced, for being busy."""
        for name, kind, consistency, _ in _KINDS:
            with self.subTest(name):
                group, _, _ = run_in_virtual_time(
                    self._run(kind, consistency, is_pool_full=True)
                )
                for client in group.member_by_name.values():
                    self.assertEqual(float("-inf"), client.failed_at)
                self.assertEqual(0.0, group.writes.stuck_s(9.0))

    def test_an_attempt_that_was_sent_is_not_forgotten(self) -> None:
        """The first member loses the answer; the others refuse connections.

        Answered as not run, the caller would be told something untrue.
        """

        async def run():
            members = FakeMembers()
            group = await make_group(members, max_connections=4)
            members.closes.update(MEMBERS)
            first = group.ranked("parish")[0]
            first.release(await first.acquire("parish", {}, None, 0, 9.0))
            members.refusals += [LinkLost("refused", sent=False)] * 4
            result = await ReadRunner(LoopClock()).run(group, make_request(1))
            await sleep(1.0)
            return result

        self.assertEqual(Code.TIMED_OUT, run_in_virtual_time(run()).code)
