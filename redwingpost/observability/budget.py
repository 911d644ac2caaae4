"""How many log lines of each kind may be written.

Load pattern: an organisation sends ten times its rate, and every refusal
is a line. Logging each would take more of the processor than serving.
Each kind has its own bucket, so that a flood of one kind can't push out
the single line that explains another; what is left out is counted and
told with the next line of the kind.
"""

#: Lines a second that one kind may write for long, and at once. Twenty
#: kinds at their limit are 200 lines a second, about 2% of a core at
#: 100 microseconds a line.
LINES_PER_S = 10.0
BURST = 50.0


class LineBudget:
    """Token buckets by kind of line.

    Examples
    --------
    >>> budget = LineBudget(per_s=1.0, burst=1.0)
    >>> budget.take("refused", 0.0), budget.take("refused", 0.0)
    (0, None)
    >>> budget.take("refused", 1.5)
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
        """Claim a line; return how many were left out before it.

        Returns
        -------
        int or None
            None where the line must be left out.
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
