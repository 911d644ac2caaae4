"""Tests of fair queueing and of learning which statements are long."""

from collections import Counter
from random import Random
from unittest import TestCase

from redwingpost.scheduling.fair import FairQueue, Flow, Preference
from redwingpost.scheduling.long_jobs import JobLengths, shape_of


def _pop_all(queue, limit=None):
    items = []
    while len(queue) and (limit is None or len(items) < limit):
        items.append(queue.pop())
    return items


class FairQueueTest(TestCase):
    def test_weights(self):
        queue = FairQueue()
        for number in range(100):
            queue.push(("a", number), Flow("a", "", 3.0), 1.0)
            queue.push(("b", number), Flow("b", "", 1.0), 1.0)
        counts = Counter(name for name, _ in _pop_all(queue, 80))
        self.assertEqual(counts, {"a": 60, "b": 20})

    def test_costs(self):
        queue = FairQueue()
        for number in range(100):
            queue.push(("expensive", number), Flow("expensive", ""), 4.0)
            queue.push(("cheap", number), Flow("cheap", ""), 1.0)
        counts = Counter(name for name, _ in _pop_all(queue, 50))
        self.assertEqual(counts, {"expensive": 10, "cheap": 40})

    def test_kinds_inside_an_organisation(self):
        queue = FairQueue()
        for number in range(40):
            queue.push("page", Flow("a", "page", 1.0, 1.0), 1.0)
            queue.push("order", Flow("a", "order", 1.0, 4.0), 1.0)
        counts = Counter(_pop_all(queue, 25))
        self.assertEqual(counts, {"order": 20, "page": 5})

    def test_first_come_first_served_within_a_flow(self):
        queue = FairQueue()
        for number in range(10):
            queue.push(number, Flow("a", ""), 1.0)
        self.assertEqual(_pop_all(queue), list(range(10)))

    def test_idling_earns_no_credit(self):
        queue = FairQueue()
        for number in range(50):
            queue.push(("busy", number), Flow("busy", ""), 1.0)
        _pop_all(queue, 40)
        for number in range(10):
            queue.push(("late", number), Flow("late", ""), 1.0)
        names = [name for name, _ in _pop_all(queue, 10)]
        self.assertEqual(Counter(names), {"busy": 5, "late": 5})

    def test_starvation_bound(self):
        # A single request of one organisation among the backlogs of nine
        # others must wait for at most one request of each of them.
        random = Random(7)
        for _ in range(50):
            queue = FairQueue()
            for name in "bcdefghij":
                for number in range(random.randrange(1, 200)):
                    queue.push((name, number), Flow(name, ""), 1.0)
            _pop_all(queue, random.randrange(0, 9))
            queue.push(("a", 0), Flow("a", ""), 1.0)
            ahead = _pop_all(queue).index(("a", 0))
            self.assertLessEqual(ahead, 9)

    def test_removed_requests_cost_nothing(self):
        queue = FairQueue()
        gone, kept, other = ["gone"], ["kept"], ["other"]
        queue.push(gone, Flow("a", ""), 100.0)
        queue.push(kept, Flow("a", ""), 1.0)
        queue.push(other, Flow("b", ""), 1.0)
        self.assertTrue(queue.remove(gone, Flow("a", "")))
        self.assertFalse(queue.remove(gone, Flow("a", "")))
        self.assertEqual(_pop_all(queue), [kept, other])
        self.assertEqual(queue.queued_cost, 0.0)

    def test_longest_flow_is_evicted_first(self):
        queue = FairQueue()
        for number in range(9):
            queue.push(("flood", number), Flow("flood", ""), 1.0)
        queue.push(("idle", 0), Flow("idle", ""), 1.0)
        self.assertEqual(queue.eviction_candidate(), ("flood", 8))

    def test_random_use_keeps_the_counts(self):
        random = Random(3)
        queue = FairQueue()
        waiting = {}
        for number in range(5000):
            name = random.choice("abcde")
            flow = Flow(name, random.choice("xy"), random.choice((1.0, 2.0)))
            action = random.random()
            if action < 0.5:
                item = [number]
                queue.push(item, flow, random.uniform(0.5, 3.0))
                waiting[number] = (item, flow)
            elif action < 0.9 and waiting:
                del waiting[queue.pop()[0]]
            elif waiting:
                key = random.choice(sorted(waiting))
                item, flow = waiting.pop(key)
                self.assertTrue(queue.remove(item, flow))
            self.assertEqual(len(queue), len(waiting))
        self.assertEqual(len(_pop_all(queue)), len(waiting))


class JobLengthsTest(TestCase):
    def test_a_shape_is_learned(self):
        lengths = JobLengths()
        shape = shape_of("SELECT SUM(x) FROM years WHERE y = 2026")
        self.assertFalse(lengths.is_long(shape))
        lengths.observe(shape, 3.0, typical_s=0.01)
        other = shape_of("SELECT SUM(x) FROM years WHERE y = 1999")
        self.assertTrue(lengths.is_long(other))
        for _ in range(20):
            lengths.observe(shape, 0.01, typical_s=0.01)
        self.assertFalse(lengths.is_long(shape))

    def test_an_overload_does_not_classify_jobs_as_long(self):
        # In an overload every statement takes half a second, because it
        # queues inside the member. If they counted as long jobs, they
        # would share the few slots for those and starve.
        lengths = JobLengths()
        shape = shape_of("SELECT page FROM plans WHERE id = 7")
        for _ in range(50):
            lengths.observe(shape, 0.5, typical_s=0.4)
        self.assertFalse(lengths.is_long(shape))


class CostAheadTest(TestCase):
    """The counted cost against the order in which the queue serves."""

    def test_against_the_order_of_service(self) -> None:
        """Guards against wait estimates that refuse what can be served."""
        for seed in range(30):
            with self.subTest(seed=seed):
                random = Random(seed)
                flows = [
                    Flow(f"p{outer}", f"o{inner}", 2.0**outer, inner + 1.0)
                    for outer in range(3)
                    for inner in range(4)
                ]
                queue = FairQueue()
                for number in range(random.randrange(200)):
                    flow = random.choice(flows)
                    queue.push(number, flow, 1.0)
                    if random.random() < 0.3:
                        queue.pop()
                flow = random.choice(flows)
                counted = queue.cost_ahead(flow).total_cost
                queue.push("new", flow, 1.0)
                position = _pop_all(queue).index("new")
                # Requests with equal tags may go first or second.
                self.assertLessEqual(abs(counted - position), 6)


class PreferenceTest(TestCase):
    """Kinds that may be served before their turn, within a bound."""

    def _fill(self, queue, weights, each=100):
        for number in range(each):
            for kind, weight in weights.items():
                queue.push((kind, number), Flow("", kind, 1.0, weight), 1.0)

    def test_batches_are_bounded(self) -> None:
        """Guards against organisations starved by those with connections."""
        for ahead in (0.0, 2.0, 8.0):
            with self.subTest(ahead=ahead):
                queue = FairQueue()
                self._fill(queue, {"a": 1.0, "b": 1.0, "c": 1.0})
                preference = Preference(lambda kind: kind == "a", ahead)
                names = [queue.pop(preference)[0] for _ in range(90)]
                first_other = next(
                    turn for turn, name in enumerate(names) if name != "a"
                )
                self.assertLessEqual(first_other, ahead + 1)
                served = Counter(names)
                for name in "bc":
                    self.assertGreaterEqual(served[name], 30 - ahead)

    def test_weights_hold_whoever_is_preferred(self) -> None:
        weights = {"a": 4.0, "b": 2.0, "c": 1.0}
        random = Random(4)
        queue = FairQueue()
        self._fill(queue, weights, each=500)
        served = Counter()
        for _ in range(350):
            names = random.sample(sorted(weights), 2)
            preference = Preference(names.__contains__, 8.0)
            served[queue.pop(preference)[0]] += 1
        for name, weight in weights.items():
            self.assertLessEqual(abs(served[name] - 50 * weight), 17, served)

    def test_a_new_kind_does_not_wait_for_a_batch(self) -> None:
        """Guards against newcomers placed behind what was served early."""
        queue = FairQueue()
        self._fill(queue, {"a": 1.0, "b": 1.0})
        preference = Preference(lambda kind: kind == "a", 8.0)
        for _ in range(9):
            queue.pop(preference)
        queue.push(("new", 0), Flow("", "new"), 1.0)
        names = [queue.pop()[0] for _ in range(3)]
        self.assertIn("new", names)
