"""Which member was primary when, to count reads served by replicas."""

from typing import NamedTuple

from redwingpost.bench.load import ServedAnswer


class PrimaryPeriod(NamedTuple):
    """A member that is primary from ``since`` on (monotonic seconds)."""

    since: float
    member: str


def primary_periods(
    first: str, final: str, changed_at: float | None
) -> tuple[PrimaryPeriod, ...]:
    """Return the periods of a group's primaries, newest first.

    Parameters
    ----------
    first, final : str
        Primaries at the start and at the end of the run.
    changed_at : float or None
        Time at which the change was observed, or None without a change.
    """
    start = PrimaryPeriod(float("-inf"), first)
    if final == first or changed_at is None:
        return (start,)
    return (PrimaryPeriod(changed_at, final), start)


def is_replica_read(
    served: ServedAnswer,
    periods_by_group: dict[str, tuple[PrimaryPeriod, ...]],
) -> bool:
    """Return whether a read was answered by a replica.

    Examples
    --------
    >>> from redwingpost.bench.history import Operation
    >>> read = ServedAnswer("g", "a", Operation.READ_OWN, 5.0)
    >>> is_replica_read(read, {"g": primary_periods("a", "b", 4.0)})
    True
    >>> is_replica_read(read, {"g": primary_periods("a", "b", 6.0)})
    False
    """
    for period in periods_by_group[served.group]:
        if served.received_at >= period.since:
            return served.member != period.member
    return False
