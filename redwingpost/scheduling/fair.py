"""Weighted fair queueing among organisations, then among request kinds.

Load pattern: one organisation sends several times what the others send
while a target is saturated. A first-come queue would give it several
times their service and make everybody wait behind its backlog. Here each
organisation is served by its weight, whatever it has queued, and inside
an organisation each request kind by its own weight, so that an order
overtakes catalogue pages.

Start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair
Queuing", SIGCOMM 1996): a flow's next request starts, in virtual time,
when its last one ended; the request with the least start tag goes first.
The algorithm needs no estimate of the target's speed, which varies.

Bound on starvation: while a flow is backlogged, every other flow is
served at most once more than its weight entitles it to. A request at the
head of its flow therefore waits for at most one request of each other
backlogged flow in addition to their weighted shares (theorem 4 of the
paper; ``test_starvation_bound``).

The two levels may stand for other things: where statements have
priorities, the outer level is the priority and the inner one the
organisation (``redwingpost.node.member_admission``).
"""

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from math import ceil
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")

#: Smallest weight; a flow with weight zero would never be served.
MIN_WEIGHT = 0.01


class Flow(NamedTuple):
    """Organisation and kind of a request, with their weights."""

    organisation: str
    kind: str
    organisation_weight: float = 1.0
    kind_weight: float = 1.0


class Preference(NamedTuple):
    """Kinds of an organisation that may be served before their turn.

    ``is_preferred`` is given a kind's name. ``ahead`` is how many requests
    of a kind may be served before their turn: a request at the head of
    another kind waits for so many more of each preferred kind.
    """

    is_preferred: Callable[[str], bool]
    ahead: float


NO_PREFERENCE = Preference(lambda kind: False, 0.0)


class CostAhead(NamedTuple):
    """Cost that is served before a new request, in cost units.

    ``outer_cost`` is the part of it with the same outer level.
    """

    total_cost: float
    outer_cost: float


class _KindQueue(Generic[T]):
    """Requests of one kind of an organisation, in order of arrival.

    ``items`` holds the item, its cost and its kind's weight.
    """

    def __init__(self) -> None:
        self.items: deque[tuple[T, float, float]] = deque()
        self.finish_tag = 0.0
        self.queued_cost = 0.0


class _OrganisationQueue(Generic[T]):
    """Queues of one organisation, with its tags in virtual time."""

    def __init__(self) -> None:
        self.kinds_by_name: dict[str, _KindQueue[T]] = {}
        self.finish_tag = 0.0
        self.start_tag = 0.0
        self.weight = 1.0
        self.virtual_time = 0.0
        self.queued = 0
        self.queued_cost = 0.0

    def next_start_tag(self, virtual_time: float) -> float:
        """Return the start tag of the next request of this organisation."""
        if self.queued:
            return self.start_tag
        return max(virtual_time, self.finish_tag)

    def first_wanted(
        self, is_wanted: Callable[[T], bool]
    ) -> _KindQueue[T] | None:
        """Return the first kind, in order, whose first request is wanted."""
        waiting = [kind for kind in self.kinds_by_name.values() if kind.items]
        waiting.sort(key=lambda kind: kind.finish_tag)
        return next(
            (kind for kind in waiting if is_wanted(kind.items[0][0])), None
        )

    def cost_ahead(self, flow: Flow) -> float:
        """Return the queued cost that is served before a new request."""
        own = self.kinds_by_name.get(flow.kind)
        if own is None:
            due_tag, own_cost = self.virtual_time, 0.0
        else:
            weight = max(flow.kind_weight, MIN_WEIGHT)
            first_tag = own.finish_tag
            if not own.items:
                first_tag = max(first_tag, self.virtual_time)
            due_tag = first_tag + own.queued_cost / weight
            own_cost = own.queued_cost
        return own_cost + sum(
            _cost_before(
                due_tag,
                kind.finish_tag,
                kind.items[0][2],
                kind.items[0][1],
                kind.queued_cost,
            )
            for kind in self.kinds_by_name.values()
            if kind.items and kind is not own
        )


class FairQueue(Generic[T]):
    """Requests that wait for one target.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for number in range(3):
    ...     queue.push(f"a{number}", Flow("a", ""), 1.0)
    >>> queue.push("b0", Flow("b", ""), 1.0)
    >>> [queue.pop() for _ in range(4)]
    ['a0', 'b0', 'a1', 'a2']
    """

    def __init__(self) -> None:
        self._organisations_by_name: dict[str, _OrganisationQueue[T]] = {}
        self._active: list[tuple[float, int, str]] = []
        self._tie_breakers = count()
        self._virtual_time = 0.0
        self._queued = 0
        self._queued_cost = 0.0

    def __len__(self) -> int:
        return self._queued

    @property
    def queued_cost(self) -> float:
        """Cost of all queued requests, in cost units."""
        return self._queued_cost

    def backlog(self, flow: Flow) -> float:
        """Return the cost queued ahead of a new request of a flow."""
        organisation = self._organisations_by_name.get(flow.organisation)
        kind = (
            organisation.kinds_by_name.get(flow.kind) if organisation else None
        )
        return kind.queued_cost if kind else 0.0

    def has_queued(self, organisation: str) -> bool:
        """Return whether an organisation has any request queued."""
        known = self._organisations_by_name.get(organisation)
        return known is not None and known.queued > 0

    def share(self, flow: Flow) -> float:
        """Return the share of the service that a flow is entitled to.

        The organisation's weight among the backlogged organisations,
        times the kind's weight among the organisation's backlogged kinds.
        """
        own_weight = max(flow.organisation_weight, MIN_WEIGHT)
        other_weights = sum(
            organisation.weight
            for name, organisation in self._organisations_by_name.items()
            if organisation.queued and name != flow.organisation
        )
        return (
            own_weight / (own_weight + other_weights) * self._kind_share(flow)
        )

    def _kind_share(self, flow: Flow) -> float:
        own_weight = max(flow.kind_weight, MIN_WEIGHT)
        organisation = self._organisations_by_name.get(flow.organisation)
        kinds = organisation.kinds_by_name if organisation else {}
        other_weights = sum(
            kind.items[-1][2]
            for name, kind in kinds.items()
            if kind.items and name != flow.kind
        )
        return own_weight / (own_weight + other_weights)

    def cost_ahead(self, flow: Flow) -> CostAhead:
        """Return what is served before a new request of a flow.

        It holds if nothing else arrives. Requests cost as much as the
        first one of their flow is taken to.

        Examples
        --------
        >>> queue = FairQueue()
        >>> for number in range(9):
        ...     queue.push(number, Flow("a", ""), 1.0)
        >>> queue.cost_ahead(Flow("a", "")), queue.cost_ahead(Flow("b", ""))
        (CostAhead(total_cost=9.0, outer_cost=9.0), \
CostAhead(total_cost=0.0, outer_cost=0.0))
        """
        organisation = self._organisations_by_name.get(flow.organisation)
        if organisation is None:
            start_tag, outer_cost = self._virtual_time, 0.0
        else:
            start_tag = organisation.next_start_tag(self._virtual_time)
            outer_cost = organisation.cost_ahead(flow)
        weight = max(flow.organisation_weight, MIN_WEIGHT)
        due_tag = start_tag + outer_cost / weight
        other_cost = sum(
            _cost_before(
                due_tag,
                other.start_tag,
                other.weight,
                other.queued_cost / other.queued,
                other.queued_cost,
            )
            for other in self._organisations_by_name.values()
            if other.queued and other is not organisation
        )
        return CostAhead(outer_cost + other_cost, outer_cost)

    def push(self, item: T, flow: Flow, cost: float) -> None:
        """Add a request of ``cost`` cost units."""
        organisation = self._organisations_by_name.get(flow.organisation)
        if organisation is None:
            organisation = _OrganisationQueue()
            self._organisations_by_name[flow.organisation] = organisation
        organisation.weight = max(flow.organisation_weight, MIN_WEIGHT)
        kind = organisation.kinds_by_name.setdefault(flow.kind, _KindQueue())
        if not kind.items:
            kind.finish_tag = max(kind.finish_tag, organisation.virtual_time)
        kind.items.append((item, cost, max(flow.kind_weight, MIN_WEIGHT)))
        kind.queued_cost += cost
        organisation.queued += 1
        organisation.queued_cost += cost
        self._queued += 1
        self._queued_cost += cost
        if organisation.queued == 1:
            self._activate(flow.organisation, organisation)

    def _activate(
        self, name: str, organisation: _OrganisationQueue[T]
    ) -> None:
        organisation.start_tag = max(
            self._virtual_time, organisation.finish_tag
        )
        heappush(
            self._active,
            (organisation.start_tag, next(self._tie_breakers), name),
        )

    def pop(self, preference: Preference = NO_PREFERENCE) -> T | None:
        """Remove and return the next request, or None if none is queued.

        Parameters
        ----------
        preference : Preference, optional
            Which kinds to serve before their turn.

        Examples
        --------
        >>> queue = FairQueue()
        >>> for number in range(3):
        ...     for kind in "ab":
        ...         queue.push(f"{kind}{number}", Flow("", kind), 1.0)
        >>> likes_b = Preference(lambda kind: kind == "b", 1.0)
        >>> [queue.pop(likes_b) for _ in range(6)]
        ['b0', 'b1', 'a0', 'b2', 'a1', 'a2']
        """
        while self._active:
            start_tag, _, name = heappop(self._active)
            organisation = self._organisations_by_name[name]
            if not organisation.queued or start_tag != organisation.start_tag:
                continue
            self._virtual_time = start_tag
            item, cost = _pop_from(organisation, preference)
            organisation.finish_tag = start_tag + cost / organisation.weight
            self._subtract(organisation, cost)
            if organisation.queued:
                self._activate(name, organisation)
            return item
        return None

    def pop_first(self, is_wanted: Callable[[T], bool]) -> T | None:
        """Remove and return the first request that is wanted.

        Only the first request of each flow is considered, in the order of
        service. None if none is wanted.
        """
        waiting = sorted(
            (
                organisation
                for organisation in self._organisations_by_name.items()
                if organisation[1].queued
            ),
            key=lambda one: one[1].start_tag,
        )
        for name, organisation in waiting:
            kind = organisation.first_wanted(is_wanted)
            if kind is None:
                continue
            self._virtual_time = max(
                self._virtual_time, organisation.start_tag
            )
            organisation.virtual_time = max(
                organisation.virtual_time, kind.finish_tag
            )
            item, cost = _pop_kind(kind)
            organisation.finish_tag = (
                organisation.start_tag + cost / organisation.weight
            )
            self._subtract(organisation, cost)
            if organisation.queued:
                self._activate(name, organisation)
            return item
        return None

    def remove(self, item: T, flow: Flow) -> bool:
        """Remove a request that is no longer wanted.

        Its flow isn't charged: a request that was never served must not
        delay the organisation's other requests.

        Returns
        -------
        bool
            False if the request isn't queued.
        """
        organisation = self._organisations_by_name.get(flow.organisation)
        kind = (
            organisation.kinds_by_name.get(flow.kind) if organisation else None
        )
        for queued_item in kind.items if kind else ():
            if queued_item[0] is item:
                kind.items.remove(queued_item)
                kind.queued_cost = max(0.0, kind.queued_cost - queued_item[1])
                self._subtract(organisation, queued_item[1])
                return True
        return False

    def eviction_candidate(self) -> T | None:
        """Return the request to drop when the queue is full.

        It is the newest one of the organisation with the most queued cost
        per weight, in its kind with the lowest weight. If the arriving
        request were dropped instead, a flood from one organisation would
        shut out all others.
        """
        waiting = [
            organisation
            for organisation in self._organisations_by_name.values()
            if organisation.queued
        ]
        if not waiting:
            return None
        heaviest = max(waiting, key=lambda one: one.queued_cost / one.weight)
        kinds = [
            kind for kind in heaviest.kinds_by_name.values() if kind.items
        ]
        lightest = min(kinds, key=lambda kind: kind.items[-1][2])
        return lightest.items[-1][0]

    def _subtract(
        self, organisation: _OrganisationQueue[T], cost: float
    ) -> None:
        organisation.queued -= 1
        organisation.queued_cost = max(0.0, organisation.queued_cost - cost)
        self._queued -= 1
        self._queued_cost = max(0.0, self._queued_cost - cost)


def _pop_from(
    organisation: _OrganisationQueue[T], preference: Preference
) -> tuple[T, float]:
    """Pop an organisation's next request and return it with its cost."""
    first = min(
        (kind for kind in organisation.kinds_by_name.values() if kind.items),
        key=lambda one: one.finish_tag,
    )
    chosen = first
    if preference.ahead:
        chosen = _preferred(organisation, first.finish_tag, preference)
    # A kind that begins to wait starts with the least tag, not with that of
    # a kind that was served before its turn.
    organisation.virtual_time = first.finish_tag
    return _pop_kind(chosen or first)


def _preferred(
    organisation: _OrganisationQueue[T],
    first_tag: float,
    preference: Preference,
) -> _KindQueue[T] | None:
    """Return the first preferred kind that may be served by now."""
    near = [
        kind
        for name, kind in organisation.kinds_by_name.items()
        if kind.items
        and kind.finish_tag - first_tag
        <= preference.ahead * kind.items[0][1] / kind.items[0][2]
        and preference.is_preferred(name)
    ]
    return min(near, key=lambda one: one.finish_tag, default=None)


def _pop_kind(kind: _KindQueue[T]) -> tuple[T, float]:
    """Pop a kind's first request and return it with its cost."""
    item, cost, weight = kind.items.popleft()
    kind.finish_tag += cost / weight
    kind.queued_cost = max(0.0, kind.queued_cost - cost)
    return item, cost


def _cost_before(
    due_tag: float,
    first_tag: float,
    weight: float,
    cost: float,
    queued_cost: float,
) -> float:
    """Return the cost of a flow's requests that start before a tag.

    Parameters
    ----------
    due_tag, first_tag : float
        The tag, and the start tag of the flow's first request.
    weight : float
        The flow's weight.
    cost, queued_cost : float
        Cost of one request, and of all that are queued.
    """
    if first_tag >= due_tag or cost <= 0.0:
        return 0.0
    requests = ceil((due_tag - first_tag) * weight / cost)
    return min(queued_cost, requests * cost)
