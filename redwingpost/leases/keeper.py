"""The life of one lease: claimed, renewed, lost, taken over.

Answers the loss of a lease's holder, its pause, and answers of the table
service that got lost on the way. The keeper says what to do next and
takes in what came of it; it does no input or output and reads no clock.

A holder that wakes from a pause asks ``is_held(now)`` before its first
action and learns that its lease has lapsed, whatever it believed when it
fell asleep.
"""

from enum import Enum

from redwingpost.leases.lease import (
    LeaseRow,
    holder_valid_until,
    others_wait_until,
)
from redwingpost.ports import Condition, Row, Write

#: Share of the lease after which it is renewed: a third leaves time for
#: two more attempts before it lapses.
RENEW_SHARE = 1 / 3


class LeaseStep(Enum):
    """What to do next about a lease."""

    REST = "rest"
    READ = "read"
    CLAIM = "claim"


class LeaseKeeper:
    """One VM's part in one lease.

    Parameters
    ----------
    table, key : str
        The lease's row.
    vm : str
        This VM.
    incarnation : int
        This VM's incarnation.
    valid_s : float
        Seconds that a claim or renewal lasts.

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
        self._known = False
        self._version = 0
        self._row: LeaseRow | None = None
        self._free_at = float("-inf")
        self._held_from = float("-inf")
        self._held_until = float("-inf")
        self._requested_at = float("-inf")
        self._unanswered_from = float("inf")

    @property
    def term(self) -> int:
        """The term of the row last seen; 0 before any."""
        return self._row.term if self._row else 0

    @property
    def holder(self) -> str:
        """The VM that the row last seen names; empty before any."""
        return self._row.vm if self._row else ""

    def is_held(self, now: float) -> bool:
        """Say whether this VM may act on the lease at ``now``.

        Ask again before every action: the answer is only as good as
        ``now`` is fresh.
        """
        return now < self._held_until

    def next_step(self, now: float, wanted: bool) -> LeaseStep:
        """Return what to do at ``now``.

        Parameters
        ----------
        now : float
            Seconds on this process's clock.
        wanted : bool
            Whether this VM should hold the lease if it can. A VM that
            holds it and should not lets it lapse.
        """
        if not wanted:
            return LeaseStep.REST
        if not self._known:
            return LeaseStep.READ
        if self.is_held(now):
            renew_at = self._held_from + self._valid_s * RENEW_SHARE
            return LeaseStep.CLAIM if now >= renew_at else LeaseStep.REST
        if now >= self._free_at:
            return LeaseStep.CLAIM
        return LeaseStep.READ

    def observe(self, row: Row | None, answered_at: float) -> None:
        """Take in the row as the table service answered it.

        A row that hasn't changed goes on lapsing from when it was first
        seen. One that names this VM's incarnation is the trace of a
        claim whose answer was lost: it counts from the first such request.
        Any of several unanswered ones may have written the row, and
        others may have seen it since then.
        """
        version = row.version if row else 0
        if self._known and version == self._version:
            return
        self._known = True
        self._version = version
        self._row = LeaseRow.from_value(row.value) if row else None
        if self._row is None:
            self._free_at = float("-inf")
        elif self._is_mine(self._row):
            since = min(self._unanswered_from, self._requested_at)
            self._hold(since, self._row.valid_s)
        else:
            self._unanswered_from = float("inf")
            self._held_until = float("-inf")
            valid_s = self._row.valid_s
            self._free_at = others_wait_until(answered_at, valid_s)

    def claim(
        self, now: float
    ) -> tuple[tuple[Condition, ...], tuple[Write, ...]]:
        """Return the transaction that claims or renews the lease."""
        self._requested_at = now
        mine = self._row is not None and self._is_mine(self._row)
        self._row = LeaseRow(
            vm=self._vm,
            incarnation=self._incarnation,
            term=self.term if mine else self.term + 1,
            valid_s=self._valid_s,
        )
        condition = Condition(self._table, self._key, self._version)
        write = Write(self._table, self._key, self._row._asdict())
        return (condition,), (write,)

    def release(
        self,
    ) -> tuple[tuple[Condition, ...], tuple[Write, ...]]:
        """Return the transaction that gives the lease back.

        The holder stops acting on it here and now, whatever becomes of
        the transaction. The row stays, so that the term goes on growing.
        """
        self._held_until = float("-inf")
        condition = Condition(self._table, self._key, self._version)
        row = LeaseRow(self._vm, self._incarnation, self.term, 0.0)
        return (condition,), (Write(self._table, self._key, row._asdict()),)

    def committed(self, version: int) -> None:
        """Note that the claim took effect as ``version``."""
        self._known = True
        self._version = version
        self._unanswered_from = float("inf")
        self._hold(self._requested_at, self._valid_s)

    def refused(self, row: Row | None, answered_at: float) -> None:
        """Note that the claim lost to the row as it now stands."""
        self._known = False
        self.observe(row, answered_at)

    def failed(self) -> None:
        """Note that the claim's answer is unknown: read before acting.

        A lease that was held goes on until it lapses.
        """
        self._known = False
        self._unanswered_from = min(self._unanswered_from, self._requested_at)

    def _is_mine(self, row: LeaseRow) -> bool:
        return (row.vm, row.incarnation) == (self._vm, self._incarnation)

    def _hold(self, requested_at: float, valid_s: float) -> None:
        self._held_from = requested_at
        self._held_until = holder_valid_until(requested_at, valid_s)
        self._free_at = self._held_until
