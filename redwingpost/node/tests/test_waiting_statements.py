"""What changes while a statement waits for a connection to its member."""

from asyncio import create_task, sleep
from unittest import TestCase

from redwingpost.adapters.tests.virtual_loop import run_in_virtual_time
from redwingpost.configuration.routes import Consistency
from redwingpost.core.codes import Code
from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Answer, Statement, StatementKind
from redwingpost.node.group import DRAIN_WORK_FRACTION
from redwingpost.node.request.reads import ReadRunner
from redwingpost.node.request.transaction import Transaction
from redwingpost.node.request.writes import WriteRunner
from redwingpost.node.tests.small_group import (
    FakeMembers,
    LoopClock,
    make_group,
    make_request,
)
from redwingpost.node.tests.test_member_admission import _RULES
from redwingpost.ports.database import StatusReport

#: Seconds from the announcement of a drain until no new work is sent.
_DRAINED_S = 7.0 * DRAIN_WORK_FRACTION

#: Time limit of the statements, and when connections come free (seconds).
_TIMEOUT_S = 8.0
_FREE_AT_S = 6.0

_READ_ONLY = Statement("b", StatementKind.BEGIN_READ_ONLY, "BEGIN READ")
_BEGIN = Statement("b", StatementKind.BEGIN, "BEGIN")

#: Statements by how they run: kind, consistency, BEGIN.
_STATEMENTS = {
    "read": (StatementKind.READ, Consistency.STATED_AGE, None),
    "read in a transaction": (
        StatementKind.READ,
        Consistency.STATED_AGE,
        _READ_ONLY,
    ),
    "read at the primary": (StatementKind.READ, Consistency.PRIMARY, None),
    "write": (StatementKind.WRITE, Consistency.STATED_AGE, None),
    "write in a transaction": (
        StatementKind.WRITE,
        Consistency.PRIMARY,
        _BEGIN,
    ),
}

#: Those that a replica may run.
_FOR_REPLICAS = ("read", "read in a transaction")


async def _drain(group, member) -> None:
    entry = group.member_by_name[member].entry._replace(is_draining=True)
    group._directory.put(entry, group._clock.now())
    group.follow_directory(4, 1)


async def _remove(group, member) -> None:
    group._directory.remove(member, group._clock.now())
    group.follow_directory(4, 1)


async def _evacuate(group, member) -> None:
    group.member_by_name[member].work_ends_at = group._clock.now()


async def _turn_cold(group, member) -> None:
    refusal = Refusal(Code.OVER_CAPACITY, "cold", 400)
    group.member_by_name[member].refuse_cold = lambda: refusal


async def _replace(group, member) -> None:
    head = Position(2, 1)
    links = group._links
    links.report_by_member["m2"] = StatusReport(True, 2, head, 0, 0, 0, 1)
    await group.run_round()


#: Changes that leave the other members as they were.
_MEMBER_CHANGES = {
    "drained": _drain,
    "removed": _remove,
    "evacuated": _evacuate,
    "cold": _turn_cold,
}


class WaitingStatementTest(TestCase):
    """All connections of the members are in use; one member changes."""

    async def _run(self, name, change, member_of, rules=None):
        kind, consistency, begin = _STATEMENTS[name]
        members = FakeMembers()
        group = await make_group(members, 4, slots=4)
        held = []
        for client in group.member_by_name.values():
            client.budget.share = 1
            held.append((client, await client.acquire("o", {}, None, 0, 9.0)))
        if rules is not None:
            group.follow_directory(4, 1, rules=rules)
            for client, _ in held:
                client.budget.share = 1
        request = make_request(1, kind, consistency, _TIMEOUT_S)
        request = request._replace(
            caller=request.caller._replace(
                is_entitled=lambda: self.is_entitled
            )
        )
        self.is_entitled = True
        member = member_of(group)
        clock = LoopClock()
        if begin is not None:
            run = Transaction(
                begin, request.caller, request.route, group, 0, clock
            ).run(request.statement)
        elif kind is StatementKind.WRITE:
            run = WriteRunner(clock).run(group, request, 0)
        else:
            run = ReadRunner(clock).run(group, request)
        task = create_task(run)
        await sleep(0.5)
        await change(group, member)
        await sleep(_FREE_AT_S - 0.5)
        answered_by_then = task.done()
        for client, pooled in held:
            client.release(pooled)
        result = await task
        await sleep(1.0)
        sent = [name for name, request in members.sent if request != "o"]
        return member, sent, result, answered_by_then

    def test_a_member_that_takes_no_more_work(self) -> None:
        """Guards against statements at a member that may end by then.

        The member was chosen while it took work. A read moves to another
        member; what only the primary can run is refused, and not only once
        its time has ended.
        """
        for name in _STATEMENTS:
            for change_name, change in _MEMBER_CHANGES.items():
                for rules in (None, _RULES):
                    with self.subTest(
                        name, change=change_name, has_rules=rules is not None
                    ):
                        self._check_member(name, change, rules)

    def _check_member(self, name, change, rules) -> None:
        def member_of(group) -> str:
            if name in _FOR_REPLICAS:
                return group.ranked("parish")[0].entry.member
            return "m1"

        member, sent, result, answered = run_in_virtual_time(
            self._run(name, change, member_of, rules)
        )
        self.assertNotIn(member, sent)
        if name in _FOR_REPLICAS:
            self.assertIsInstance(result, Answer)
        elif change is not _turn_cold:
            self.assertTrue(answered)

    def test_the_primary_is_replaced(self) -> None:
        """Guards against statements at a primary that leads no more."""
        for name in _STATEMENTS:
            if name in _FOR_REPLICAS:
                continue
            with self.subTest(name):
                member, sent, _, _ = run_in_virtual_time(
                    self._run(name, _replace, lambda group: "m1")
                )
                self.assertNotIn(member, sent)

    def test_the_key_is_passed_on(self) -> None:
        """Guards against statements for a key's former organisation."""

        async def pass_on(group, member) -> None:
            self.is_entitled = False

        for name in _STATEMENTS:
            with self.subTest(name):
                _, sent, _, _ = run_in_virtual_time(
                    self._run(name, pass_on, lambda group: "m1")
                )
                self.assertEqual([], sent)


class DrainedPoolTest(TestCase):
    def test_a_transaction_goes_on_at_a_drained_member(self) -> None:
        """Guards against transactions that a drain rolls back."""

        async def run():
            members = FakeMembers()
            group = await make_group(members, 8)
            request = make_request(
                1, StatementKind.READ, Consistency.STATED_AGE, _TIMEOUT_S
            )
            transaction = Transaction(
                _READ_ONLY,
                request.caller,
                request.route,
                group,
                0,
                LoopClock(),
            )
            await transaction.run(request.statement)
            await _drain(group, members.sent[-1][0])
            await sleep(_DRAINED_S + 0.5)
            self.assertNotIn(members.sent[-1][0], self._ranked(group))
            return await transaction.run(request.statement)

        self.assertIsInstance(run_in_virtual_time(run()), Answer)

    def _ranked(self, group) -> set[str]:
        return {client.entry.member for client in group.ranked("parish")}
