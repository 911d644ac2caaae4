"""Lease arithmetic for clocks that have only their rate in common.

Handles paused holders and late answers of the store. The holder counts
its lease from before it sent the request, all other VMs from after they
received the row. The lease therefore expires at the holder first,
however long the requests take. Otherwise two VMs could act on the same
lease for as long as an answer takes. Clocks may differ by any amount;
their rates may differ by ``CLOCK_RATE_ERROR``.

See Also
--------
redwingpost.leases.keeper : state machine of one lease.

References
----------
Gray, C. and Cheriton, D., "Leases: an efficient fault-tolerant mechanism
for distributed file cache consistency", 1989, section 5.
"""

from typing import Any, NamedTuple

#: Largest relative difference of two clock rates. NTP slews a clock by
#: 500 ppm at most and crystals drift by less; ten times the sum of two
#: such errors leaves room for a faulty clock.
CLOCK_RATE_ERROR = 0.01


class LeaseRow(NamedTuple):
    """The stored row of a lease.

    ``term`` grows with each change of holder, so that messages of an
    earlier holder can be recognised. ``valid_s`` is in seconds.
    """

    vm: str
    incarnation: int
    term: int
    valid_s: float

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "LeaseRow":
        """Parse a row's value; missing fields are empty or zero.

        Examples
        --------
        >>> LeaseRow.from_value({"vm": "a", "term": 2})
        LeaseRow(vm='a', incarnation=0, term=2, valid_s=0.0)
        """
        return cls(
            vm=str(value.get("vm", "")),
            incarnation=int(value.get("incarnation", 0)),
            term=int(value.get("term", 0)),
            valid_s=float(value.get("valid_s", 0.0)),
        )


def holder_valid_until(requested_at: float, valid_s: float) -> float:
    """Return the expiry at the holder (seconds on its clock).

    Examples
    --------
    >>> holder_valid_until(requested_at=100.0, valid_s=4.0)
    103.96
    """
    return requested_at + valid_s * (1.0 - CLOCK_RATE_ERROR)


def others_wait_until(answered_at: float, valid_s: float) -> float:
    """Return when another VM may claim the lease (seconds on its clock).

    Examples
    --------
    >>> others_wait_until(answered_at=100.0, valid_s=4.0)
    104.04
    """
    return answered_at + valid_s * (1.0 + CLOCK_RATE_ERROR)
