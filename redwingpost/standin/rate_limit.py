"""The platform's limit on requests per second."""


class RateLimit:
    """A token bucket that holds the tokens of one second.

    Parameters
    ----------
    per_s : float
        Requests per second; 0 refuses all requests.

    Examples
    --------
    >>> limit = RateLimit(2.0)
    >>> [limit.take(0.0) for _ in range(3)]
    [True, True, False]
    >>> limit.take(0.5)
    True
    """

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self._tokens = per_s
        self._filled_at = 0.0
        self._started = False

    def take(self, now: float) -> bool:
        """Take a token at time ``now`` (s); return False if none is left."""
        if not self._started:
            self._started = True
            self._filled_at = now
        gained = (now - self._filled_at) * self.per_s
        self._tokens = min(self.per_s, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
