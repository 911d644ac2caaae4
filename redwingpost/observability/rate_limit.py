"""Rate limits on log lines, one for each kind of line.

If an organisation sends ten times its rate and every refusal is logged,
logging takes more CPU time than serving. Each kind has its own token
bucket, so that many lines of one kind don't suppress a single line of
another. Suppressed lines are counted, and the next line of their kind
reports the count.
"""

#: Sustained lines/s and burst in lines of one kind. Twenty kinds at their
#: limit write 200 lines/s, about 2% of a core at 100 microseconds a line.
LINES_PER_S = 10.0
BURST = 50.0


class LineRateLimiter:
    """Token buckets for log lines, one for each kind.

    Examples
    --------
    >>> limiter = LineRateLimiter(per_s=1.0, burst=1.0)
    >>> limiter.take("refused", 0.0), limiter.take("refused", 0.0)
    (0, None)
    >>> limiter.take("refused", 1.5)
    1
    """

    def __init__(
        self, per_s: float = LINES_PER_S, burst: float = BURST
    ) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens_by_kind: dict[str, tuple[float, float]] = {}
        self._left_out_by_kind: dict[str, int] = {}

    def take(self, kind: str, now: float) -> int | None:
        """Take a token for one line of a kind.

        Returns
        -------
        int or None
            How many lines of the kind were suppressed since its last
            line; None if this line must be suppressed too.
        """
        tokens, at = self._tokens_by_kind.get(kind, (self._burst, now))
        tokens = min(self._burst, tokens + (now - at) * self._per_s)
        if tokens < 1.0:
            self._tokens_by_kind[kind] = (tokens, now)
            left_out = self._left_out_by_kind.get(kind, 0)
            self._left_out_by_kind[kind] = left_out + 1
            return None
        self._tokens_by_kind[kind] = (tokens - 1.0, now)
        return self._left_out_by_kind.pop(kind, 0)
