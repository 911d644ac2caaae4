"""Requests of one organisation that wait a moment for tokens.

Load pattern: an organisation sends at nine tenths of its rate, at
random; for a few milliseconds its tokens at one VM are spent, while they
are being borrowed or refilled. Without a short wait those requests are
refused although they are within the rate. With a long one an
organisation far over its rate learns of it late, and ties up connections
while it waits.

A request waits only while its tokens are known to come within `WAIT_S`,
or while an answer of a lender is out. Otherwise it is refused at once,
with the time after which its tokens will be there.
"""

from collections import deque
from math import ceil, floor, inf
from typing import Any, NamedTuple

from redwingpost.rates.bucket import WHOLE
from redwingpost.rates.ledger import Ledger

#: Seconds that a request may wait for tokens that are known to come. A
#: burst of the whole fleet's tokens needs some rounds of loans until they
#: lie where its requests came in; a tenth of a second ended 37 of 5,030
#: requests of yuelan's burst, four tenths 27. Callers far over their rate
#: are refused at once whatever this figure: nothing comes for them.
WAIT_S = 0.4

#: Milliseconds told to a caller whose tokens can't come at this VM.
_UNKNOWN_RETRY_MS = 1000


class Waiter(NamedTuple):
    """A waiting request: micro-tokens, and its owner's handle."""

    tokens: int
    deadline_at: float
    handle: Any


class Refused(NamedTuple):
    """A waiter that won't be served, and when to come back."""

    waiter: Waiter
    retry_after_ms: int


class RateLine:
    """First come, first served, per organisation.

    Parameters
    ----------
    ledger : Ledger
        Where the tokens come from.
    """

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._waiters: deque[Waiter] = deque()
        self.waiting = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def spend(self, tokens: int, now: float) -> bool:
        """Serve a request at once, if nobody waits before it."""
        return not self._waiters and self._ledger.spend(tokens, now)

    def add(self, waiter: Waiter) -> None:
        """Let a request wait."""
        self._waiters.append(waiter)
        self.waiting += waiter.tokens

    def serve(self, now: float) -> list[Waiter]:
        """Return the waiters whose tokens are there; they are spent."""
        served = []
        while self._waiters:
            first = self._waiters[0]
            if not self._ledger.spend(first.tokens, now):
                break
            served.append(self._pop())
        return served

    def refuse(self, now: float, may_gain: bool) -> list[Refused]:
        """Take out and return the waiters that won't be served in time.

        Parameters
        ----------
        now : float
            Seconds.
        may_gain : bool
            True while a lender's answer is out: then what the whole
            fleet's tokens could serve in time may wait for it.
        """
        most = self._most_in_time()
        kept: deque[Waiter] = deque()
        refused = []
        ahead = 0
        for waiter in self._waiters:
            wait_s = self._ledger.seconds_until(ahead + waiter.tokens, now)
            limit_s = min(WAIT_S, waiter.deadline_at - now)
            beyond_all = ahead + waiter.tokens > most
            hopeless = wait_s > limit_s and (beyond_all or not may_gain)
            if hopeless or waiter.deadline_at <= now:
                refused.append(Refused(waiter, self._retry_ms(wait_s)))
            else:
                kept.append(waiter)
                ahead += waiter.tokens
        self._waiters = kept
        self.waiting = ahead
        return refused

    def _most_in_time(self) -> int:
        """Return the micro-tokens that all VMs together could bring.

        A flood far over the rate arrives faster than lenders answer.
        Without this bound all of it waited for each answer, held its
        connections meanwhile and kept the VM busy with its own line.
        """
        bucket = self._ledger.bucket
        return floor((bucket.burst + bucket.rate * WAIT_S) * WHOLE)

    def discard(self, handle: Any) -> None:
        """Drop a waiter whose caller has gone."""
        self._waiters = deque(w for w in self._waiters if w.handle != handle)
        self.waiting = sum(w.tokens for w in self._waiters)

    def next_serve_s(self, now: float) -> float:
        """Return the seconds until the first waiter can be served."""
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
