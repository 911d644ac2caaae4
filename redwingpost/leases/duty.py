"""The duty: a lease on the right to order promotions.

If two VMs ordered promotions at the same time, a group could get two
primaries. The row holds the holder, a fence and an expiry. It is written
under a condition on its version, so that of two claims one succeeds. The
fence grows with every change of holder and is sent with each order.

The expiry is a time on the table service's own monotonic clock. The
holder counts from before it sent its claim, on a clock that runs through
suspensions, so that the duty expires at the holder first
(``redwingpost.leases.lease``).
"""

from typing import Any, NamedTuple

#: Milliseconds for which the duty is claimed. A takeover takes about two
#: seconds and must not lose the duty half way; after a holder crashes,
#: the next takeover has to wait for the remainder.
DUTY_MS = 6000

#: Seconds of validity that must be left when an order is sent: an order
#: may be in transit for a second and must not arrive after the expiry.
ORDER_MARGIN_S = 1.5


class DutyRow(NamedTuple):
    """The stored row; ``until_ms`` is on the table service's clock."""

    holder: str
    fence: int
    until_ms: int

    def to_value(self) -> dict[str, Any]:
        """Return the row's value."""
        return self._asdict()

    @classmethod
    def from_value(cls, value: Any) -> "DutyRow":
        """Parse a row's value; without a holder if it can't be parsed.

        Examples
        --------
        >>> DutyRow.from_value({"holder": "a", "fence": 2, "until_ms": 9})
        DutyRow(holder='a', fence=2, until_ms=9)
        >>> DutyRow.from_value(None)
        DutyRow(holder='', fence=0, until_ms=0)
        """
        try:
            return cls(
                str(value["holder"]),
                int(value["fence"]),
                int(value["until_ms"]),
            )
        except (TypeError, KeyError, ValueError):
            return cls("", 0, 0)


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


def claim(row: DutyRow, vm: str, now_ms: int) -> DutyRow | None:
    """Return the row to write for a VM to claim or renew the duty.

    Returns
    -------
    DutyRow or None
        None while another VM holds the duty. The fence is increased for
        a new holder, and for the same holder after an expiry.

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
    return DutyRow(vm, fence, now_ms + DUTY_MS)
