"""Decide when to borrow parts of a rate, how many, from whom; when to lend.

Load pattern: an organisation's callers are spread evenly, then all
connect through one VM (sticky load balancing, a drain), then move again;
or the organisation's total burst arrives at one VM. Without loans, or
with loans that only follow slow averages, requests within the rate are
refused while the tokens they need lie unused on another VM. A loan for
every request would cost a round trip each.

Parts therefore follow a one-second average of demand, and tokens follow
immediate need: a VM whose bucket runs low requests enough for its
waiting requests and the next quarter of a second. A lender with traffic
of its own lends at most half of what it can spare; a lender without
traffic lends all.
"""

from math import ceil, exp
from typing import NamedTuple

from redwingpost.rates.bucket import STATEMENT_MICROTOKENS, TOTAL_PARTS
from redwingpost.rates.ledger import Borrowed, Ledger

#: Time constant of the demand average in seconds. With Poisson arrivals
#: of 20 a second the relative standard deviation is a sixth. At half a
#: second it is a quarter and loans go back and forth; at two seconds the
#: average follows a move of callers too slowly.
DEMAND_AVERAGE_S = 1.0

#: Consecutive arrivals that may fail to appear before the time since the
#: last arrival caps the demand: when callers move to another VM, the old
#: one notices within about ten arrivals instead of after a second. A gap
#: of four has a probability of one in fifty with Poisson arrivals.
_MAX_MISSING_ARRIVALS = 4.0

#: Ratio of the parts held to the parts that the demand needs: absorbs
#: the noise of the average, and still lets six VMs together hold the
#: parts for 90% of a rate.
HEADROOM = 1.1

#: Seconds of demand that a bucket should hold. A VM below half of it
#: borrows before callers have to wait: half of it covers many round
#: trips of a few milliseconds.
LOOKAHEAD_S = 0.25

#: An organisation with a lower demand (statements a second) is idle.
IDLE_STATEMENTS_PER_S = 0.05

#: Seconds before the next round after one that brought no tokens, and
#: the limit of that pause. An organisation at ten times its rate finds
#: that no peer has tokens to spare; doubling the pause keeps its
#: requests at a few a second, and the limit keeps the wait for tokens
#: that become available under a second.
RETRY_PAUSE_S = 0.02
MAX_RETRY_PAUSE_S = 0.32

#: Lenders that the first round sends requests to at once. Doubled after
#: each round without tokens, so that a small need costs few messages in
#: a large fleet.
FAN_OUT = 8


class LoanAmount(NamedTuple):
    """Size of a loan: parts per million and micro-tokens."""

    parts: int
    tokens: int


class LenderCandidate(NamedTuple):
    """A peer to borrow from, and the parts that it lent last.

    ``spare`` is in parts per million; ``None`` before the first request.
    """

    vm: str
    data_centre: str
    spare: int | None


class DemandMeter:
    """Exponentially decaying average of statements a second.

    Examples
    --------
    >>> meter = DemandMeter()
    >>> for step in range(100):
    ...     meter.observe(STATEMENT_MICROTOKENS, step * 0.1)
    >>> 9 < meter.per_second(10.0) < 11
    True
    >>> meter.per_second(60.0) < IDLE_STATEMENTS_PER_S
    True
    """

    def __init__(self) -> None:
        self._rate = 0.0
        self._observed_at = float("-inf")

    def observe(self, tokens: int, now: float) -> None:
        """Add a request of ``tokens`` micro-tokens to the average."""
        self._rate = (
            self.per_second(now)
            + tokens / STATEMENT_MICROTOKENS / DEMAND_AVERAGE_S
        )
        self._observed_at = max(now, self._observed_at)

    def per_second(self, now: float) -> float:
        """Return the demand in statements a second."""
        if self._rate == 0.0:
            return 0.0
        passed = max(0.0, now - self._observed_at)
        decayed = self._rate * exp(-passed / DEMAND_AVERAGE_S)
        if passed == 0.0:
            return decayed
        return min(decayed, _MAX_MISSING_ARRIVALS / passed)


def parts_for(demand: float, rate: float) -> int:
    """Return the parts needed for a demand (statements a second).

    Examples
    --------
    >>> parts_for(50.0, rate=100.0)
    550000
    >>> parts_for(500.0, rate=100.0)
    1000000
    """
    if demand < IDLE_STATEMENTS_PER_S or rate <= 0:
        return 0
    return min(TOTAL_PARTS, ceil(demand * HEADROOM / rate * TOTAL_PARTS))


def shortfall(
    ledger: Ledger, demand: float, waiting: int, now: float
) -> LoanAmount | None:
    """Return the amount to borrow, or None if this VM holds enough.

    Parameters
    ----------
    ledger : Ledger
        The organisation's ledger on this VM.
    demand : float
        Statements a second at this VM.
    waiting : int
        Micro-tokens that requests are waiting for.
    now : float
        Seconds.
    """
    ledger.advance(now)
    bucket = ledger.bucket
    if bucket.parts >= TOTAL_PARTS or bucket.burst <= 0:
        return None
    lookahead = min(
        ceil(demand * LOOKAHEAD_S * STATEMENT_MICROTOKENS),
        _half_burst(bucket.burst),
    )
    if bucket.tokens >= waiting + lookahead // 2 + (
        STATEMENT_MICROTOKENS if demand else 0
    ):
        return None
    tokens = waiting + lookahead + STATEMENT_MICROTOKENS - bucket.tokens
    tokens = max(tokens, STATEMENT_MICROTOKENS)
    parts_for_rate = parts_for(demand, bucket.rate) - bucket.parts
    parts_for_tokens = ceil(tokens / bucket.burst)
    parts = min(
        TOTAL_PARTS - bucket.parts, max(parts_for_rate, parts_for_tokens)
    )
    return LoanAmount(parts, tokens)


def lendable(
    ledger: Ledger,
    demand: float,
    waiting: int,
    requested: LoanAmount,
    now: float,
) -> LoanAmount:
    """Return how much of the requested amount this VM lends.

    Parameters
    ----------
    ledger : Ledger
        The organisation's ledger at the lender.
    demand, waiting, now
        As in ``shortfall``, for the lender.
    requested : LoanAmount
        The amount that the peer requests.
    """
    ledger.advance(now)
    bucket = ledger.bucket
    unlent = ledger.unlent_base(now)
    if demand < IDLE_STATEMENTS_PER_S and not waiting:
        return LoanAmount(min(requested.parts, unlent), requested.tokens)
    spare = max(0, bucket.parts - parts_for(demand, bucket.rate))
    reserve = (
        waiting
        + ceil(demand * LOOKAHEAD_S / 2 * STATEMENT_MICROTOKENS)
        + STATEMENT_MICROTOKENS
    )
    tokens = min(requested.tokens, max(0, bucket.tokens - reserve) // 2)
    # A loan can carry only the tokens that its parts can hold.
    parts_for_tokens = min(ceil(tokens / bucket.burst), unlent // 2)
    parts = min(requested.parts, unlent, max(spare // 2, parts_for_tokens))
    return LoanAmount(parts, tokens)


def surplus_loans(
    ledger: Ledger, demand: float, waiting: int, now: float
) -> list[Borrowed]:
    """Return the loans that this VM no longer needs, largest first."""
    ledger.advance(now)
    bucket = ledger.bucket
    if waiting:
        return []
    wanted = parts_for(demand, bucket.rate)
    wanted = max(wanted, ceil(tokens_to_keep(demand) / max(1, bucket.burst)))
    spare = bucket.parts - wanted
    unneeded = []
    loans = ledger.borrowed_by_loan.values()
    for loan in sorted(loans, key=lambda x: -x.parts):
        if loan.parts <= spare:
            spare -= loan.parts
            unneeded.append(loan)
    return unneeded


def tokens_to_keep(demand: float) -> int:
    """Return the micro-tokens to keep when a loan is returned."""
    return ceil(demand * LOOKAHEAD_S * STATEMENT_MICROTOKENS)


def order_lenders(
    peers: list[LenderCandidate], data_centre: str, empty_rounds: int
) -> list[str]:
    """Return the lenders to send requests to in this round, best first.

    Peers in the own data centre come first: they answer fastest, and a
    partition between data centres doesn't cut them off. Within a data
    centre the order is by the parts lent last; a peer without a request
    so far counts as able to lend everything.

    Examples
    --------
    >>> peers = [
    ...     LenderCandidate("far", "lima-2", 900_000),
    ...     LenderCandidate("near", "lima-1", 10),
    ...     LenderCandidate("new", "lima-2", None),
    ... ]
    >>> order_lenders(peers, "lima-1", empty_rounds=0)
    ['near', 'new', 'far']
    """

    def rank(peer: LenderCandidate) -> tuple[bool, int, str]:
        spare = TOTAL_PARTS + 1 if peer.spare is None else peer.spare
        return (peer.data_centre != data_centre, -spare, peer.vm)

    limit = FAN_OUT << min(empty_rounds, 10)
    return [peer.vm for peer in sorted(peers, key=rank)[:limit]]


def retry_pause_s(empty_rounds: int) -> float:
    """Return the seconds to wait after rounds that brought no tokens."""
    return min(
        MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2 ** max(0, empty_rounds - 1)
    )


def _half_burst(burst: float) -> int:
    return ceil(burst * STATEMENT_MICROTOKENS / 2)
