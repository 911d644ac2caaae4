"""Bounds on the clock of another VM, for limits that both VMs check.

Load pattern: a home stands still while statements for it arrive. When it goes
on, it reads them like new ones, although their callers were told long ago
that the outcome is unknown, and have gone on. How long a message has lain
can't be told from the message: the time in sockets and the time for which
either VM stood still aren't in it, and the VMs share no clock.

A home's messages carry readings of its clock. A reading was taken before it
was received. So at the moment ``received_at`` of this VM's clock, the home's
clock showed at least the reading, and a limit that is counted from the
reading on is reached there no later than here. A late reading only makes the
limit earlier.
"""

from math import isfinite

#: Seconds by which two clocks may move apart in each second: twice the fastest
#: correction that time daemons apply (500 parts in a million).
MAX_DRIFT = 0.001

#: Age (seconds) above which a reading is taken anew before it is used: by then
#: ``MAX_DRIFT`` takes a twentieth of a second from each limit.
MAX_AGE_S = 50.0

#: Age (seconds) above which any later reading replaces one, also one that was
#: on its way for longer.
REPLACED_AFTER_S = 10.0


class PeerClock:
    """The least that the clock of another VM shows, from its readings.

    Examples
    --------
    >>> clock = PeerClock()
    >>> clock.is_known(now=10.0)
    False
    >>> clock.note_reading(500.0, received_at=10.0)
    >>> round(clock.to_peer(11.0, now=10.0), 3)
    500.999

    A reading that was on its way for longer tells less, and isn't kept.

    >>> clock.note_reading(500.5, received_at=11.0)
    >>> round(clock.to_peer(12.0, now=11.0), 3)
    501.998
    """

    def __init__(self) -> None:
        self._ahead_s = float("-inf")
        self._received_at = float("-inf")

    def is_known(self, now: float) -> bool:
        """Return whether there is a reading that is recent enough."""
        return now - self._received_at <= MAX_AGE_S

    def note_reading(self, reading: float, received_at: float) -> None:
        """Add a reading (seconds), unless an earlier one tells more.

        VMs of earlier versions send 0 in place of a reading.
        """
        if not reading or not isfinite(reading):
            return
        ahead_s = reading - received_at
        if (
            received_at - self._received_at > REPLACED_AFTER_S
            or ahead_s >= self._least_ahead_s(received_at)
        ):
            self._ahead_s = ahead_s
            self._received_at = received_at

    def to_peer(self, at: float, now: float) -> float:
        """Return the least that the other clock shows at ``at`` (seconds).

        Parameters
        ----------
        at : float
            A moment of this VM's clock (seconds).
        now : float
            The present moment of this VM's clock (seconds).
        """
        return at + self._least_ahead_s(max(at, now))

    def _least_ahead_s(self, at: float) -> float:
        return self._ahead_s - MAX_DRIFT * (at - self._received_at)
