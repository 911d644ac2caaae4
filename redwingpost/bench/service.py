"""The service that each organisation got, from a run's attempts.

An organisation is entitled to the requests that a token bucket of its
rate and burst, full at the start, admits at their due times. Its service
is the number of requests that were answered. Above its rate an
organisation has no right to particular requests, so only the totals are
compared there.
"""

from collections import defaultdict
from typing import NamedTuple

from redwingpost.bench.history import (
    Attempt,
    AttemptResult,
    Grant,
    Operation,
    reported_not_run,
)
from redwingpost.bench.token_bucket import conforming


class RequestOutcome(NamedTuple):
    """The result of one request over all its attempts."""

    organisation: str
    kind: str
    operation: Operation
    group: str
    due_at: float
    answered: bool
    refused: bool
    code: int


class OrganisationService(NamedTuple):
    """Requests that an organisation offered, and their service.

    ``entitled`` counts the offered requests that fit its rate; the
    weights are by request kind.
    """

    organisation: str
    offered: int
    entitled: int
    answered: int
    refused: int
    entitled_weight: float
    answered_weight: float

    @property
    def ratio(self) -> float:
        """Answered weight divided by entitled weight, at most one."""
        if not self.entitled_weight:
            return 1.0
        return min(1.0, self.answered_weight / self.entitled_weight)

    @property
    def wrongful(self) -> int:
        """Number of refusals of requests within the rate."""
        if self.entitled == self.offered:
            return self.refused
        unserved = max(0, self.entitled - self.answered)
        return min(self.refused, unserved)


def request_outcomes(attempts: tuple[Attempt, ...]) -> list[RequestOutcome]:
    """Return the outcome of each request in order of due times."""
    attempts_by_request = defaultdict(list)
    for attempt in attempts:
        name = (attempt.organisation, attempt.request)
        attempts_by_request[name].append(attempt)
    outcomes = [
        _make_outcome(request_attempts)
        for request_attempts in attempts_by_request.values()
    ]
    return sorted(outcomes, key=lambda outcome: outcome.due_at)


def _make_outcome(attempts: list[Attempt]) -> RequestOutcome:
    last = max(attempts, key=lambda attempt: attempt.number)
    answered = any(a.verdict is AttemptResult.ANSWERED for a in attempts)
    return RequestOutcome(
        organisation=last.organisation,
        kind=last.kind,
        operation=last.operation,
        group=last.group,
        due_at=attempts[0].due_at,
        answered=answered,
        refused=not answered and all(reported_not_run(a) for a in attempts),
        code=0 if answered else last.code,
    )


def token_cost(operation: Operation) -> int:
    """Return a request's tokens: 3 for ``BEGIN`` and two statements, or 1."""
    return 3 if operation is Operation.PAIR else 1


def _entitled(requests: list[RequestOutcome], grant: Grant) -> list[bool]:
    """Return for each request whether the rate admits its statements."""
    due = [r.due_at for r in requests for _ in range(token_cost(r.operation))]
    passed = iter(conforming(due, grant.rate, grant.burst))
    return [
        all([next(passed) for _ in range(token_cost(r.operation))])
        for r in requests
    ]


def measure_by_organisation(
    requests: list[RequestOutcome],
    grants_by_organisation: dict[str, Grant],
    weights_by_kind: dict[str, float],
) -> dict[str, OrganisationService]:
    """Return the service of every organisation that sent requests.

    Parameters
    ----------
    requests : list of RequestOutcome
        In order of their due times.
    grants_by_organisation : dict of str to Grant
        Organisations without a grant are left out.
    weights_by_kind : dict of str to float
        Kinds that are not listed have weight 1.

    Returns
    -------
    dict of str to OrganisationService
        By organisation.
    """
    requests_by_organisation = defaultdict(list)
    for request in requests:
        if request.organisation in grants_by_organisation:
            requests_by_organisation[request.organisation].append(request)
    return {
        organisation: _measure_organisation(
            organisation,
            offered,
            grants_by_organisation[organisation],
            weights_by_kind,
        )
        for organisation, offered in requests_by_organisation.items()
    }


def _measure_organisation(
    organisation: str,
    offered: list[RequestOutcome],
    grant: Grant,
    weights_by_kind: dict[str, float],
) -> OrganisationService:
    entitled = _entitled(offered, grant)
    weights = [weights_by_kind.get(r.kind, 1.0) for r in offered]
    return OrganisationService(
        organisation=organisation,
        offered=len(offered),
        entitled=sum(entitled),
        answered=sum(r.answered for r in offered),
        refused=sum(r.refused for r in offered),
        entitled_weight=sum(w for w, ok in zip(weights, entitled) if ok),
        answered_weight=sum(w for w, r in zip(weights, offered) if r.answered),
    )


def fair_shares(
    demand_by_organisation: dict[str, float],
    weight_by_organisation: dict[str, float],
    capacity: float,
) -> dict[str, float]:
    """Return the weighted max-min fair division of a capacity.

    No organisation gets more than its demand; the rest is divided among
    the others by weight (Bertsekas and Gallager, "Data Networks", 1992,
    section 6.5.2).

    Examples
    --------
    >>> fair_shares({"a": 1.0, "b": 9.0}, {"a": 1.0, "b": 1.0}, 6.0)
    {'a': 1.0, 'b': 5.0}
    """
    shares = {}
    capacity_left = capacity
    weights_left = sum(weight_by_organisation.values())
    by_relative_demand = sorted(
        demand_by_organisation,
        key=lambda o: demand_by_organisation[o] / weight_by_organisation[o],
    )
    for organisation in by_relative_demand:
        weight = weight_by_organisation[organisation]
        fair = capacity_left * weight / weights_left
        shares[organisation] = min(demand_by_organisation[organisation], fair)
        capacity_left -= shares[organisation]
        weights_left -= weight
    return shares


def worst_fair_share_ratio(
    services_by_organisation: dict[str, OrganisationService],
    weight_by_organisation: dict[str, float],
) -> float:
    """Return the smallest ratio of answered requests to a fair share.

    The capacity is the sum of the answers within the organisations'
    rates, so that the ratio depends only on how it was divided.
    """
    services = services_by_organisation.values()
    demands = {s.organisation: float(s.entitled) for s in services}
    answered = float(sum(min(s.answered, s.entitled) for s in services))
    shares = fair_shares(
        demands,
        {name: weight_by_organisation.get(name, 1.0) for name in demands},
        answered,
    )
    ratios = [
        min(1.0, s.answered / shares[s.organisation])
        for s in services
        if shares[s.organisation]
    ]
    return min(ratios, default=1.0)
