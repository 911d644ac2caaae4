"""The part of the fleet that is heard, without its short drops."""

from collections import deque

#: Seconds for which a smaller part must last: a few delayed heartbeats
#: shouldn't close connections, each of which costs a member 12 ms to open.
DROP_S = 1.0


class HeardPart:
    """The largest part of the fleet that was heard within ``DROP_S``.

    Examples
    --------
    >>> heard = HeardPart()
    >>> [heard.note(part, now) for part, now in ((1, 0), (0.5, 1), (1, 1.5))]
    [1, 1, 1]
    >>> [heard.note(0.5, now) for now in (2, 2.5, 3, 3.5)]
    [1, 1, 0.5, 0.5]
    >>> heard.note(1, 4)
    1
    """

    def __init__(self) -> None:
        self._parts: deque[tuple[float, float]] = deque()

    def note(self, part: float, now: float) -> float:
        """Record the part heard at ``now`` (seconds); return the largest.

        Until this has been asked for ``DROP_S``, as after a start, the
        whole fleet counts as heard.
        """
        parts = self._parts
        if parts and parts[-1][0] == now:
            # Asked for each group of a VM.
            parts.pop()
        parts.append((now, part))
        # The last one before the time counts: it lasted until the next.
        while len(parts) > 1 and parts[1][0] <= now - DROP_S:
            parts.popleft()
        if parts[0][0] > now - DROP_S:
            return max(1, part)
        return max(heard for _, heard in parts)
