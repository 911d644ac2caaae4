"""Tests of the retry table, the budget and the idempotency records."""

from sqlite3 import connect
from unittest import TestCase

from redwingpost.core import Code, Outcome
from redwingpost.retries.budget import RetryBudget
from redwingpost.retries.idempotency import (
    Duplicate,
    Record,
    create_table_sql,
    decode_record,
    fingerprint,
    insert_sql,
    purge_sql,
    resolve_duplicate,
    select_sql,
    update_sql,
)
from redwingpost.retries.table import (
    RULES_BY_CLASS,
    Action,
    Failure,
    RequestClass,
    failure_of_error,
    may_have_run,
    next_step,
)


class TableTest(TestCase):
    def test_every_pair_has_a_rule(self):
        for request_class in RequestClass:
            with self.subTest(request_class=request_class):
                rules = RULES_BY_CLASS[request_class]
                self.assertEqual(set(rules), set(Failure))

    def test_not_run_is_reported_only_if_nothing_ran(self):
        """A target commits a write and its answer is lost.

        With the answer "not run" the caller would repeat the order and
        get it twice, so a write that may have run never ends in "not run".
        """
        for request_class in RequestClass:
            for failure in Failure:
                for earlier in (False, True):
                    step = next_step(request_class, failure, False, earlier)
                    ran = earlier or (
                        may_have_run(failure)
                        and request_class is not RequestClass.READ
                    )
                    if request_class is RequestClass.IN_TRANSACTION:
                        ran = earlier
                    if step.code is None or not ran:
                        continue
                    with self.subTest(
                        cls=request_class, failure=failure, earlier=earlier
                    ):
                        self.assertIs(step.code.outcome, Outcome.UNKNOWN)

    def test_unkeyed_write_is_never_sent_twice_after_it_may_have_run(self):
        """The answer to an order without a key is lost.

        Sent again, it would be delivered twice. The copies can't be
        told apart, so the answer is that the outcome is unknown.
        """
        for failure in Failure:
            if not may_have_run(failure):
                continue
            with self.subTest(failure=failure):
                step = next_step(RequestClass.UNKEYED_WRITE, failure, True)
                self.assertIs(step.action, Action.ANSWER)
                self.assertIs(step.code.outcome, Outcome.UNKNOWN)

    def test_rows(self):
        read, keyed = RequestClass.READ, RequestClass.KEYED_WRITE
        unkeyed, commit = RequestClass.UNKEYED_WRITE, RequestClass.COMMIT
        inside = RequestClass.IN_TRANSACTION
        table = [
            (read, Failure.NO_ANSWER, True, Action.RETRY, None),
            (keyed, Failure.NO_ANSWER, True, Action.RETRY_WITH_KEY, None),
            (keyed, Failure.NOT_CONFIRMED, True, Action.RETRY_WITH_KEY, None),
            (
                keyed,
                Failure.NO_ANSWER,
                False,
                Action.ANSWER,
                Code.OUTCOME_UNKNOWN,
            ),
            (
                keyed,
                Failure.COMMIT_NOT_SENT,
                False,
                Action.ANSWER,
                Code.TARGET_LOST,
            ),
            (unkeyed, Failure.READ_ONLY, True, Action.RETRY, None),
            (
                unkeyed,
                Failure.READ_ONLY,
                False,
                Action.ANSWER,
                Code.NO_PRIMARY,
            ),
            (unkeyed, Failure.DEADLOCK, True, Action.PASS_ERROR, None),
            (
                inside,
                Failure.NO_ANSWER,
                True,
                Action.ANSWER,
                Code.TRANSACTION_ROLLED_BACK,
            ),
            (inside, Failure.LOCK_WAIT, True, Action.PASS_ERROR, None),
            (
                commit,
                Failure.NO_ANSWER,
                True,
                Action.ANSWER,
                Code.COMMIT_UNKNOWN,
            ),
            (
                commit,
                Failure.READ_ONLY,
                True,
                Action.ANSWER,
                Code.TRANSACTION_ROLLED_BACK,
            ),
        ]
        for request_class, failure, can_retry, action, code in table:
            with self.subTest(cls=request_class, failure=failure):
                step = next_step(request_class, failure, can_retry)
                self.assertEqual((action, code), (step.action, step.code))

    def test_error_numbers(self):
        table = [
            (1040, Failure.TOO_MANY_CONNECTIONS),
            (1053, Failure.SHUTTING_DOWN),
            (1062, Failure.OTHER_ERROR),
            (1205, Failure.LOCK_WAIT),
            (1213, Failure.DEADLOCK),
            (1290, Failure.READ_ONLY),
        ]
        for number, failure in table:
            with self.subTest(number=number):
                self.assertIs(failure_of_error(number), failure)


class BudgetTest(TestCase):
    def test_retries_stay_a_tenth_of_the_load(self):
        """An overloaded target fails every statement for a long time.

        With three attempts each it would get three times the load and
        never recover; to callers a short overload becomes permanent.
        """
        budget = RetryBudget()
        retries = 0
        for _ in range(10_000):
            budget.earn()
            retries += budget.spend()
        self.assertLessEqual(retries, 1_000 + 64)

    def test_budget_covers_a_failover_from_the_start(self):
        budget = RetryBudget()
        self.assertTrue(all(budget.spend() for _ in range(50)))


class IdempotencySqlTest(TestCase):
    """Runs the statements unchanged on SQLite, which accepts them too."""

    def setUp(self):
        self.database = connect(":memory:", isolation_level=None)
        self.addCleanup(self.database.close)
        self.database.execute(create_table_sql())

    def test_record_round_trip(self):
        for key in ("k1", "it's", "a\\'b; --", "ключ-課"):
            with self.subTest(key=key):
                statement_fingerprint = fingerprint("INSERT 1")
                insert = insert_sql("diocese", key, statement_fingerprint, 100)
                self.database.execute(insert)
                self.database.execute(update_sql("diocese", key, 3, 77))
                select = select_sql("diocese", key)
                row = self.database.execute(select).fetchone()
                self.assertEqual(
                    decode_record("diocese", key, row),
                    Record("diocese", key, statement_fingerprint, 3, 77, 100),
                )

    def test_second_insert_of_a_key_violates_uniqueness(self):
        self.database.execute(insert_sql("a", "k", "f", 1))
        self.database.execute(insert_sql("b", "k", "f", 1))
        with self.assertRaisesRegex(Exception, "UNIQUE"):
            self.database.execute(insert_sql("a", "k", "f", 1))

    def test_purge_takes_a_batch_of_the_expired(self):
        """Keys accumulate for years and fill the target's disk.

        A single statement that deletes all of them would occupy a slot
        for seconds and stall callers.
        """
        for number in range(450):
            sql = insert_sql("a", f"old-{number}", "f", 1_000)
            self.database.execute(sql)
        self.database.execute(insert_sql("a", "young", "f", 90_000))
        count = "SELECT COUNT(*) FROM redwing_idempotency"
        for left in (251, 51, 1, 1):
            self.database.execute(purge_sql(90_000))
            rows = self.database.execute(count).fetchone()[0]
            self.assertEqual(rows, left)


class DuplicateTest(TestCase):
    def test_table(self):
        record = Record("a", "k", "print-1", 1, 9, 5)
        table = [
            (record, "print-1", Duplicate.RECORDED, None),
            (record, "print-2", Duplicate.REUSED, Code.KEY_REUSED),
            (None, "print-1", Duplicate.RUNNING, Code.STILL_RUNNING),
        ]
        for stored, statement_fingerprint, duplicate, code in table:
            with self.subTest(duplicate=duplicate):
                answer = resolve_duplicate(stored, statement_fingerprint)
                self.assertIs(answer.duplicate, duplicate)
                refused = answer.refusal and answer.refusal.code
                self.assertEqual(refused, code)

    def test_blanks_in_literals_are_significant(self):
        self.assertNotEqual(
            fingerprint("INSERT 'a b'"), fingerprint("INSERT 'a  b'")
        )
