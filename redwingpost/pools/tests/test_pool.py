"""Tests of claiming, returning and closing pooled connections."""

from unittest import TestCase

from redwingpost.core.statements import Shape
from redwingpost.pools.pool import (
    EQUAL_SHARE_AFTER_REFUSAL_S,
    IDLE_S,
    Busy,
    ConnectionBudget,
    MemberPool,
    Open,
    PooledLink,
)
from redwingpost.statements.setup import Prepare, SetValue, prepared_name


class FakeLink:
    """A connection that is open until ``is_open`` is set to False."""

    is_open = True


def _pool(max_connections: int = 32, vms: int = 6) -> MemberPool:
    budget = ConnectionBudget()
    budget.set_limits(max_connections, vms)
    return MemberPool(budget)


def _fill(pool: MemberPool, organisations: list[str], now: float) -> list:
    connections = []
    for organisation in organisations:
        taken = pool.take(organisation, {}, None, now)
        assert isinstance(taken, Open), taken
        connections.append(PooledLink(FakeLink(), organisation))
    return connections


class PoolTest(TestCase):
    def test_own_idle_connections_come_first(self) -> None:
        pool = _pool()
        connections = _fill(pool, ["a", "b"], 0.0)
        for pooled in connections:
            pool.give_back(pooled, 0.0)
        self.assertIs(connections[0], pool.take("a", {}, None, 1.0))

    def test_a_connection_that_holds_the_values_is_preferred(self) -> None:
        pool = _pool()
        connections = _fill(pool, ["a", "a"], 0.0)
        connections[0].contents.values_by_name["tone"] = "low"
        for pooled in connections:
            pool.give_back(pooled, 0.0)
        self.assertIs(
            connections[0], pool.take("a", {"tone": "low"}, None, 1.0)
        )

    def test_the_connection_that_lacks_least_is_preferred(self) -> None:
        shape = Shape(False, "q2")
        pool = _pool()
        connections = _fill(pool, ["a", "a", "a"], 0.0)
        connections[0].contents.apply(Prepare(prepared_name(shape), shape))
        connections[2].contents.apply(SetValue("tone", "low"))
        for pooled in connections:
            pool.give_back(pooled, 0.0)
        self.assertIs(connections[0], pool.take("a", {}, shape, 1.0))
        self.assertIs(connections[1], pool.take("a", {}, shape, 1.0))

    def test_pools_leave_free_connections_for_a_restart(self) -> None:
        """All VMs lose power at once and restart.

        A member counts the old connections for some more seconds. If the
        pools had been full, new connections would be refused, and with
        them callers, although members and VMs are healthy.
        """
        vms = 6
        left = 0
        for _ in range(vms):
            pool = _pool(max_connections=32, vms=vms)
            connections = _fill(pool, ["a", "b", "c", "d", "e"], 0.0)
            for now, pooled in enumerate(connections):
                pool.give_back(pooled, now * IDLE_S / 2.0)
            left += len(connections) - len(
                pool.close_idle(2.0 * IDLE_S, False)
            )
        self.assertLessEqual(left, 32 * 2 // 3)

    def test_the_longest_idle_connection_is_evicted(self) -> None:
        """More organisations than connections share one VM.

        With a fixed quota for each, the large ones would wait while
        connections of the small ones are idle.
        """
        pool = _pool()
        connections = _fill(pool, ["a", "b", "c", "d", "e"], 0.0)
        for now, pooled in enumerate(connections):
            pool.give_back(pooled, float(now))
        taken = pool.take("f", {}, None, 10.0)
        self.assertIs(connections[0], taken.evicted)

    def test_all_connections_in_use(self) -> None:
        pool = _pool()
        _fill(pool, ["a"] * 5, 0.0)
        self.assertIsInstance(pool.take("a", {}, None, 0.0), Busy)
        pool.drop()
        self.assertIsInstance(pool.take("a", {}, None, 0.0), Open)

    def test_when_idle_connections_are_closed(self) -> None:
        late = IDLE_S + 0.1
        cases = (
            ("in use lately", 0.5, False, 0),
            ("not used lately", late, False, 5),
            ("member takes no work", 0.5, True, 5),
        )
        for name, now, close_all, closed in cases:
            with self.subTest(name):
                pool = _pool()
                for pooled in _fill(pool, ["a"] * 5, 0.0):
                    pool.give_back(pooled, 0.0)
                closing = pool.close_idle(now, close_all)
                self.assertEqual(closed, len(closing))

    def test_a_cut_closes_idle_connections_beyond_the_share(self) -> None:
        """VMs behind a cut open connections to the same member.

        Guards against a member that resets connections, as both sides hold
        what one side may.
        """
        budget = ConnectionBudget()
        budget.set_limits(max_connections=32, vms=2)
        pool = MemberPool(budget)
        connections = _fill(pool, ["a"] * 17, 0.0)
        for pooled in connections[:12]:
            pool.give_back(pooled, 0.0)
        self.assertEqual([], pool.close_idle(0.5, close_all=False))
        budget.is_cut = True
        budget.set_limits(max_connections=32, vms=4)
        self.assertEqual((6, 6), (budget.share, budget.allowed(0.5)))
        closed = pool.close_idle(0.5, close_all=False)
        self.assertEqual(connections[:11], closed)
        self.assertIsInstance(pool.take("b", {}, None, 0.5), Open)
        budget.is_cut = False
        self.assertEqual(7, budget.allowed(0.5))

    def test_a_refusal_restores_the_equal_share(self) -> None:
        """Six VMs exceed their equal share at once; the member refuses.

        If they continued, every second connection would fail.
        """
        budget = ConnectionBudget()
        budget.set_limits(32, 6)
        self.assertGreater(budget.allowed(0.0), budget.share)
        budget.note_refused(1.0)
        self.assertEqual(budget.share, budget.allowed(1.1))
        later = 1.1 + EQUAL_SHARE_AFTER_REFUSAL_S
        self.assertGreater(budget.allowed(later), budget.share)
