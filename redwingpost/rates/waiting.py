"""Queue of one organisation's requests that wait briefly for tokens.

Load pattern: an organisation sends at nine tenths of its rate with
random arrivals; for a few milliseconds its tokens at one VM are spent,
until more are borrowed or refilled. Without a short wait such requests
are refused although they are within the rate. With a long wait an
organisation far over its rate is refused late and occupies connections
meanwhile.

A request waits only while its tokens will be available within ``WAIT_S``,
or while a lender's answer is pending. Otherwise it is refused at once,
with the time after which its tokens will be available.
"""

from collections import deque
from math import ceil, floor, inf
from typing import Any, NamedTuple

from redwingpost.rates.bucket import TOTAL_PARTS
from redwingpost.rates.ledger import Ledger

#: Seconds that a request may wait for tokens that will be available. A
#: burst of the organisation's total tokens takes several rounds of loans
#: until the tokens are at the VM where the requests arrived: of 5,030
#: requests of such a burst, 37 were refused with 0.1 s and 27 with 0.4 s.
#: Callers far over their rate are refused at once whatever the value,
#: because no tokens become available for them.
WAIT_S = 0.4

#: Retry delay (milliseconds) for a caller whose request needs more
#: tokens than the parts on this VM can hold.
_UNKNOWN_RETRY_MS = 1000


class Waiter(NamedTuple):
    """A waiting request: its micro-tokens, deadline and caller's handle."""

    tokens: int
    deadline_at: float
    handle: Any


class Refused(NamedTuple):
    """A refused request and the delay before a retry (milliseconds)."""

    waiter: Waiter
    retry_after_ms: int


class WaitQueue:
    """First-in, first-out queue of one organisation's requests.

    ``waiting`` is the sum of the queued requests' micro-tokens.

    Parameters
    ----------
    ledger : Ledger
        The ledger whose tokens the requests spend.
    """

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._waiters: deque[Waiter] = deque()
        self.waiting = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def spend(self, tokens: int, now: float) -> bool:
        """Spend tokens for a request if no other request is waiting."""
        return not self._waiters and self._ledger.spend(tokens, now)

    def add(self, waiter: Waiter) -> None:
        """Append a request to the queue."""
        self._waiters.append(waiter)
        self.waiting += waiter.tokens

    def serve(self, now: float) -> list[Waiter]:
        """Spend tokens for the first requests in the queue.

        Returns
        -------
        list of Waiter
            The requests served; they are removed from the queue.
        """
        served = []
        while self._waiters:
            first = self._waiters[0]
            if not self._ledger.spend(first.tokens, now):
                break
            served.append(self._pop())
        return served

    def refuse(self, now: float, loan_pending: bool) -> list[Refused]:
        """Remove and return the requests that can't be served in time.

        Parameters
        ----------
        now : float
            Seconds.
        loan_pending : bool
            True while a lender's answer is pending. Then the requests
            that the tokens of all VMs could serve in time keep waiting.
        """
        max_tokens = self._max_tokens_in_time()
        kept: deque[Waiter] = deque()
        refused = []
        ahead = 0
        for waiter in self._waiters:
            wait_s = self._ledger.seconds_until(ahead + waiter.tokens, now)
            limit_s = min(WAIT_S, waiter.deadline_at - now)
            exceeds_all_vms = ahead + waiter.tokens > max_tokens
            is_too_late = wait_s > limit_s and (
                exceeds_all_vms or not loan_pending
            )
            if is_too_late or waiter.deadline_at <= now:
                refused.append(Refused(waiter, self._retry_ms(wait_s)))
            else:
                kept.append(waiter)
                ahead += waiter.tokens
        self._waiters = kept
        self.waiting = ahead
        return refused

    def _max_tokens_in_time(self) -> int:
        """Return the micro-tokens that all VMs could supply in time.

        A flood far over the rate arrives faster than lenders answer.
        Without this bound all its requests wait for each answer, hold
        connections meanwhile and keep the VM busy with its queue.
        """
        bucket = self._ledger.bucket
        return floor((bucket.burst + bucket.rate * WAIT_S) * TOTAL_PARTS)

    def discard(self, handle: Any) -> None:
        """Remove a request whose caller no longer waits."""
        self._waiters = deque(w for w in self._waiters if w.handle != handle)
        self.waiting = sum(w.tokens for w in self._waiters)

    def next_serve_s(self, now: float) -> float:
        """Return the seconds until the first request can be served."""
        if not self._waiters:
            return inf
        return self._ledger.seconds_until(self._waiters[0].tokens, now)

    def _pop(self) -> Waiter:
        waiter = self._waiters.popleft()
        self.waiting -= waiter.tokens
        return waiter

    def _retry_ms(self, wait_s: float) -> int:
        if wait_s == inf:
            return _UNKNOWN_RETRY_MS
        return max(1, ceil(wait_s * 1000))
