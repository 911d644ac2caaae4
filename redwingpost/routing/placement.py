"""Choice of the home that runs a statement, from what homes report.

Load pattern: twelve homes of unequal capacity, which get organisations by
their names alone. A home that holds several large organisations queues
their statements while others are idle; and during a partition some homes
reach no primary. Without the choice made here, statements wait there for
their entire time, although another home could have run them at once.

An organisation's own order of homes (rendezvous hashing) stays the rule: its
connections are open at its first home. Statements leave an overloaded home
for the next in *their organisation's* order that is much less loaded
(rendezvous hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam,
2018), so that organisations of one home spread over several others.

Reports are up to half a second old. If all statements left a home as soon as
it reports a wait, it would be idle by the time of its next report, and all
would return: a herd that moves from home to home. So only a part leaves, and
the more the longer the wait is: what stays is what brings the wait down to
the bound.
"""

from collections.abc import Mapping, Sequence
from enum import Enum
from math import ceil, inf
from typing import NamedTuple

#: Part of a route's target latency that a statement may wait at its first
#: home before it is placed elsewhere: of the rest, half is for the
#: statement itself and a quarter for the two hops and delays of reports.
WAIT_FRACTION = 0.25

#: Part of the first home's wait below which another home's must be. A
#: smaller difference isn't worth the new connections, and is within what
#: changes until the statement arrives.
MUCH_LESS = 0.5

#: Milliseconds until a retry if no home knows when it can run a statement:
#: a planned change of primary takes less.
UNABLE_RETRY_MS = 500


class Choice(Enum):
    """Why a statement goes where it goes; labels of a metric.

    ``FIRST``: to the organisation's first home. ``SPREAD``: elsewhere, as
    the first is overloaded. ``REACH``: elsewhere, as the first can't run it
    in time. ``REFUSED``: nowhere.
    """

    FIRST = "first"
    SPREAD = "spread"
    REACH = "reach"
    REFUSED = "refused"


class Need(NamedTuple):
    """What a statement needs of a home.

    ``remaining_s`` is the time until its caller gives up, and
    ``target_latency_s`` the intended duration of the whole operation
    (seconds). ``draw`` is a number from 0 to 1, even over all statements,
    that decides which of them leave an overloaded home. ``may_refuse`` is
    False if other homes may exist that aren't in the order.
    """

    remaining_s: float
    target_latency_s: float
    draw: float
    may_refuse: bool = True


class Placement(NamedTuple):
    """Homes to try, the best first, and why.

    ``passed_over`` is the first home of the order if another was chosen
    before it, ``wait_s`` what it reports (seconds). If the choice is
    ``REFUSED`` there are no homes, and ``retry_after_ms`` is the time until
    one of them can run the statement; ``reaches_none`` tells that each home
    reports that it can't run it at all.
    """

    homes: tuple[str, ...]
    choice: Choice
    passed_over: str = ""
    wait_s: float = 0.0
    retry_after_ms: int = 0
    reaches_none: bool = False


def place(
    order: Sequence[str], wait_s_by_home: Mapping[str, float], need: Need
) -> Placement:
    """Return the homes to try for a statement, or that it is refused.

    Parameters
    ----------
    order : sequence of str
        The group's homes in the organisation's order.
    wait_s_by_home : mapping
        How long the statement would wait at each home with a report that
        counts (seconds, infinite if it can't run there).
    need : Need
        What the statement needs.

    Examples
    --------
    >>> need = Need(remaining_s=0.6, target_latency_s=0.2, draw=0.0)
    >>> place(("a", "b"), {"a": 0.02}, need).homes
    ('a', 'b')
    >>> place(("a", "b"), {"a": 0.3, "b": 0.1}, need).homes
    ('b', 'a')
    >>> place(("a", "b"), {"a": float("inf")}, need).choice
    <Choice.REACH: 'reach'>
    >>> place(("a", "b"), {"a": 0.9, "b": 0.8}, need).retry_after_ms
    200
    """
    if not order:
        return Placement((), Choice.FIRST)
    unable = [
        home
        for home in order
        if wait_s_by_home.get(home, -inf) >= need.remaining_s
    ]
    if len(unable) == len(order):
        return _place_nowhere(order, wait_s_by_home, need)
    usable = _usable(order, wait_s_by_home, frozenset(unable))
    usable = _spread(usable, wait_s_by_home, need)
    first = order[0]
    if usable[0] == first:
        return Placement(usable, Choice.FIRST)
    choice = Choice.REACH if first in unable else Choice.SPREAD
    wait_s = wait_s_by_home[first]
    return Placement(usable, choice, first, wait_s)


def _usable(
    order: Sequence[str],
    wait_s_by_home: Mapping[str, float],
    unable: frozenset[str],
) -> tuple[str, ...]:
    """Return the homes that may run a statement.

    If the first can't, those known to be able come first.
    """
    usable = [home for home in order if home not in unable]
    if order[0] in unable:
        usable.sort(key=lambda home: home not in wait_s_by_home)
    return tuple(usable)


def _spread(
    usable: tuple[str, ...],
    wait_s_by_home: Mapping[str, float],
    need: Need,
) -> tuple[str, ...]:
    """Move a much less loaded home to the front, if the first is loaded."""
    wait_s = wait_s_by_home.get(usable[0], 0.0)
    bound_s = need.target_latency_s * WAIT_FRACTION
    if wait_s <= bound_s or need.draw >= 1.0 - bound_s / wait_s:
        return usable
    for home in usable[1:]:
        if wait_s_by_home.get(home, inf) < wait_s * MUCH_LESS:
            return home, *(other for other in usable if other != home)
    return usable


def _place_nowhere(
    order: Sequence[str], wait_s_by_home: Mapping[str, float], need: Need
) -> Placement:
    if not need.may_refuse:
        return Placement(tuple(order), Choice.FIRST)
    shortest_s = min(wait_s_by_home[home] for home in order)
    is_unable = shortest_s == inf
    retry_ms = UNABLE_RETRY_MS
    if not is_unable:
        retry_ms = max(1, ceil((shortest_s - need.remaining_s) * 1000 - 1e-6))
    return Placement(
        (),
        Choice.REFUSED,
        order[0],
        wait_s_by_home[order[0]],
        retry_ms,
        is_unable,
    )
