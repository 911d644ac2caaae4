"""Random walks through the protocol, with larger bounds than the search."""

from operator import itemgetter
from random import Random

from hypothesis import HealthCheck, Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)
from unittest import TestCase

from redwingpost.verify import (
    Bounds,
    Model,
    Rules,
    initial_state,
    violation,
)

#: Fixed seeds, so that a failed run can be repeated.
WALKS = settings(
    max_examples=40,
    stateful_step_count=4,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)

#: An expected violation need not be shrunk.
UNSHRUNK = settings(WALKS, phases=(Phase.generate,), max_examples=200)


#: Steps of the model for each rule call of Hypothesis.
STRIDE = 25


class Walk(RuleBasedStateMachine):
    """Several writers and proposers at once; any step at any time."""

    rules_in_force = Rules()

    @initialize(
        members=strategies.sampled_from((3, 5)),
        keyed=strategies.lists(strategies.booleans(), min_size=1, max_size=3),
        elections=strategies.sampled_from(((2,), (1, 1), (2, 2), (2, 1, 1))),
    )
    def begin(self, members, keyed, elections):
        bounds = Bounds(members, elections, tuple(keyed), 3)
        self.model = Model(self.rules_in_force, bounds)
        self.state = initial_state(bounds)

    @rule(seed=strategies.integers(0, 2**32))
    def run_steps(self, seed):
        random = Random(seed)
        for _ in range(STRIDE):
            # The iteration order of sets differs between processes.
            steps = sorted(self.model.steps(self.state), key=itemgetter(0))
            if not steps:
                return
            _, self.state = random.choice(steps)
            assert violation(self.state) == "", violation(self.state)


class WithoutConfirm(Walk):
    """The same walk with writes acknowledged without confirmation."""

    rules_in_force = Rules(confirm=False)


class WalkTest(TestCase):
    """Two promotions, several writers, five members: too many states.

    A fault that needs two promotions would show to callers as an
    acknowledged write that is lost after the second one.
    """

    def test_promises_hold(self):
        run_state_machine_as_test(Walk, settings=WALKS)

    def test_a_broken_rule_is_detected(self):
        with self.assertRaises(AssertionError):
            run_state_machine_as_test(WithoutConfirm, settings=UNSHRUNK)
