"""A budget that keeps retries from multiplying an overload.

Load pattern: a target that fails half of its statements because it is
overloaded. If each statement is sent three times, the target gets three
times the load and never recovers. Here a retry costs a token, and only
new requests earn tokens, ``TOKENS_PER_REQUEST`` each, so that in the
long run retries add at most a tenth to the load.

Choice of the limits: the loss of a primary fails every statement in
flight once, and each of them should be retried. At most 50 connections
per group carry statements, so ``MAX_TOKENS`` covers them all at once. A
request that waits for the new primary without sending costs no token.
"""

#: Retries per new request in the long run.
TOKENS_PER_REQUEST = 0.1

#: Retries in a burst: one for the statement of every connection, plus a
#: reserve.
MAX_TOKENS = 64.0


class RetryBudget:
    """A token bucket that new requests fill and retries drain.

    Parameters
    ----------
    ratio : float, optional
        Tokens earned per new request.
    capacity : float, optional
        Maximum number of tokens; the bucket starts full.

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
        self, ratio: float = TOKENS_PER_REQUEST, capacity: float = MAX_TOKENS
    ) -> None:
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Number of retries that may start now."""
        return self._tokens

    def earn(self) -> None:
        """Add the tokens of a new request."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Take a token for a retry; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
