"""When the registry's list has every member that may have confirmed commits.

A member that joins receives the primary's log at once and confirms the
commits in it, perhaps before any VM's copy of the registry's list has it. If
it joined after a takeover had begun, and the takeover compared only the
members known by then, commits that only the new member and the old primary
hold would be taken for unacknowledged, and lost.

A member's first report to the registry is sent when it starts, and may be
under way when the primary is stopped. So the list must be read from the
registry itself, and late enough that such a report has been stored.
"""

#: Seconds between a primary's stop and a reading of the list for a takeover.
#: A report that was sent before the stop is stored by then at a registry
#: that answers in its usual time.
REGISTRATION_S = 0.1

#: How many times longer than a reading a member's report may take. A report
#: is a write, and the member may be farther from the registry.
_WRITE_FACTOR = 2.0


def is_late_enough(
    stopped_at: float, began_at: float, ended_at: float
) -> bool:
    """Return whether a reading has the members that joined before a stop.

    Parameters
    ----------
    stopped_at : float
        When the primary had confirmed that it no longer leads (seconds).
    began_at, ended_at : float
        When the reading began and ended (seconds).

    Examples
    --------
    >>> is_late_enough(1.0, 1.2, 1.21)
    True
    >>> is_late_enough(1.0, 1.05, 1.06)
    False

    At a slow registry a report takes longer, too.

    >>> is_late_enough(1.0, 1.2, 1.5)
    False
    """
    margin_s = max(REGISTRATION_S, _WRITE_FACTOR * (ended_at - began_at))
    return began_at - stopped_at >= margin_s
