"""redwingpost against a reference database, statement by statement.

Unless a request is refused, callers must receive the answers of a single
database, even if a session switches to another proxy, replicas lag or
an answer is lost.
"""

from itertools import count
from unittest import TestCase

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)
from hypothesis.strategies import booleans, integers, sampled_from

from redwingpost.bench.reference import SCHEMA, ReferenceDatabase
from redwingpost.bench.tests.differential import Session, fail_over
from redwingpost.proxy.tests.small_site import SmallSite

SESSIONS = 3
LAG_MS = 60.0

session_numbers = integers(0, SESSIONS - 1)
lines = integers(1, 4)
texts = sampled_from(["", "Marcos 4", "第三章", "it's a plan"])


def quote(text):
    return text.replace("'", "''")


class DifferentialStateMachine(RuleBasedStateMachine):
    """Sessions through two proxies of one site."""

    site = None
    sent = 0
    refused = 0

    @initialize()
    def start(self):
        self.keys = count(1)
        self.failovers_left = 1
        self.database = ReferenceDatabase()
        self.sessions = [
            Session(self.site, self.database, named=number > 0)
            for number in range(SESSIONS)
        ]

    def teardown(self):
        self._set_lag(False)
        for session in getattr(self, "sessions", ()):
            session.rollback()
            session.read()
            session.close()
            DifferentialStateMachine.sent += session.sent
            DifferentialStateMachine.refused += len(session.refused)

    def _set_lag(self, lagging):
        for member in self.site.group.members_by_name.values():
            member.replica.lag_s = LAG_MS / 1000 if lagging else 0.0

    def may_write(self, number):
        """Return whether no other session holds the member's writer lock.

        A member's stand-in has one lock for all writers. A second one
        would wait until the lock times out after five seconds, as
        callers of MySQL do too.
        """
        return not any(
            session.in_transaction
            for other, session in enumerate(self.sessions)
            if other != number
        )

    @rule(lagging=booleans())
    def replicas_lag(self, lagging):
        self._set_lag(lagging)

    @rule()
    def fail_over(self):
        # The primary stops and another member is promoted: a write that
        # was acknowledged before must not be lost.
        if self.failovers_left:
            self.failovers_left -= 1
            self.site.call(fail_over(self.site))

    @rule(number=session_numbers)
    def move(self, number):
        self.sessions[number].switch_proxy()

    @rule(number=session_numbers, line=lines, text=texts)
    def insert(self, number, line, text):
        if not self.may_write(number):
            return
        session = self.sessions[number]
        session.write(
            "INSERT INTO lines VALUES "
            f"('{session.name}', {line}, '{quote(text)}')"
        )

    @rule(number=session_numbers, line=lines, text=texts, again=booleans())
    def insert_once(self, number, line, text, again):
        # The answer to the caller was lost, so that it sends the same
        # request again through the other proxy.
        session = self.sessions[number]
        if session.in_transaction or not self.may_write(number):
            return
        key = f"k{next(self.keys)}"
        sql = (
            "INSERT INTO lines VALUES "
            f"('{session.name}', {line}, '{quote(text)}')"
        )
        session.write(sql, key)
        if again:
            session.switch_proxy()
            session.write(sql, key)

    @rule(number=session_numbers, line=lines, text=texts)
    def insert_and_lose_answer(self, number, line, text):
        # The primary commits and the connection breaks before its
        # answer: the caller must get "unknown", never "not run".
        session = self.sessions[number]
        busy = session.in_transaction or not self.may_write(number)
        if busy or not session.named:
            return
        for member in self.site.group.members_by_name.values():
            member.lost_answers = 1
            member.lost_answers_match = f"'{session.name}', {line},"
        session.write(
            "INSERT INTO lines VALUES "
            f"('{session.name}', {line}, '{quote(text)}')"
        )
        for member in self.site.group.members_by_name.values():
            member.lost_answers = 0
        session.read()

    @rule(number=session_numbers, line=lines, text=texts)
    def update(self, number, line, text):
        if not self.may_write(number):
            return
        session = self.sessions[number]
        session.write(
            f"UPDATE lines SET text = '{quote(text)}' "
            f"WHERE session = '{session.name}' AND line = {line}"
        )

    @rule(number=session_numbers, line=lines)
    def delete(self, number, line):
        if not self.may_write(number):
            return
        session = self.sessions[number]
        session.write(
            f"DELETE FROM lines WHERE session = '{session.name}' "
            f"AND line = {line}"
        )

    @rule(number=session_numbers)
    def read(self, number):
        self.sessions[number].read()

    @rule(number=session_numbers)
    def read_tolerant(self, number):
        self.sessions[number].read_tolerant()

    @rule(number=session_numbers)
    def begin(self, number):
        if self.may_write(number):
            self.sessions[number].begin()

    @rule(number=session_numbers)
    def commit(self, number):
        self.sessions[number].commit()

    @rule(number=session_numbers)
    def rollback(self, number):
        self.sessions[number].rollback()


class DifferentialTest(TestCase):
    def test_answers_equal_those_of_one_database(self):
        # A caller that edits, switches to another proxy and reads while
        # replicas lag could see stale rows, a write applied twice or
        # another session's rows.
        site = SmallSite(proxies=2, read_ms=0, write_ms=0, step_ms=0).start()
        self.addCleanup(site.stop)
        DifferentialStateMachine.site = site
        setup = Session(site, ReferenceDatabase(), named=False)
        setup._send(SCHEMA)
        setup.close()
        run_state_machine_as_test(
            DifferentialStateMachine,
            settings=settings(
                max_examples=25,
                stateful_step_count=30,
                derandomize=True,
                deadline=None,
                # No shrinking: each step takes real time, and a failing
                # example is short enough to be read unshrunk.
                phases=(Phase.generate,),
                suppress_health_check=list(HealthCheck),
            ),
        )
        # A proxy that refuses everything would pass the comparison, so
        # that refusals have to be rare.
        self.assertGreater(DifferentialStateMachine.sent, 200)
        self.assertLess(
            DifferentialStateMachine.refused, DifferentialStateMachine.sent / 5
        )
