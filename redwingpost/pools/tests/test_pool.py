"""Which connection serves whom."""

from unittest import TestCase

from redwingpost.pools.pool import (
    IDLE_BEYOND_SHARE_S,
    KEEP_TO_SHARE_S,
    Busy,
    ConnectionBudget,
    MemberPool,
    Open,
    PooledLink,
)


class FakeLink:
    """A link that is open until told otherwise."""

    is_open = True


def _pool(max_connections: int = 32, vms: int = 6) -> MemberPool:
    budget = ConnectionBudget()
    budget.set_terms(max_connections, vms)
    return MemberPool(budget)


def _fill(pool: MemberPool, organisations: list[str], now: float) -> list:
    items = []
    for organisation in organisations:
        taken = pool.take(organisation, {}, now)
        assert isinstance(taken, Open), taken
        items.append(PooledLink(FakeLink(), organisation))
    return items


class PoolTest(TestCase):
    def test_own_idle_connections_come_first(self) -> None:
        pool = _pool()
        items = _fill(pool, ["a", "b"], 0.0)
        for item in items:
            pool.give_back(item, 0.0)
        self.assertIs(items[0], pool.take("a", {}, 1.0))

    def test_a_connection_that_holds_the_values_is_preferred(self) -> None:
        pool = _pool()
        items = _fill(pool, ["a", "a"], 0.0)
        items[0].contents.values_by_name["tone"] = "low"
        for item in items:
            pool.give_back(item, 0.0)
        self.assertIs(items[0], pool.take("a", {"tone": "low"}, 1.0))

    def test_the_longest_idle_makes_room(self) -> None:
        """Eight organisations share the places of one VM.

        With a fixed part each, the large ones would wait while the
        connections of the small ones rest.
        """
        pool = _pool()
        items = _fill(pool, ["a", "b", "c", "d", "e"], 0.0)
        for now, item in enumerate(items):
            pool.give_back(item, float(now))
        taken = pool.take("f", {}, 10.0)
        self.assertIs(items[0], taken.instead_of)

    def test_all_places_in_use(self) -> None:
        pool = _pool()
        _fill(pool, ["a"] * 5, 0.0)
        self.assertIsInstance(pool.take("a", {}, 0.0), Busy)
        pool.drop()
        self.assertIsInstance(pool.take("a", {}, 0.0), Open)

    def test_what_closes_when(self) -> None:
        late = IDLE_BEYOND_SHARE_S + 1.0
        cases = (
            ("in use lately", 0.5, False, 0),
            ("beyond the share", late, False, 1),
            ("member takes no work", 0.5, True, 5),
        )
        for name, now, all_of_them, closed in cases:
            with self.subTest(name):
                pool = _pool()
                for item in _fill(pool, ["a"] * 5, 0.0):
                    pool.give_back(item, 0.0)
                closing = pool.close_idle(now, all_of_them)
                self.assertEqual(closed, len(closing))

    def test_a_refusal_brings_the_equal_part_back(self) -> None:
        """Six VMs go beyond their part at once, and the member refuses.

        Kept up, every second connection would fail.
        """
        budget = ConnectionBudget()
        budget.set_terms(32, 6)
        self.assertGreater(budget.allowed(0.0), budget.share)
        budget.note_refused(1.0)
        self.assertEqual(budget.share, budget.allowed(1.1))
        later = 1.1 + KEEP_TO_SHARE_S
        self.assertGreater(budget.allowed(later), budget.share)
