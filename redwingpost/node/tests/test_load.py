"""The load that a VM reports of members and groups, and its metrics."""

from asyncio import create_task, gather, sleep
from unittest import TestCase

from redwingpost.adapters.tests.virtual_loop import run_in_virtual_time
from redwingpost.core.statements import StatementKind
from redwingpost.node.load_metrics import LoadCollector
from redwingpost.node.member_admission import MemberRules
from redwingpost.node.metrics import NodeMetrics
from redwingpost.node.request.writes import WriteRunner
from redwingpost.node.tests.small_group import (
    MEMBERS,
    FakeMembers,
    LoopClock,
    make_group,
    make_request,
)
from redwingpost.scheduling.priorities import OrganisationWeights

_RULES = MemberRules(
    OrganisationWeights.of({"parish": 10.0, "chapel": 10.0}), 2.0
)

#: A member's connections: two of them for statements of this VM.
_MAX_CONNECTIONS = 5


async def _queue(group, member, statements):
    """Let statements of one organisation wait for a member."""
    client = group.member_by_name[member]
    for _ in range(client.budget.allowed(0.0)):
        await client.acquire("parish", {}, None, 1, 99.0)
    tasks = [
        create_task(client.acquire("parish", {}, None, 1, 99.0))
        for _ in range(statements)
    ]
    await sleep(0.0)
    return tasks


async def _cancel(tasks):
    for task in tasks:
        task.cancel()
    await gather(*tasks, return_exceptions=True)


class WaitTest(TestCase):
    def test_wait_of_a_group(self) -> None:
        """Guards against statements placed where they wait, or can't run."""

        async def run(rules, full, failing):
            group = await make_group(FakeMembers(), _MAX_CONNECTIONS, slots=4)
            group.follow_directory(_MAX_CONNECTIONS, 1, rules=rules)
            tasks = []
            for member in full:
                tasks += await _queue(group, member, 100)
            await sleep(1.0)
            for member in failing:
                client = group.member_by_name[member]
                client.failed_at = LoopClock().now()
            await sleep(1.0)
            now = LoopClock().now()
            waits = [group.wait_s(needs, now) for needs in (False, True)]
            await _cancel(tasks)
            return waits

        free, busy, never = (0.0, 0.0), (0.05, 9.0), (float("inf"),) * 2
        cases = (
            # members with a queue, members that fail; wait for any member
            # and for the primary
            ((), (), free, free),
            (("m1",), (), free, busy),
            (MEMBERS, (), busy, busy),
            (("m2", "m3"), ("m1",), busy, never),
            ((), ("m2", "m3"), free, never),
            ((), MEMBERS, never, never),
        )
        for rules in (None, _RULES):
            for full, failing, *expected in cases:
                with self.subTest(
                    full=full, failing=failing, active=rules is not None
                ):
                    waits = run_in_virtual_time(run(rules, full, failing))
                    for wait_s, (least, most) in zip(
                        waits, expected, strict=True
                    ):
                        self.assertTrue(least <= wait_s <= most, waits)


class MetricsTest(TestCase):
    def test_metrics_of_admission_and_connections(self) -> None:
        async def run():
            group = await make_group(FakeMembers(), _MAX_CONNECTIONS, slots=4)
            group.follow_directory(_MAX_CONNECTIONS, 1, rules=_RULES)
            tasks = await _queue(group, "m1", 300)
            metrics = NodeMetrics()
            metrics.collect_from(LoadCollector({"g": group}, LoopClock()))
            request = make_request(1, StatementKind.WRITE, timeout_s=0.3)
            await WriteRunner(LoopClock()).run(group, request, 0)
            page = metrics.render().decode()
            await _cancel(tasks)
            return page

        page = run_in_virtual_time(run())
        member = 'group="g",member="m1"'
        for line in (
            f"redwing_admission_running{{{member}}} 2.0",
            f"redwing_admission_waiting{{{member}}} 300.0",
            f"redwing_admission_limit{{{member}}} 2.0",
            f"redwing_connections_open{{{member}}} 2.0",
            f"redwing_connections_allowed{{{member}}} 2.0",
            "redwing_admission_organisation_waiting"
            '{group="g",organisation="parish"} 300.0',
            f"redwing_admission_refused_total{{{member},"
            'reason="over-capacity"} 1.0',
            "redwing_admission_organisation_refused_total"
            '{group="g",organisation="parish",reason="over-capacity"} 1.0',
        ):
            with self.subTest(line):
                self.assertIn(line, page.splitlines())
