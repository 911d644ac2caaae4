"""The duty: a lease on the right to order promotions.

If two VMs ordered promotions at the same time, a group could get two
primaries. The row holds the holder, a fence and an expiry. It is written
under a condition on its version, so that of two claims one succeeds. The
fence grows with every change of holder and is sent with each order.

A store that is restored from an older copy may bring back an earlier row:
a fence that has been used since, and a duty that counts as free although its
holder still acts on it. So a row holds the store's era in which it was
written. Fences of an era are above those of all eras before it, and in a new
era the duty is first reserved for the time of a claim, in which every claim
of the era before has expired. This needs no VM's memory: the VM that held
the duty may be gone, and one that has just started doesn't know when the era
began.

The expiry is a time on the table service's own monotonic clock. The
holder counts from before it sent its claim, on a clock that runs through
suspensions, so that the duty expires at the holder first
(``redwingpost.leases.lease``).
"""

from typing import Any, NamedTuple

from redwingpost.core.foreign import is_whole

#: Milliseconds for which the duty is claimed. A takeover takes about two
#: seconds and must not lose the duty half way; after a holder crashes,
#: the next takeover has to wait for the remainder.
DUTY_MS = 6000

#: Bits of a fence that count the holders within an era of the store.
_COUNT_BITS = 32

#: Seconds of validity that must be left when an order is sent: an order
#: may be in transit for a second and must not arrive after the expiry.
ORDER_MARGIN_S = 1.5


#: The same for a command to a member: it is given up after 0.4 s. The next
#: holder's pauses must not be undone by a command of the one before.
COMMAND_MARGIN_S = 0.5


class DutyRow(NamedTuple):
    """The stored row; ``until_ms`` is on the table service's clock.

    ``era`` is the store's era in which the row was written. A row without a
    holder reserves the duty.
    """

    holder: str
    fence: int
    until_ms: int
    era: int = 0

    def to_value(self) -> dict[str, Any]:
        """Return the row's value; a store without eras has none in it."""
        value = self._asdict()
        if not self.era:
            del value["era"]
        return value

    @classmethod
    def from_value(cls, value: Any) -> "DutyRow":
        """Parse a row's value; without a holder if it can't be parsed.

        Examples
        --------
        >>> DutyRow.from_value({"holder": "a", "fence": 2, "until_ms": 9})
        DutyRow(holder='a', fence=2, until_ms=9, era=0)
        >>> DutyRow.from_value(None)
        DutyRow(holder='', fence=0, until_ms=0, era=0)
        """
        if not isinstance(value, dict):
            return cls("", 0, 0)
        row = cls(
            value.get("holder"),
            value.get("fence"),
            value.get("until_ms"),
            value.get("era", 0),
        )
        is_readable = isinstance(row.holder, str) and all(
            is_whole(number) for number in row[1:]
        )
        return row if is_readable else cls("", 0, 0)

    def is_possible(self, era: int, number: int, now_ms: int) -> bool:
        """Return whether a VM can have written the row.

        Each holder's first claim takes a transaction of the store, so no
        fence counts more than the store has had.

        Parameters
        ----------
        era, number : int
            The store's present era, and its number of the row's version.
        now_ms : int
            The present time on the table service's clock.

        Examples
        --------
        >>> DutyRow("a", 4, 6900).is_possible(0, number=9, now_ms=1000)
        True
        >>> DutyRow("a", 4, 2**53).is_possible(0, number=9, now_ms=1000)
        False
        >>> DutyRow("a", 2**40, 6900).is_possible(0, number=9, now_ms=1000)
        False
        """
        holders = self.fence - (self.era << _COUNT_BITS)
        return (
            self.era == era
            and 0 <= holders <= number
            and 0 < self.until_ms <= now_ms + DUTY_MS
        )


class HeldDuty(NamedTuple):
    """The duty at its holder.

    ``valid_until`` is in seconds on the holder's clock.
    """

    fence: int
    valid_until: float

    def allows_order(self, now: float) -> bool:
        """Return whether an order may be sent at ``now`` (seconds).

        Examples
        --------
        >>> HeldDuty(3, valid_until=10.0).allows_order(8.0)
        True
        >>> HeldDuty(3, valid_until=10.0).allows_order(9.0)
        False
        """
        return now + ORDER_MARGIN_S < self.valid_until

    def allows_command(self, now: float) -> bool:
        """Return whether a member may be paused, resumed or demoted.

        Examples
        --------
        >>> HeldDuty(3, valid_until=10.0).allows_command(9.0)
        True
        >>> HeldDuty(3, valid_until=10.0).allows_command(9.7)
        False
        """
        return now + COMMAND_MARGIN_S < self.valid_until


def must_reserve(row: DutyRow, era: int) -> bool:
    """Return whether a row was written before the store's present era.

    Examples
    --------
    >>> must_reserve(DutyRow("a", 4, 900), era=0)
    False
    >>> must_reserve(DutyRow("a", 4, 900), era=1)
    True
    """
    return row.era < era


def reserve(now_ms: int, era: int, number: int) -> DutyRow:
    """Return the row that reserves the duty for the time of a claim.

    Parameters
    ----------
    now_ms : int
        The present time on the table service's clock.
    era, number : int
        The store's present era and number. Fences that count up to the
        number may be in use.

    Examples
    --------
    >>> row = reserve(now_ms=1000, era=1, number=9)
    >>> claim(row, "b", now_ms=6999) is None
    True
    >>> claim(row, "b", now_ms=7000).fence - row.fence
    1
    """
    return DutyRow("", (era << _COUNT_BITS) + number, now_ms + DUTY_MS, era)


def claim(row: DutyRow, vm: str, now_ms: int) -> DutyRow | None:
    """Return the row to write for a VM to claim or renew the duty.

    The row must have been written in the present era (``must_reserve``).

    Returns
    -------
    DutyRow or None
        None while another VM holds the duty, or while it is reserved. The
        fence is increased for a new holder, and for the same holder after
        an expiry.

    Examples
    --------
    >>> claim(DutyRow("a", 4, 900), "b", now_ms=1000).fence
    5
    >>> claim(DutyRow("a", 4, 1100), "b", now_ms=1000) is None
    True
    >>> claim(DutyRow("a", 4, 1100), "a", now_ms=1000).fence
    4
    """
    has_ended = now_ms >= row.until_ms
    if row.holder != vm and not has_ended:
        return None
    fence = row.fence + 1 if has_ended or row.holder != vm else row.fence
    return DutyRow(vm, fence, now_ms + DUTY_MS, row.era)
