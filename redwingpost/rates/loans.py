"""Loans of parts between VMs: state machines of lender and borrower.

Load pattern: demand moves between VMs faster than the table service
should be called (a balancer moves callers, a VM drains, one caller
bursts), and it also moves during store outages. Without loans a VM
grants only its equal part of a rate, and refuses five sixths of a burst
that arrives entirely at one of six VMs.

Four rules ensure that loans create no tokens.

- The lender subtracts parts and tokens before it answers. If the answer
  is lost they stay unused until the loan expires; they never exist
  twice.
- The borrower counts the validity from before it sent the request, the
  lender from after it received it. A loan therefore expires at the
  borrower first, whatever the delay.
- The borrower subtracts a loan before it returns it. Each loan closes
  once, so a repeated or late message finds no loan and has no effect.
- Only base parts are lent, never borrowed ones, and no loan outlives the
  validity of the base. There is no chain of loans to resolve.

A restarted VM has lost the record of its loans, so it must not use its
base for ``QUARANTINE_S``.
"""

from collections.abc import Iterator
from itertools import count
from typing import NamedTuple

from redwingpost.rates.ledger import Borrowed, Ledger, Lent

#: Seconds that a loan is valid without renewal. The loans of a crashed
#: borrower stay unused for this long, which bounds the wrongful refusals
#: that a crash causes; each loan is renewed after half of it.
LOAN_S = 1.0

#: Seconds that the lender waits beyond the borrower's validity: the
#: clock rates of two VMs differ by a few parts in ten thousand at most,
#: so a tenth of a second is ample.
LENDER_MARGIN_S = 0.1

#: Seconds after a start during which base parts stay unused: after that,
#: every loan made by the previous process on this VM has expired.
QUARANTINE_S = LOAN_S + LENDER_MARGIN_S

#: A borrower renews a loan that it needs once this many seconds of its
#: validity are left: enough for three attempts of 100 ms, a slow round
#: trip.
RENEW_AHEAD_S = 0.5


class LoanRequest(NamedTuple):
    """A borrower's request; ``requested_at`` is not sent to the lender."""

    number: int
    lender: str
    parts: int
    tokens: int
    requested_at: float


class Grant(NamedTuple):
    """A lender's answer; zero parts if it has none to spare."""

    loan: int
    parts: int
    tokens: int
    valid_s: float


class LoanReturn(NamedTuple):
    """A returned loan, already subtracted at the borrower."""

    lender: str
    loan: int
    parts: int
    tokens: int


NO_GRANT = Grant(0, 0, 0, 0.0)

#: Bits of a number that count within one process. At 250 loans a second
#: it takes over an hour to reach the numbers of a process started a
#: millisecond later, far longer than any loan lasts.
_NUMBERS_PER_INCARNATION_BITS = 20


def number_sequence(incarnation: int) -> Iterator[int]:
    """Return the numbers that one process gives to loans and requests.

    Parameters
    ----------
    incarnation : int
        Wall clock at the start in milliseconds, or another number that
        grows with each start.

    Examples
    --------
    >>> numbers = number_sequence(1)
    >>> next(numbers), next(numbers)
    (1048577, 1048578)
    """
    return count((incarnation << _NUMBERS_PER_INCARNATION_BITS) + 1)


class Lender:
    """Lends base parts of one organisation to other VMs.

    Parameters
    ----------
    ledger : Ledger
        The organisation's ledger on this VM.
    numbers : iterator of int
        Loan numbers, shared by all organisations of the process. After a
        restart they continue with unused numbers (see
        ``number_sequence``), so that a message about an old loan is not
        applied to a new one.
    """

    def __init__(self, ledger: Ledger, numbers: Iterator[int]) -> None:
        self.ledger = ledger
        self._numbers = numbers

    def lend(
        self, borrower: str, parts: int, tokens: int, now: float
    ) -> Grant:
        """Lend up to ``parts`` and ``tokens`` of what this VM holds."""
        self.ledger.advance(now)
        parts = min(parts, self.ledger.unlent_base(now))
        valid_s = self._validity(now)
        if parts <= 0 or valid_s <= 0:
            return NO_GRANT
        lent = Lent(
            next(self._numbers),
            borrower,
            parts,
            now + valid_s + LENDER_MARGIN_S,
        )
        moved = self.ledger.add_lent(lent, tokens, now)
        return Grant(lent.loan, parts, moved, valid_s)

    def renew(self, loan: int, recall: bool, now: float) -> float:
        """Return the new validity in seconds; 0 recalls the loan."""
        self.ledger.advance(now)
        lent = self.ledger.lent_by_loan.get(loan)
        valid_s = self._validity(now)
        overdrawn = self._has_lent_beyond_base(now)
        if lent is None or recall or overdrawn or valid_s <= 0:
            return 0.0
        expires_at = max(lent.expires_at, now + valid_s + LENDER_MARGIN_S)
        self.ledger.lent_by_loan[loan] = lent._replace(expires_at=expires_at)
        return valid_s

    def take_back(self, loan: int, tokens: int, now: float) -> bool:
        """Close a returned loan; False if it was closed or has expired."""
        return self.ledger.close_lent(loan, tokens, now)

    def _validity(self, now: float) -> float:
        # A loan that outlived the base would still be spent after the
        # roster has assigned the base to another VM.
        left = self.ledger.base.valid_until - now - LENDER_MARGIN_S
        return min(LOAN_S, left)

    def _has_lent_beyond_base(self, now: float) -> bool:
        lent = sum(x.parts for x in self.ledger.lent_by_loan.values())
        return lent > self.ledger.base_at(now)


class Borrower:
    """Borrows parts of one organisation from other VMs.

    Parameters
    ----------
    ledger : Ledger
        The organisation's ledger on this VM.
    numbers : iterator of int
        As for ``Lender``. An answer to the previous process on this VM
        must not match a request of this process: that request was sent
        later, and the validity would be counted from that later time.
    """

    def __init__(self, ledger: Ledger, numbers: Iterator[int]) -> None:
        self.ledger = ledger
        self._numbers = numbers
        self._requests_by_number: dict[int, LoanRequest] = {}

    def request(
        self, lender: str, parts: int, tokens: int, now: float
    ) -> LoanRequest:
        """Create and record a request to a lender."""
        request = LoanRequest(next(self._numbers), lender, parts, tokens, now)
        self._requests_by_number[request.number] = request
        return request

    def cancel(self, number: int) -> None:
        """Drop a request; a later answer to it is ignored."""
        self._requests_by_number.pop(number, None)

    def accept(self, number: int, grant: Grant, now: float) -> bool:
        """Add a granted loan; False if the answer is late or repeated."""
        request = self._requests_by_number.pop(number, None)
        if request is None or grant.parts <= 0:
            return False
        valid_until = request.requested_at + grant.valid_s
        if valid_until <= now:
            return False
        loan = Borrowed(request.lender, grant.loan, grant.parts, valid_until)
        self.ledger.add_borrowed(loan, grant.tokens, now)
        return True

    def apply_renewal(
        self,
        key: tuple[str, int],
        valid_s: float,
        requested_at: float,
        now: float,
    ) -> bool:
        """Extend a loan; False if the lender recalls it or it is gone."""
        self.ledger.advance(now)
        loan = self.ledger.borrowed_by_loan.get(key)
        if loan is None or valid_s <= 0:
            return False
        valid_until = max(loan.valid_until, requested_at + valid_s)
        self.ledger.borrowed_by_loan[key] = loan._replace(
            valid_until=valid_until
        )
        return True

    def return_loan(
        self, key: tuple[str, int], keep: int, now: float
    ) -> LoanReturn | None:
        """Subtract a loan and return the message for its lender.

        ``keep`` is the number of micro-tokens that this VM still needs.
        """
        self.ledger.advance(now)
        loan = self.ledger.borrowed_by_loan.get(key)
        tokens = self.ledger.close_borrowed(key, keep, now)
        if loan is None or tokens is None:
            return None
        return LoanReturn(loan.lender, loan.loan, loan.parts, tokens)

    def due_for_renewal(self, now: float) -> list[Borrowed]:
        """Return the loans that expire within ``RENEW_AHEAD_S``."""
        self.ledger.advance(now)
        return [
            loan
            for loan in self.ledger.borrowed_by_loan.values()
            if loan.valid_until - now <= RENEW_AHEAD_S
        ]
