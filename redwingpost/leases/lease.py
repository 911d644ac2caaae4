"""Lease arithmetic over clocks that agree on nothing but their rate.

Answers holders that are paused, and store answers that come late. The
holder counts its lease from before it sent the request, everybody else
from after they saw the row; so whatever the requests took, the lease
lapses at the holder first. Without that two VMs act on one lease for as
long as an answer took. Clocks may differ by any amount; their rates may
differ by ``CLOCK_RATE_ERROR``.

See Also
--------
redwingpost.leases.keeper : the life of one lease.

References
----------
Gray, C. and Cheriton, D., "Leases: an efficient fault-tolerant mechanism
for distributed file cache consistency", 1989, section 5.
"""

from typing import Any, NamedTuple

#: NTP slews a clock by 500 ppm at most and crystals drift by less; ten
#: times the sum of two such errors leaves room for a bad host.
CLOCK_RATE_ERROR = 0.01


class LeaseRow(NamedTuple):
    """What the table service holds of a lease.

    ``term`` grows with each change of holder, so that messages of an
    earlier holder can be told apart. ``valid_s`` is seconds.
    """

    vm: str
    incarnation: int
    term: int
    valid_s: float

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "LeaseRow":
        """Read a row's value.

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
    """Return until when the holder may act (seconds, its clock).

    Examples
    --------
    >>> holder_valid_until(requested_at=100.0, valid_s=4.0)
    103.96
    """
    return requested_at + valid_s * (1.0 - CLOCK_RATE_ERROR)


def others_wait_until(answered_at: float, valid_s: float) -> float:
    """Return from when others may take the lease (seconds, their clock).

    Examples
    --------
    >>> others_wait_until(answered_at=100.0, valid_s=4.0)
    104.04
    """
    return answered_at + valid_s * (1.0 + CLOCK_RATE_ERROR)
