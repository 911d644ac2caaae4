"""Whether a read waits for a replica or goes to the primary.

Load pattern: a session reads shortly after it wrote, and replicas lag by
100 ms. If every such read goes to the primary, it fills the one member that
must also take all writes; waiting for a replica that is minutes behind wastes
the caller's time. So the expected times decide.
"""

#: Seconds by which a wait for a replica may exceed the primary's response
#: time. Waiting costs the caller time but the group nothing; a read at the
#: primary takes a slot that writes need, and a proof that it still leads.
#: With 100 ms of lag a read after a write waits 50 ms on average.
MAX_EXTRA_WAIT_S = 0.15

#: Share of the time to the deadline that may be spent on waiting.
_DEADLINE_SHARE = 0.3


def may_wait(
    expected_s: float, primary_s: float, to_deadline_s: float
) -> bool:
    """Return whether to wait for a replica rather than use the primary.

    Examples
    --------
    >>> may_wait(0.06, primary_s=0.02, to_deadline_s=2.0)
    True
    >>> may_wait(60.0, primary_s=0.02, to_deadline_s=2.0)
    False
    """
    limit_s = min(
        primary_s + MAX_EXTRA_WAIT_S, _DEADLINE_SHARE * to_deadline_s
    )
    return expected_s <= limit_s
