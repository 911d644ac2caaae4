"""Who led each group when: which reads were served by replicas."""

from typing import NamedTuple

from redwingpost.bench.load import ServedBy


class Lead(NamedTuple):
    """A member that leads from ``since`` on (monotonic seconds)."""

    since: float
    member: str


def leads(
    first: str, final: str, changed_at: float | None
) -> tuple[Lead, ...]:
    """Return a group's leads, newest first.

    Parameters
    ----------
    first, final : str
        Primaries at the start and at the end.
    changed_at : float or None
        When the change was seen, if there was one.
    """
    start = Lead(float("-inf"), first)
    if final == first or changed_at is None:
        return (start,)
    return (Lead(changed_at, final), start)


def by_replica(
    served: ServedBy, leads_by_group: dict[str, tuple[Lead, ...]]
) -> bool:
    """Say whether a read was answered by a member that did not lead.

    Examples
    --------
    >>> from redwingpost.bench.history import Operation
    >>> read = ServedBy("g", "a", Operation.READ_OWN, 5.0)
    >>> by_replica(read, {"g": leads("a", "b", 4.0)})
    True
    >>> by_replica(read, {"g": leads("a", "b", 6.0)})
    False
    """
    for lead in leads_by_group[served.group]:
        if served.received_at >= lead.since:
            return served.member != lead.member
    return False
