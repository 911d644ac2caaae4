"""A budget for retries, so that they can't multiply an overload.

Load pattern: a target that fails half of its statements because it is
full. If each is sent three times the target gets three times the load
and never recovers. Here a retry costs a token, and only fresh requests
earn tokens, ``RATIO`` each: over any longer time retries add at most a
tenth to the load.

Grounds: a lost primary fails every statement in flight once, and each
deserves its retry. At most 50 connections a group carry statements, so
``CAPACITY`` covers them all at once. A request that only waits for the
new primary, without sending, costs nothing.
"""

#: Retries per fresh request, over the long run.
RATIO = 0.1

#: Retries at once: every connection's statement, and some to spare.
CAPACITY = 64.0


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    Parameters
    ----------
    ratio : float, optional
        Tokens earned per fresh request.
    capacity : float, optional
        Most tokens kept; the bucket starts full.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, capacity=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.earn(); budget.earn()
    >>> budget.spend()
    True
    """

    def __init__(
        self, ratio: float = RATIO, capacity: float = CAPACITY
    ) -> None:
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Return the retries that may start now."""
        return self._tokens

    def earn(self) -> None:
        """Note a fresh request."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Take a token for a retry; False where there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
