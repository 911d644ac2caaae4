"""Wait for a replica to catch up, or ask the primary: by expected time.

Load pattern: a session reads a moment after it wrote, and replicas lag
by 100 ms. Sending every such read to the primary fills the one member
that must also take all writes; waiting for a replica that is minutes
behind wastes the caller's time.
"""

#: How much longer than the primary's answer a wait may take. Waiting
#: costs the caller time but the group nothing; a read at the primary
#: takes a slot that only writes could use, and a proof that it still
#: leads. With 100 ms of lag a read after a write waits 50 ms on average.
PATIENCE_S = 0.15

#: Part of the time to the deadline that may be spent on waiting.
_DEADLINE_PART = 0.3


def may_wait(
    expected_s: float, primary_s: float, to_deadline_s: float
) -> bool:
    """Say whether to wait for a replica rather than ask the primary.

    Examples
    --------
    >>> may_wait(0.06, primary_s=0.02, to_deadline_s=2.0)
    True
    >>> may_wait(60.0, primary_s=0.02, to_deadline_s=2.0)
    False
    """
    limit_s = min(primary_s + PATIENCE_S, _DEADLINE_PART * to_deadline_s)
    return expected_s <= limit_s
