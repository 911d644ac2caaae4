"""How long a request for a table's changes may take.

A store, or a gatherer, may accept a request and never answer it, on a
connection that stays open: TCP's probes find only a peer that is gone. Since
one change wakes all VMs, their next requests leave together and may all be
lost in the same moment; then no other VM has the change either. So the time
limit of a request follows from how late a change of its table may be known.
"""

from typing import NamedTuple

#: Seconds between attempts while the store doesn't answer: each VM that
#: reads from it directly sends them for three tables.
RETRY_S = 0.4

#: Seconds for an answer to arrive: a store that is sixty times as slow as
#: usual needs a quarter of it.
ANSWER_S = 1.0

#: Seconds for a new connection and a first answer after a failure.
RECONNECT_S = 0.2


class FeedTimes(NamedTuple):
    """Times of a request for changes.

    ``wait_s`` is for how long the store waits for a change, ``timeout_s``
    the time (seconds) after which the request counts as lost.
    """

    wait_s: float
    timeout_s: float

    @classmethod
    def within(cls, bound_s: float) -> "FeedTimes":
        """Return the times with which a change is known within a bound.

        Examples
        --------
        >>> FeedTimes.within(3.0)
        FeedTimes(wait_s=1.4, timeout_s=2.4)
        >>> FeedTimes.within(1.0)
        FeedTimes(wait_s=0.0, timeout_s=1.0)
        """
        timeout_s = max(bound_s - RETRY_S - RECONNECT_S, ANSWER_S)
        return cls(round(timeout_s - ANSWER_S, 3), timeout_s)

    @property
    def after_failure(self) -> "FeedTimes":
        """Return the times of the request after one that was lost.

        It asks for an answer at once. The store has the whole time limit to
        give it: a link that delays each answer by more than ``ANSWER_S``
        would otherwise cut a VM off from all changes.
        """
        return self._replace(wait_s=0.0)
