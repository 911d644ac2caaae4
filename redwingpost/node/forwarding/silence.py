"""When a connection to a home is suspected to carry nothing any more.

A connection can go silent for good without an error. A home sends a message
at least every tenth of a second while it runs statements of another VM, so
silence shows while anything is pending, long before its time limit. How long
is too long depends on the connection: an overloaded home, or one in another
region, takes longer. A frozen home and a slow link look the same at first;
so a suspicion only leads to another connection, on which the home is asked
to go on (``redwingpost.node.forwarding.channel``).
"""

#: Shortest and longest silence (seconds) that raises a suspicion: three of
#: a home's intervals between messages; half of a short statement's limit.
MIN_SILENCE_S = 0.3
MAX_SILENCE_S = 0.8

#: Seconds by which a check may be late. If it is later, this VM is overloaded
#: itself, and messages may be waiting here.
MAX_LATE_S = 0.05

#: Multiple of the usual gap between messages that raises a suspicion.
_GAP_FACTOR = 4.0

#: Weight of the newest gap in the usual one.
_GAP_WEIGHT = 0.1

#: Seconds after an attempt that the home didn't answer before the next one;
#: each one doubles it.
FIRST_PAUSE_S = 0.3
MAX_PAUSE_S = 2.0


class SilenceWatch:
    """The messages of one connection, and what is pending on it.

    Examples
    --------
    >>> watch = SilenceWatch(now=0.0)
    >>> watch.note_sent(now=5.0)
    >>> watch.suspect_at
    5.3
    >>> watch.note_received(now=5.1, is_pending=True)
    >>> round(watch.suspect_at, 3)
    5.4
    >>> watch.note_attempt(now=5.5)
    >>> watch.suspect_at
    5.8

    A home that was wrongly suspected is given twice the time from then on.

    >>> watch.note_received(now=6.0, is_pending=True)
    >>> watch.note_false_alarm()
    >>> watch.suspect_at
    6.6
    """

    def __init__(self, now: float) -> None:
        self._owed_since = now
        self._has_pending = False
        self._usual_gap_s = 0.0
        self._least_s = MIN_SILENCE_S
        self._was_silent = False
        self._next_attempt_at = float("-inf")
        self._pause_s = FIRST_PAUSE_S
        self.last_received_at = now

    @property
    def suspect_at(self) -> float:
        """Return when silence raises a suspicion; infinite if none is due."""
        if not self._has_pending:
            return float("inf")
        silence_s = min(
            max(_GAP_FACTOR * self._usual_gap_s, self._least_s), MAX_SILENCE_S
        )
        return max(self._owed_since + silence_s, self._next_attempt_at)

    def note_sent(self, now: float) -> None:
        """Note a statement that the home owes an answer to."""
        if not self._has_pending:
            self._has_pending = True
            self._owed_since = now

    def note_received(self, now: float, is_pending: bool) -> None:
        """Note a message; ``is_pending``: others are still owed."""
        if self._has_pending and not self._was_silent:
            gap_s = now - self._owed_since
            self._usual_gap_s += _GAP_WEIGHT * (gap_s - self._usual_gap_s)
        self.last_received_at = self._owed_since = now
        self._has_pending = is_pending
        self._was_silent = False
        self._pause_s = FIRST_PAUSE_S
        self._next_attempt_at = float("-inf")

    def note_false_alarm(self) -> None:
        """Note that a message came after all, while the home was asked."""
        self._least_s = min(2.0 * self._least_s, MAX_SILENCE_S)

    def note_late_check(self, now: float) -> None:
        """Give messages that may be waiting here time to be read."""
        self._next_attempt_at = now + MAX_LATE_S

    def note_settled(self) -> None:
        """Note that nothing is owed any more, as nobody waits for it."""
        self._has_pending = False

    def note_attempt(self, now: float) -> None:
        """Note an attempt, after which the next one is due later.

        The present gap says nothing about the usual one.
        """
        self._was_silent = True
        self._next_attempt_at = now + self._pause_s
        self._pause_s = min(2.0 * self._pause_s, MAX_PAUSE_S)
