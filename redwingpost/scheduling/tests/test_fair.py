"""Tests of fair queueing and of learning which statements are long."""

from collections import Counter
from random import Random
from unittest import TestCase

from redwingpost.scheduling.fair import FairQueue, Flow
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
