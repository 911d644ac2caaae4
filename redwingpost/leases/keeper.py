"""State machine of one lease: claim, renewal, loss and takeover.

Handles the crash of a lease's holder, its pause, and lost answers of the
table service. The keeper returns the next step and is given the result;
it does no input or output and reads no clock.

A holder that resumes after a pause must call ``is_held(now)`` before its
first action: its lease may have expired during the pause, although its
last step before the pause was within the lease.
"""

from enum import Enum

from redwingpost.leases.lease import (
    LeaseRow,
    holder_valid_until,
    others_wait_until,
)
from redwingpost.ports import Condition, Row, Write

#: Fraction of its validity after which a lease is renewed: a third
#: leaves time for two more attempts before it expires.
RENEW_FRACTION = 1 / 3


class LeaseStep(Enum):
    """Next step for a lease; ``REST`` means that nothing is due."""

    REST = "rest"
    READ = "read"
    CLAIM = "claim"


class LeaseKeeper:
    """Claims and renews one lease for one VM.

    Parameters
    ----------
    table, key : str
        Table and key of the lease's row.
    vm : str
        Name of this VM.
    incarnation : int
        Incarnation of this VM.
    valid_s : float
        Validity of a claim or renewal in seconds.

    Examples
    --------
    >>> keeper = LeaseKeeper("relays", "lima-1", "vm-1", 7, 4.0)
    >>> keeper.next_step(now=0.0, wanted=True)
    <LeaseStep.READ: 'read'>
    >>> keeper.observe(None, answered_at=0.1)
    >>> keeper.next_step(now=0.1, wanted=True)
    <LeaseStep.CLAIM: 'claim'>
    >>> conditions, writes = keeper.claim(now=0.1)
    >>> keeper.committed(version=1)
    >>> keeper.is_held(now=4.0), keeper.is_held(now=4.1)
    (True, False)
    """

    def __init__(
        self, table: str, key: str, vm: str, incarnation: int, valid_s: float
    ) -> None:
        self._table = table
        self._key = key
        self._vm = vm
        self._incarnation = incarnation
        self._valid_s = valid_s
        self._is_row_known = False
        self._version = 0
        self._row: LeaseRow | None = None
        self._free_at = float("-inf")
        self._renewed_at = float("-inf")
        self._held_until = float("-inf")
        self._claim_sent_at = float("-inf")
        self._first_unanswered_at = float("inf")

    @property
    def term(self) -> int:
        """The term in the last known row; 0 without a row."""
        return self._row.term if self._row else 0

    @property
    def holder(self) -> str:
        """The holder in the last known row; empty without a row."""
        return self._row.vm if self._row else ""

    def is_held(self, now: float) -> bool:
        """Return whether this VM may act on the lease at ``now``.

        Call this before every action with the current time: the lease
        may expire between two actions.
        """
        return now < self._held_until

    def next_step(self, now: float, wanted: bool) -> LeaseStep:
        """Return the step that is due at ``now``.

        Parameters
        ----------
        now : float
            Seconds on this process's clock.
        wanted : bool
            Whether this VM should hold the lease if it can. If not, a
            lease that it holds is left to expire.
        """
        if not wanted:
            return LeaseStep.REST
        if not self._is_row_known:
            return LeaseStep.READ
        if self.is_held(now):
            renew_at = self._renewed_at + self._valid_s * RENEW_FRACTION
            return LeaseStep.CLAIM if now >= renew_at else LeaseStep.REST
        if now >= self._free_at:
            return LeaseStep.CLAIM
        return LeaseStep.READ

    def observe(self, row: Row | None, answered_at: float) -> None:
        """Record the row that the table service returned.

        An unchanged row still expires relative to the time when it was
        first seen. A row with this VM's incarnation was written by a
        claim whose answer was lost. Its validity counts from the first
        unanswered claim: any of the unanswered claims may have written
        the row, and other VMs may have seen it since then.
        """
        version = row.version if row else 0
        if self._is_row_known and version == self._version:
            return
        self._is_row_known = True
        self._version = version
        self._row = LeaseRow.from_value(row.value) if row else None
        if self._row is None:
            self._free_at = float("-inf")
        elif self._is_own(self._row):
            held_from = min(self._first_unanswered_at, self._claim_sent_at)
            self._hold(held_from, self._row.valid_s)
        else:
            self._first_unanswered_at = float("inf")
            self._held_until = float("-inf")
            valid_s = self._row.valid_s
            self._free_at = others_wait_until(answered_at, valid_s)

    def claim(
        self, now: float
    ) -> tuple[tuple[Condition, ...], tuple[Write, ...]]:
        """Return the transaction that claims or renews the lease."""
        self._claim_sent_at = now
        is_own = self._row is not None and self._is_own(self._row)
        self._row = LeaseRow(
            vm=self._vm,
            incarnation=self._incarnation,
            term=self.term if is_own else self.term + 1,
            valid_s=self._valid_s,
        )
        condition = Condition(self._table, self._key, self._version)
        write = Write(self._table, self._key, self._row._asdict())
        return (condition,), (write,)

    def release(
        self,
    ) -> tuple[tuple[Condition, ...], tuple[Write, ...]]:
        """Return the transaction that releases the lease.

        From this call on the lease is not held, whatever the outcome of
        the transaction. The row is kept, so that the term keeps growing.
        """
        self._held_until = float("-inf")
        condition = Condition(self._table, self._key, self._version)
        row = LeaseRow(self._vm, self._incarnation, self.term, 0.0)
        return (condition,), (Write(self._table, self._key, row._asdict()),)

    def committed(self, version: int) -> None:
        """Record that the claim was committed as ``version``."""
        self._is_row_known = True
        self._version = version
        self._first_unanswered_at = float("inf")
        self._hold(self._claim_sent_at, self._valid_s)

    def refused(self, row: Row | None, answered_at: float) -> None:
        """Record that the claim was refused; ``row`` is the stored row."""
        self._is_row_known = False
        self.observe(row, answered_at)

    def outcome_unknown(self) -> None:
        """Record that the claim got no answer; the next step is a read.

        A lease that was held remains valid until it expires.
        """
        self._is_row_known = False
        self._first_unanswered_at = min(
            self._first_unanswered_at, self._claim_sent_at
        )

    def _is_own(self, row: LeaseRow) -> bool:
        return (row.vm, row.incarnation) == (self._vm, self._incarnation)

    def _hold(self, requested_at: float, valid_s: float) -> None:
        self._renewed_at = requested_at
        self._held_until = holder_valid_until(requested_at, valid_s)
        self._free_at = self._held_until
