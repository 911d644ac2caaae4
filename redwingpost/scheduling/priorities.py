"""Weights of priorities and organisations in one fair queue.

Load pattern: callers of several priorities and many organisations compete
for a member. Served strictly by priority, the lowest one gets nothing
while the higher ones fill the member. With weights each priority is slowed
down in proportion, and inside a priority each organisation is served in
proportion to its rate.
"""

from collections.abc import Iterable
from math import isfinite
from typing import NamedTuple

from redwingpost.scheduling.fair import Flow

#: Weights of priorities 0, 1, 2, and 3 and beyond: each is served twice as
#: often as the next.
PRIORITY_WEIGHTS = (8.0, 4.0, 2.0, 1.0)


class OrganisationWeights(NamedTuple):
    """Weights of organisations; ``usual`` is that of any other one.

    Examples
    --------
    >>> weights = OrganisationWeights.of({"a": 30.0, "b": float("inf")})
    >>> weights.of_organisation("a"), weights.of_organisation("b")
    (30.0, 30.0)
    """

    weight_by_organisation: dict[str, float]
    usual: float

    @classmethod
    def of(cls, rate_by_organisation: dict[str, float]):
        """Return weights in proportion to rates (operations/s).

        An organisation without a limit gets the mean of those that have
        one: its callers share what one organisation would get.
        """
        finite = {
            name: rate
            for name, rate in rate_by_organisation.items()
            if isfinite(rate) and rate > 0.0
        }
        return cls(finite, _mean(finite.values()))

    def of_organisation(self, organisation: str) -> float:
        """Return an organisation's weight."""
        return self.weight_by_organisation.get(organisation, self.usual)

    def flow(self, priority: int, organisation: str) -> Flow:
        """Return the flow of an organisation's statements of a priority.

        Examples
        --------
        >>> OrganisationWeights({}, 1.0).flow(5, "a").organisation_weight
        1.0
        """
        last = len(PRIORITY_WEIGHTS) - 1
        priority = min(max(priority, 0), last)
        return Flow(
            f"priority {priority}",
            organisation,
            PRIORITY_WEIGHTS[priority],
            self.of_organisation(organisation),
        )


def _mean(rates: Iterable[float]) -> float:
    values = list(rates)
    return sum(values) / len(values) if values else 1.0
