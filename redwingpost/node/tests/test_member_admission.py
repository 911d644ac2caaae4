"""Admission at one member: tickets, refusals and what each failure leaves."""

from asyncio import CancelledError, create_task, gather, sleep
from unittest import TestCase

from redwingpost.adapters.tests.virtual_loop import run_in_virtual_time
from redwingpost.configuration.routes import Consistency
from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Answer, Statement, StatementKind
from redwingpost.node.member_admission import MemberRules
from redwingpost.node.request.reads import ReadRunner
from redwingpost.node.request.transaction import Transaction
from redwingpost.node.request.writes import WriteRunner
from redwingpost.node.tests.small_group import (
    BUSY,
    MAXCONN,
    MEMBERS,
    FakeMembers,
    LoopClock,
    make_group,
    make_request,
)
from redwingpost.ports.database import (
    FailureKind,
    LinkLost,
    MemberFailure,
    Reply,
)
from redwingpost.scheduling.priorities import OrganisationWeights

_RULES = MemberRules(
    OrganisationWeights.of({"parish": 10.0, "chapel": 10.0}), 2.0
)

#: A member's connections: two of them for statements of this VM.
_MAX_CONNECTIONS = 5

_SILENT_S = 60.0
_READ = Statement("7", StatementKind.READ, "READ a")
_COMMIT = Statement("8", StatementKind.COMMIT, "COMMIT")
_BEGIN = Statement("6", StatementKind.BEGIN, "BEGIN")


async def _make(members, max_connections=_MAX_CONNECTIONS):
    group = await make_group(members, max_connections, slots=4)
    group.follow_directory(max_connections, 1, rules=_RULES)
    return group


def _begin(group, timeout_s=0.4):
    request = make_request(
        6, StatementKind.BEGIN, Consistency.PRIMARY, timeout_s
    )
    return Transaction(
        _BEGIN, request.caller, request.route, group, 0, LoopClock()
    )


async def _write(group, number=1, **route):
    request = make_request(number, StatementKind.WRITE, **route)
    return await WriteRunner(LoopClock()).run(group, request, 0)


class MemberAdmissionTest(TestCase):
    """The primary of a group; two of its connections are for statements."""

    def _assert_returned(self, group) -> None:
        for client in group.member_by_name.values():
            controller = client.admission.controller
            self.assertEqual(0, controller.running, client.entry.member)
            self.assertEqual(0, controller.waiting, client.entry.member)
            self.assertEqual(0, controller.pinned, client.entry.member)
            places = client.admission.places
            self.assertEqual(0, places.running + places.waiting)
            self.assertEqual(0, client.pool.in_use, client.entry.member)


class TicketTest(MemberAdmissionTest):
    """Guards against tickets that are lost: the member would idle."""

    def test_a_write_returns_its_ticket(self) -> None:
        wrong = MemberFailure(FailureKind.WRONG_MEMBER, "WRONGNODE")
        failed = Reply(failure=MemberFailure(FailureKind.FAILED, "EXECFAIL"))
        cases = (
            ("answered", {}),
            ("full member", {"replies_by_member": {"m1": [BUSY] * 9}}),
            ("failed", {"replies_by_member": {"m1": [failed]}}),
            ("connection lost", {"closes": {"m1"}}),
            ("no answer in time", {"answer_s_by_member": {"m1": _SILENT_S}}),
            ("no free connection", {"refusals": [MAXCONN] * 99}),
            ("another member", {"refusals": [wrong] * 9}),
            (
                "unreachable",
                {"refusals": [LinkLost("refused", sent=False)] * 9},
            ),
        )

        async def run(changes):
            members = FakeMembers()
            for name, value in changes.items():
                setattr(members, name, value)
            group = await _make(members)
            await _write(group)
            await sleep(1.0)
            return group

        for name, changes in cases:
            with self.subTest(name):
                self._assert_returned(run_in_virtual_time(run(changes)))

    def test_a_transaction_returns_its_ticket(self) -> None:
        async def commit(transaction, members):
            await transaction.run(_READ)
            await transaction.commit(_COMMIT)

        async def roll_back(transaction, members):
            await transaction.run(_READ)
            await transaction.roll_back()

        async def lose(transaction, members):
            await transaction.run(_READ)
            members.closes.add("m1")
            await transaction.run(_READ)

        async def time_out(transaction, members):
            await transaction.run(_READ)
            members.answer_s_by_member["m1"] = _SILENT_S
            await transaction.run(_READ)

        async def cancel(transaction, members):
            await transaction.run(_READ)
            members.answer_s_by_member["m1"] = _SILENT_S
            task = create_task(transaction.run(_READ))
            await sleep(0.1)
            task.cancel()
            await gather(task, return_exceptions=True)
            await transaction.roll_back()

        async def run(end):
            members = FakeMembers()
            group = await _make(members)
            await end(_begin(group), members)
            return group

        for end in (commit, roll_back, lose, time_out, cancel):
            with self.subTest(end.__name__):
                self._assert_returned(run_in_virtual_time(run(end)))

    def test_a_cancelled_statement_returns_its_ticket(self) -> None:
        """Waiting, started in the same moment, and running."""

        async def run(pause_s):
            members = FakeMembers()
            group = await _make(members)
            client = group.member_by_name["m1"]
            held = [
                await client.acquire("parish", {}, None, 1, 9.0)
                for _ in range(2)
            ]
            task = create_task(client.acquire("parish", {}, None, 1, 9.0))
            await sleep(pause_s)
            if not pause_s:
                client.release(held.pop())
            task.cancel()
            with self.assertRaises(CancelledError):
                await task
            for pooled in held:
                client.release(pooled)
            return group

        for pause_s in (0.0, 0.25):
            with self.subTest(pause_s=pause_s):
                self._assert_returned(run_in_virtual_time(run(pause_s)))


class RefusalTest(MemberAdmissionTest):
    async def _fill(self, group, member="m1", waiting=0):
        """Take all connections of a member, and let statements wait."""
        client = group.member_by_name[member]
        held = [
            await client.acquire("parish", {}, None, 1, 99.0)
            for _ in range(client.admission.controller.max_running)
        ]
        tasks = [
            create_task(client.acquire("chapel", {}, None, 1, 99.0))
            for _ in range(waiting)
        ]
        await sleep(0.0)
        return held, tasks

    def test_what_cannot_be_served_in_time_is_refused_at_once(self) -> None:
        """Guards against callers that wait for their whole time-out."""

        async def run():
            group = await _make(FakeMembers())
            _, tasks = await self._fill(group, waiting=400)
            started_at = LoopClock().now()
            result = await _write(group, organisation="chapel")
            waited_s = LoopClock().now() - started_at
            for task in tasks:
                task.cancel()
            await gather(*tasks, return_exceptions=True)
            return result, waited_s

        result, waited_s = run_in_virtual_time(run())
        self.assertIsInstance(result, Refusal)
        self.assertIn(
            result.code, (Code.OVER_CAPACITY, Code.DEADLINE_TOO_SHORT)
        )
        self.assertEqual(0.0, waited_s)
        # 400 statements of 10 ms on two connections drain in 2 s; 0.4 s
        # times 0.8 of the caller's time may be spent waiting.
        self.assertTrue(1600 <= result.retry_after_ms <= 2600, result)

    def test_reads_go_to_the_next_replica_first(self) -> None:
        """Guards against reads refused although another replica is free."""

        async def run(full):
            members = FakeMembers()
            group = await _make(members)
            tasks = []
            for member in full:
                _, waiting = await self._fill(group, member, 400)
                tasks += waiting
            group.ranked = lambda organisation, regions: [
                group.member_by_name[member] for member in MEMBERS
            ]
            result = await ReadRunner(LoopClock()).run(
                group, make_request(1, organisation="chapel")
            )
            for task in tasks:
                task.cancel()
            await gather(*tasks, return_exceptions=True)
            return result, members.sent

        result, sent = run_in_virtual_time(run(("m1", "m2")))
        self.assertIsInstance(result, Answer)
        self.assertEqual([("m3", "1")], sent)
        result, sent = run_in_virtual_time(run(MEMBERS))
        self.assertIsInstance(result, Refusal)
        self.assertEqual([], sent)

    def test_a_read_at_the_primary_is_refused_once(self) -> None:
        """Guards against a second attempt in the queue that refused it."""

        async def run():
            group = await _make(FakeMembers())
            _, tasks = await self._fill(group, waiting=400)
            request = make_request(
                1,
                consistency=Consistency.PRIMARY,
                organisation="chapel",
            )
            result = await ReadRunner(LoopClock()).run(group, request)
            for task in tasks:
                task.cancel()
            await gather(*tasks, return_exceptions=True)
            return result, sum(group.refusals.values())

        result, refused = run_in_virtual_time(run())
        self.assertEqual(Code.OVER_CAPACITY, result.code)
        self.assertEqual(1, refused)

    def test_the_deadline_passes_in_the_queue(self) -> None:
        """Guards against ``timed-out`` for what no member has seen."""

        async def run():
            members = FakeMembers()
            group = await _make(members)
            await self._fill(group)
            return await _write(group), group, members

        result, group, members = run_in_virtual_time(run())
        self.assertEqual(Code.OVER_CAPACITY, result.code)
        self.assertGreater(result.retry_after_ms, 0)
        self.assertEqual([], members.sent)
        self.assertEqual(
            0, group.member_by_name["m1"].admission.controller.waiting
        )

    def test_a_slot_that_comes_too_late(self) -> None:
        """Guards against writes sent when no answer can come in time.

        Slots come free 5 ms before the deadline; the member takes 10 ms.
        """

        async def run():
            members = FakeMembers()
            group = await _make(members)
            held, _ = await self._fill(group)
            write = create_task(_write(group, timeout_s=0.4))
            await sleep(0.395)
            for pooled in held:
                group.member_by_name["m1"].release(pooled)
            return await write, members

        result, members = run_in_virtual_time(run())
        self.assertEqual(Code.OVER_CAPACITY, result.code)
        self.assertEqual([], members.sent)

    def test_a_member_that_stops_answering(self) -> None:
        """Guards against statements kept waiting for a member that is lost.

        Its queue is refused before the statements' time is over, and so
        is what arrives.
        """

        async def run():
            members = FakeMembers()
            group = await _make(members)
            members.answer_s_by_member["m1"] = _SILENT_S
            writes = [
                create_task(_write(group, number, timeout_s=2.0))
                for number in range(6)
            ]
            await sleep(1.2)
            done = [task.result() for task in writes if task.done()]
            started_at = LoopClock().now()
            late = await _write(group, 9, timeout_s=0.4)
            took_s = LoopClock().now() - started_at
            await gather(*writes)
            return done, late, took_s, members

        done, late, took_s, members = run_in_virtual_time(run())
        self.assertEqual(0.0, took_s)
        self.assertEqual(4, len(done))
        for result in (*done, late):
            self.assertIn(
                result.code, (Code.OVER_CAPACITY, Code.DEADLINE_TOO_SHORT)
            )
        self.assertEqual(2, len(members.sent))

    def test_a_member_that_is_removed(self) -> None:
        async def run():
            group = await _make(FakeMembers())
            client = group.member_by_name["m1"]
            await self._fill(group)
            task = create_task(client.acquire("parish", {}, None, 1, 9.0))
            await sleep(0.05)
            client.close()
            await sleep(0.0)
            return (await gather(task, return_exceptions=True))[0]

        lost = run_in_virtual_time(run())
        self.assertIsInstance(lost, LinkLost)
        self.assertFalse(lost.sent)

    def test_a_full_member_lowers_the_limit(self) -> None:
        """Guards against statements sent on to a member that refuses them."""

        async def run():
            members = FakeMembers()
            group = await _make(members, max_connections=30)
            client = group.member_by_name["m1"]
            for _ in range(60):
                await gather(*(_write(group, n) for n in range(30)))
            before = client.admission.controller.limit.value
            members.replies_by_member["m1"] = [BUSY]
            await _write(group)
            return before, client.admission.controller.limit.value

        before, after = run_in_virtual_time(run())
        self.assertGreater(before, 8)
        self.assertLess(after, before)
        self.assertGreaterEqual(after, 4)


class OrderTest(MemberAdmissionTest):
    def test_statements_of_a_begun_transaction_do_not_wait(self) -> None:
        """Guards against transactions that hold locks while they wait."""

        async def run():
            members = FakeMembers()
            group = await _make(members)
            transaction = _begin(group)
            await transaction.run(_READ)
            members.answer_s_by_member["m1"] = 0.3
            other = create_task(_write(group, 1))
            await sleep(0.0)
            waiting = create_task(_write(group, 2))
            await sleep(0.01)
            members.answer_s_by_member["m1"] = 0.01
            started_at = LoopClock().now()
            result = await transaction.run(_READ)
            took_s = LoopClock().now() - started_at
            await transaction.roll_back()
            await gather(other, waiting)
            return result, took_s

        result, took_s = run_in_virtual_time(run())
        self.assertIsInstance(result, Answer)
        self.assertAlmostEqual(0.01, took_s)

    def test_a_paused_transaction_frees_its_slot(self) -> None:
        """Guards against a member that idles while callers pause."""

        async def run():
            group = await _make(FakeMembers())
            transaction = _begin(group)
            await transaction.run(_READ)
            controller = group.member_by_name["m1"].admission.controller
            resting = controller.running, controller.pinned
            await transaction.roll_back()
            return resting

        self.assertEqual((0, 1), run_in_virtual_time(run()))

    def test_connections_are_used_several_times(self) -> None:
        """Guards against a member that mostly opens connections.

        Two connections, six organisations with as much to send. In strict
        turns each statement needs a new connection.
        """

        async def run():
            members = FakeMembers()
            group = await _make(members)
            before = members.opened
            results = await gather(
                *(
                    _write(
                        group,
                        number,
                        timeout_s=9.0,
                        organisation=f"org-{number % 6}",
                    )
                    for number in range(240)
                )
            )
            return members.opened - before, results

        opened, results = run_in_virtual_time(run())
        for result in results:
            self.assertIsInstance(result, Answer)
        self.assertLessEqual(opened, 240 / 6)

    def test_admission_follows_the_configuration(self) -> None:
        """It begins and ends while statements run and wait."""

        async def run():
            group = await make_group(FakeMembers(), _MAX_CONNECTIONS, slots=4)
            client = group.member_by_name["m1"]
            first = await client.acquire("parish", {}, None, 1, 9.0)
            self.assertIsNone(first.ticket)
            group.follow_directory(_MAX_CONNECTIONS, 1, rules=_RULES)
            second = await client.acquire("parish", {}, None, 1, 9.0)
            self.assertIsNotNone(second.ticket)
            waiting = create_task(client.acquire("parish", {}, None, 1, 9.0))
            third = create_task(client.acquire("parish", {}, None, 1, 9.0))
            await sleep(0.05)
            group.follow_directory(_MAX_CONNECTIONS, 1)
            await sleep(0.05)
            client.release(first)
            client.release(second)
            for task in (waiting, third):
                client.release(await task)
            self.assertEqual(0, client.pool.in_use)
            group.follow_directory(_MAX_CONNECTIONS, 1, rules=_RULES)
            return group

        self._assert_returned(run_in_virtual_time(run()))


class RestingTest(MemberAdmissionTest):
    """Seven connections for statements, so three open transactions."""

    _CONNECTIONS = 9

    async def _open(self, group, transactions, timeout_s=9.0):
        tasks = []
        for _ in range(transactions):
            transaction = _begin(group, timeout_s)
            tasks.append((transaction, create_task(transaction.run(_READ))))
            await sleep(0.1)
        return tasks

    def test_transactions_hold_half_of_the_connections(self) -> None:
        """Guards against statements that wait for callers that pause."""

        async def run():
            members = FakeMembers()
            group = await _make(members, self._CONNECTIONS)
            opened = await self._open(group, 5)
            begun = [task.done() for _, task in opened]
            started_at = LoopClock().now()
            result = await _write(group)
            took_s = LoopClock().now() - started_at
            await opened[0][0].commit(_COMMIT)
            await sleep(0.1)
            then = [task.done() for _, task in opened]
            for transaction, task in opened[1:]:
                await transaction.roll_back()
                await task
                await transaction.roll_back()
            return group, begun, then, result, took_s

        group, begun, then, result, took_s = run_in_virtual_time(run())
        self.assertEqual([True] * 3 + [False] * 2, begun)
        self.assertEqual([True] * 4 + [False], then)
        self.assertIsInstance(result, Answer)
        self.assertAlmostEqual(0.01, took_s)
        self._assert_returned(group)

    def test_the_longest_resting_one_is_ended_under_pressure(self) -> None:
        """Guards against places kept by callers that don't come back.

        A transaction may rest for 2 s; one that rests for less is never
        ended, nor is any while nothing waits.
        """
        cases = (
            # seconds until a fourth one comes, or None; those ended
            (1.0, []),
            (2.2, [0]),
            (None, []),
        )

        async def run(pressed_after_s):
            members = FakeMembers()
            group = await _make(members, self._CONNECTIONS)
            opened = await self._open(group, 3)
            first = opened[0][1].result()
            if pressed_after_s is None:
                await sleep(5.0)
            else:
                await sleep(pressed_after_s - 0.29)
                fourth = _begin(group, 0.05)
                await fourth.run(_READ)
                await fourth.roll_back()
            results = [
                await transaction.run(_READ) for transaction, _ in opened
            ]
            commits = [
                await transaction.commit(_COMMIT) for transaction, _ in opened
            ]
            return group, first, results, commits

        for pressed_after_s, expected in cases:
            with self.subTest(pressed_after_s=pressed_after_s):
                group, first, results, commits = run_in_virtual_time(
                    run(pressed_after_s)
                )
                self.assertIsInstance(first, Answer)
                for answers in (results, commits):
                    ended = [
                        number
                        for number, result in enumerate(answers)
                        if not isinstance(result, Answer)
                    ]
                    self.assertEqual(expected, ended)
                    for number in ended:
                        self.assertEqual(
                            Code.TRANSACTION_ROLLED_BACK, answers[number].code
                        )
                self._assert_returned(group)

    def test_one_that_is_in_use_is_not_ended(self) -> None:
        """Guards against the end of a transaction whose caller is back.

        It rested for long, and its next statement or its end takes 0.3 s,
        in which another transaction comes.
        """

        async def run(use):
            members = FakeMembers()
            group = await _make(members, self._CONNECTIONS)
            opened = await self._open(group, 3)
            await sleep(5.0)
            members.answer_s_by_member["m1"] = 0.3
            tasks = [
                create_task(use(transaction)) for transaction, _ in opened
            ]
            await sleep(0.1)
            pressing = _begin(group, 0.1)
            await pressing.run(_READ)
            results = await gather(*tasks)
            for transaction, _ in opened:
                await transaction.roll_back()
            return group, members, results

        async def run_statement(transaction):
            return isinstance(await transaction.run(_READ), Answer)

        async def roll_back(transaction):
            await transaction.roll_back()
            return transaction.is_over

        for use in (run_statement, roll_back):
            with self.subTest(use.__name__):
                group, members, results = run_in_virtual_time(run(use))
                self.assertEqual([True] * 3, results)
                self.assertEqual(0, members.closed)
                self._assert_returned(group)

    def test_no_place_in_time(self) -> None:
        """Guards against ``timed-out`` for a transaction that never began."""

        async def run():
            group = await _make(FakeMembers(), self._CONNECTIONS)
            opened = await self._open(group, 3)
            late = _begin(group, 0.4)
            result = await late.run(_READ)
            for transaction, _ in opened:
                await transaction.roll_back()
            return group, result

        group, result = run_in_virtual_time(run())
        self.assertEqual(Code.OVER_CAPACITY, result.code)
        self.assertGreater(result.retry_after_ms, 0)
        self._assert_returned(group)
