"""Breadth-first search of all states that a model can reach."""

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import Generic, NamedTuple, TypeVar

S = TypeVar("S", bound=Hashable)

#: A step's name and the state that it leads to.
Successors = Callable[[S], Iterable[tuple[str, S]]]

#: Returns a description of a state's violation, or an empty string.
Invariant = Callable[[S], str]


class Found(NamedTuple, Generic[S]):
    """Outcome of a search.

    ``violation`` is empty if every state satisfied the invariant; otherwise
    ``trace`` holds the steps of a shortest path to the violation.
    ``complete`` is False if a violation or ``limit`` ended the search.
    """

    states: int
    violation: str
    trace: tuple[str, ...]
    complete: bool


def search(
    initial: S,
    successors: Successors,
    invariant: Invariant,
    limit: int = 1_000_000,
) -> Found[S]:
    """Visit all states that can be reached from ``initial``, nearest first.

    Parameters
    ----------
    initial : hashable
        The model's initial state.
    successors : callable
        Returns the steps possible in a state.
    invariant : callable
        Returns a violation's description or an empty string.
    limit : int, optional
        Maximum number of states to visit.

    Examples
    --------
    >>> def count(n):
    ...     return [("add", n + 1)] if n < 9 else []
    >>> search(0, count, lambda n: "").states
    10
    >>> search(0, count, lambda n: "big" if n > 1 else "").trace
    ('add', 'add')
    """
    parents: dict[S, tuple[S, str] | None] = {initial: None}
    queue = deque([initial])
    while queue:
        state = queue.popleft()
        violation = invariant(state)
        if violation:
            trace = _trace(state, parents)
            return Found(len(parents), violation, trace, False)
        for name, following in successors(state):
            if following in parents:
                continue
            if len(parents) >= limit:
                return Found(len(parents), "", (), False)
            parents[following] = (state, name)
            queue.append(following)
    return Found(len(parents), "", (), True)


def _trace(
    state: S, parents: dict[S, tuple[S, str] | None]
) -> tuple[str, ...]:
    steps = []
    link = parents[state]
    while link is not None:
        state, name = link
        steps.append(name)
        link = parents[state]
    return tuple(reversed(steps))


def replay(initial: S, successors: Successors, names: Iterable[str]) -> S:
    """Return the state that the named steps lead to.

    Raises
    ------
    ValueError
        If a step isn't possible in the state that precedes it.

    Examples
    --------
    >>> replay(0, lambda n: [("add", n + 1)], ["add", "add"])
    2
    """
    state = initial
    for name in names:
        following = dict(successors(state))
        if name not in following:
            raise ValueError(
                f"{name!r} isn't possible, only {sorted(following)}"
            )
        state = following[name]
    return state
