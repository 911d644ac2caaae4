"""Tests of acceptance: conflicts, lost answers, audit, withdrawals."""

from asyncio import gather, run
from json import dumps, loads
from unittest import TestCase

from expression import Error

from redwingpost.configuration.acceptance import Change
from redwingpost.configuration.log import ConfigurationLog
from redwingpost.configuration.model import Withdrawal
from redwingpost.bench.memory_store import (
    LOSE_ANSWER,
    LOSE_REQUEST,
    REFUSE,
    MemoryStore,
)
from redwingpost.configuration.tests.test_parse import GOOD, PUNO, with_change
from redwingpost.core import Code, Refusal

BODY = dumps(GOOD).encode()
FASTER = with_change(PUNO + ("rate",), 240.0)


def change(body=BODY, base=0, submission="s-1", who="ana"):
    """Return a change."""
    return Change(body, base, who, "2030-01-01T00:00:00Z", submission)


class LossyBodies(MemoryStore):
    """A store whose answers to stored bodies are lost."""

    lost = 0

    async def put(self, key, body):
        """Store a body; the answer may be lost."""
        stored = await super().put(key, body)
        if self.lost:
            self.lost -= 1
            return Error(Refusal(Code.STORE_OUTCOME_UNKNOWN))
        return stored


class ConfigurationLogTest(TestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.log = ConfigurationLog(self.store, self.store)

    def submit(self, *args, **kwargs):
        return run(self.log.submit(change(*args, **kwargs)))

    def test_versions_increase_and_are_audited(self):
        self.assertEqual(self.submit().ok.version, 1)
        accepted = self.submit(FASTER, 1, "s-2", who="eva").ok
        self.assertEqual(accepted.version, 2)
        line = "organisations.diocese-puno.rate: 120 -> 240.0"
        self.assertEqual(accepted.changes, (line,))
        first, second = run(self.log.audit()).ok
        self.assertEqual(second.value["who"], "eva")
        self.assertEqual(second.value["what"], [line])
        self.assertEqual(second.value["from_version"], 1)
        self.assertEqual(first.value["from_version"], 0)
        self.assertEqual(run(self.log.version(1)).ok.version, 1)

    def test_two_operators_at_once(self):
        # Both read version 1, change it and submit. One is accepted and
        # the other's refusal names the version to rebase on. If both
        # were accepted, the first change would be silently overwritten.
        self.submit()

        async def both():
            return await gather(
                self.log.submit(change(FASTER, 1, "ana-1", "ana")),
                self.log.submit(change(BODY, 1, "eva-1", "eva")),
            )

        results = run(both())
        accepted_results = [r for r in results if r.is_ok()]
        refused_results = [r for r in results if r.is_error()]
        self.assertEqual((len(accepted_results), len(refused_results)), (1, 1))
        self.assertEqual(refused_results[0].error.code, Code.CONFIG_CONFLICT)
        self.assertIn("rebase on version 2", refused_results[0].error.detail)

    def test_lost_answers(self):
        # The store commits a change and its answer is lost, or the
        # request is lost. The operator must get the true outcome, and
        # the change must not be accepted twice.
        unknown = Code.STORE_OUTCOME_UNKNOWN
        table = [
            ([LOSE_ANSWER], None, 1),
            ([LOSE_REQUEST], None, 1),
            ([LOSE_REQUEST, LOSE_ANSWER], None, 1),
            ([REFUSE], Code.STORE_UNAVAILABLE, 0),
            ([LOSE_ANSWER, REFUSE], None, 1),
            ([LOSE_REQUEST] * 4, unknown, 0),
            ([LOSE_ANSWER] + [REFUSE] * 3, unknown, 1),
        ]
        for faults, code, versions in table:
            with self.subTest(faults=faults):
                self.setUp()
                self.store.faults.extend(faults)
                result = self.submit()
                self.assertEqual(
                    result.error.code if result.is_error() else None, code
                )
                self.assertEqual(len(run(self.log.audit()).ok), versions)
                again = self.submit()
                self.assertEqual(again.ok.version, 1)
                self.assertEqual(len(run(self.log.audit()).ok), 1)

    def test_lost_answers_to_the_body(self):
        # The store stores the body and its answer is lost twice, then
        # it works again. The submission must not fail on that.
        self.store = LossyBodies()
        self.log = ConfigurationLog(self.store, self.store)
        for lost, code in ((2, None), (9, Code.STORE_UNAVAILABLE)):
            with self.subTest(lost=lost):
                self.store.lost = lost
                result = self.submit(submission=f"s-{lost}", base=0)
                known = result.error.code if result.is_error() else None
                self.assertEqual(known, code)
                self.store.rows.clear()

    def test_a_lost_answer_and_another_operator(self):
        # An operator's answer is lost and a second operator's change is
        # accepted next. A repeat of the first submission must still
        # report that it was accepted.
        self.submit()
        self.store.faults.extend([LOSE_ANSWER] + [REFUSE] * 3)
        lost = self.submit(FASTER, 1, "ana-1")
        self.assertEqual(lost.error.code, Code.STORE_OUTCOME_UNKNOWN)
        self.assertIn("--submission ana-1", lost.error.detail)
        self.assertEqual(self.submit(BODY, 2, "eva-1").ok.version, 3)
        again = self.submit(FASTER, 1, "ana-1").ok
        self.assertEqual((again.version, again.again), (2, True))

    def test_refused_submissions_are_not_recorded(self):
        self.submit()
        table = [
            (b"{}", 1, Code.CONFIG_INVALID),
            (BODY, 0, Code.CONFIG_CONFLICT),
            (BODY, 7, Code.CONFIG_CONFLICT),
        ]
        for body, base, code in table:
            with self.subTest(code=code, base=base):
                refused = self.submit(body, base, "s-9")
                self.assertEqual(refused.error.code, code)
        self.assertEqual(len(run(self.log.audit()).ok), 1)

    def test_store_is_unavailable(self):
        self.store.unavailable = True
        self.assertEqual(self.submit().error.code, Code.STORE_UNAVAILABLE)


class WithdrawTest(TestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.log = ConfigurationLog(self.store, self.store)
        run(self.log.submit(change()))
        self.key = Withdrawal("diocese-puno", "a" * 40)

    def withdraw(self):
        return run(self.log.withdraw([self.key], change(submission="w")))

    def withdrawn(self):
        body = run(self.log.head()).ok.version.body
        return [item["hash"] for item in loads(body)["withdrawn"]]

    def test_withdrawals_survive_later_versions(self):
        # An operator's file is older than the withdrawal and doesn't
        # list it. Without a merge the key would be accepted again.
        self.assertEqual(self.withdraw().ok.version, 2)
        self.assertEqual(run(self.log.submit(change(FASTER, 2))).ok.version, 3)
        self.assertEqual(self.withdrawn(), ["a" * 40, "c" * 40])

    def test_recorded_once(self):
        self.withdraw()
        self.assertTrue(self.withdraw().ok.again)
        self.assertEqual(len(run(self.log.audit()).ok), 2)

    def test_two_recorders_at_once(self):
        other = Withdrawal("parish-cusco", "b" * 40)

        async def both():
            return await gather(
                self.log.withdraw([self.key], change(submission="x")),
                self.log.withdraw([other], change(submission="y")),
            )

        self.assertTrue(all(result.is_ok() for result in run(both())))
        self.assertIn("a" * 40, self.withdrawn())
        self.assertIn("b" * 40, self.withdrawn())

    def test_lost_answer(self):
        self.store.faults.append(LOSE_ANSWER)
        self.assertEqual(self.withdraw().ok.version, 2)
