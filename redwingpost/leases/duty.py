"""Who may order promotions: a row with a holder, a fence and an end.

Two VMs that both order promotions make two primaries. The row changes
under a condition on its version, so of two takers one wins. The fence
grows with every change of holder and travels with each order.

The end is counted on the table service's own steady clock; the holder
counts from before it asked, on a clock that runs through suspensions, so
for the holder the duty always ends first (``redwingpost.leases.lease``).
"""

from typing import Any, NamedTuple

#: Milliseconds for which the duty is taken: a takeover takes about two
#: seconds and must not lose the duty half way; a holder that dies delays
#: the next takeover by the rest.
DUTY_MS = 6000

#: Part of the duty that must be left before an order is sent: an order
#: may be under way for a second and must not arrive after the end.
ORDER_MARGIN_S = 1.5


class DutyRow(NamedTuple):
    """What the table service holds; ``until_ms`` is on its clock."""

    holder: str
    fence: int
    until_ms: int

    def to_value(self) -> dict[str, Any]:
        """Return the row's value."""
        return self._asdict()

    @classmethod
    def from_value(cls, value: Any) -> "DutyRow":
        """Read a row's value; one that can't be read is nobody's.

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
    """The duty as its holder may use it; ``until`` on its own clock."""

    fence: int
    until: float

    def allows_order(self, now: float) -> bool:
        """Say whether an order may still be sent at ``now`` (seconds).

        Examples
        --------
        >>> HeldDuty(3, until=10.0).allows_order(8.0)
        True
        >>> HeldDuty(3, until=10.0).allows_order(9.0)
        False
        """
        return now + ORDER_MARGIN_S < self.until


def claim(row: DutyRow, vm: str, now_ms: int) -> DutyRow | None:
    """Return the row by which a VM takes or keeps the duty.

    Returns
    -------
    DutyRow or None
        None while another VM holds it. A new holder, and one whose time
        had ended, gets a higher fence.

    Examples
    --------
    >>> claim(DutyRow("a", 4, 900), "b", now_ms=1000).fence
    5
    >>> claim(DutyRow("a", 4, 1100), "b", now_ms=1000) is None
    True
    >>> claim(DutyRow("a", 4, 1100), "a", now_ms=1000).fence
    4
    """
    is_over = now_ms >= row.until_ms
    if row.holder != vm and not is_over:
        return None
    fence = row.fence + 1 if is_over or row.holder != vm else row.fence
    return DutyRow(vm, fence, now_ms + DUTY_MS)
