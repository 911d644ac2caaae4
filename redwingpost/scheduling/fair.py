"""Weighted fair queueing among organisations, then among their kinds.

Load pattern: one organisation sends several times what the others send
while a target is full. A first-come queue would give it several times
their service and make everybody wait behind its backlog. Here each
organisation is served by its weight, whatever it has queued, and inside
an organisation each request kind by its own weight, so that an order
overtakes catalogue pages.

Start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair
Queuing", SIGCOMM 1996): a flow's next request starts, in virtual time,
when its last one ended; the least start goes first. It needs no guess of
the target's speed, which changes when a target slows.

Bound on starvation: while a flow is backlogged, every other flow is
served at most once more than its weight entitles it to. A request at the
head of its flow therefore waits for at most one request of each other
backlogged flow besides what the weights share out (theorem 4 of the
paper; ``test_starvation_bound``).
"""

from collections import deque
from heapq import heappop, heappush
from itertools import count
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")

#: Least weight; a weight of zero would never be served.
MIN_WEIGHT = 0.01


class Flow(NamedTuple):
    """Whose a request is and what it counts."""

    organisation: str
    kind: str
    organisation_weight: float = 1.0
    kind_weight: float = 1.0


class _Kind(Generic[T]):
    """One kind's requests within an organisation, first come first."""

    def __init__(self) -> None:
        self.items: deque[tuple[T, float, float]] = deque()
        self.finish = 0.0
        self.queued_cost = 0.0


class _Organisation(Generic[T]):
    """One organisation's kinds and its place in virtual time."""

    def __init__(self) -> None:
        self.kinds_by_name: dict[str, _Kind[T]] = {}
        self.finish = 0.0
        self.start = 0.0
        self.weight = 1.0
        self.virtual_time = 0.0
        self.queued = 0
        self.queued_cost = 0.0


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
        self._organisations_by_name: dict[str, _Organisation[T]] = {}
        self._active: list[tuple[float, int, str]] = []
        self._numbers = count()
        self._virtual_time = 0.0
        self._queued = 0
        self._queued_cost = 0.0

    def __len__(self) -> int:
        return self._queued

    @property
    def queued_cost(self) -> float:
        """Cost of all that waits, in cost units."""
        return self._queued_cost

    def backlog(self, flow: Flow) -> float:
        """Return the cost that waits before a new request of a flow."""
        found = self._organisations_by_name.get(flow.organisation)
        kind = found.kinds_by_name.get(flow.kind) if found else None
        return kind.queued_cost if kind else 0.0

    def share(self, flow: Flow) -> float:
        """Return the part of the service that a flow is entitled to.

        Its organisation's part among those who wait, times the kind's
        part among the organisation's kinds that wait.
        """
        own = max(flow.organisation_weight, MIN_WEIGHT)
        others = sum(
            found.weight
            for name, found in self._organisations_by_name.items()
            if found.queued and name != flow.organisation
        )
        return own / (own + others) * self._kind_share(flow)

    def _kind_share(self, flow: Flow) -> float:
        own = max(flow.kind_weight, MIN_WEIGHT)
        found = self._organisations_by_name.get(flow.organisation)
        kinds = found.kinds_by_name if found else {}
        others = sum(
            kind.items[-1][2]
            for name, kind in kinds.items()
            if kind.items and name != flow.kind
        )
        return own / (own + others)

    def push(self, item: T, flow: Flow, cost: float) -> None:
        """Add a request of ``cost`` units."""
        found = self._organisations_by_name.get(flow.organisation)
        if found is None:
            found = _Organisation()
            self._organisations_by_name[flow.organisation] = found
        found.weight = max(flow.organisation_weight, MIN_WEIGHT)
        kind = found.kinds_by_name.setdefault(flow.kind, _Kind())
        if not kind.items:
            kind.finish = max(kind.finish, found.virtual_time)
        kind.items.append((item, cost, max(flow.kind_weight, MIN_WEIGHT)))
        kind.queued_cost += cost
        found.queued += 1
        found.queued_cost += cost
        self._queued += 1
        self._queued_cost += cost
        if found.queued == 1:
            self._activate(flow.organisation, found)

    def _activate(self, name: str, found: _Organisation[T]) -> None:
        found.start = max(self._virtual_time, found.finish)
        heappush(self._active, (found.start, next(self._numbers), name))

    def pop(self) -> T | None:
        """Remove and return the request that is due, None if none is."""
        while self._active:
            start, _, name = heappop(self._active)
            found = self._organisations_by_name[name]
            if not found.queued or start != found.start:
                continue
            self._virtual_time = start
            item, cost = _take_from(found)
            found.finish = start + cost / found.weight
            self._count_out(found, cost)
            if found.queued:
                self._activate(name, found)
            return item
        return None

    def remove(self, item: T, flow: Flow) -> bool:
        """Take a request out that is no longer wanted.

        Its flow isn't charged: what was never served must not delay the
        organisation's other requests.
        """
        found = self._organisations_by_name.get(flow.organisation)
        kind = found.kinds_by_name.get(flow.kind) if found else None
        for entry in kind.items if kind else ():
            if entry[0] is item:
                kind.items.remove(entry)
                kind.queued_cost = max(0.0, kind.queued_cost - entry[1])
                self._count_out(found, entry[1])
                return True
        return False

    def longest(self) -> T | None:
        """Return the last request of the flow with most cost per weight.

        It is the one to give up where the queue is full: dropping the
        newcomer instead would let a flood push everyone else out.
        """
        waiting = [
            found
            for found in self._organisations_by_name.values()
            if found.queued
        ]
        if not waiting:
            return None
        most = max(waiting, key=lambda one: one.queued_cost / one.weight)
        kinds = [kind for kind in most.kinds_by_name.values() if kind.items]
        lightest = min(kinds, key=lambda kind: kind.items[-1][2])
        return lightest.items[-1][0]

    def _count_out(self, found: _Organisation[T], cost: float) -> None:
        found.queued -= 1
        found.queued_cost = max(0.0, found.queued_cost - cost)
        self._queued -= 1
        self._queued_cost = max(0.0, self._queued_cost - cost)


def _take_from(found: _Organisation[T]) -> tuple[T, float]:
    """Take the organisation's next request, kinds by their weights."""
    waiting = [kind for kind in found.kinds_by_name.values() if kind.items]
    kind = min(waiting, key=lambda one: one.finish)
    item, cost, weight = kind.items.popleft()
    found.virtual_time = kind.finish
    kind.finish += cost / weight
    kind.queued_cost = max(0.0, kind.queued_cost - cost)
    return item, cost
