"""When to borrow parts of a rate, how many, from whom; when to lend.

Load pattern: an organisation's callers are spread evenly, then all sit
behind one VM (a balancer's stickiness, a drain), then move again; and a
burst of the whole fleet's burst arrives at one VM. Without loans, or
with loans that follow slow averages only, requests within the rate are
refused while the tokens they need lie unused on another VM. Loans that
follow every request would cost a round trip each.

So parts follow a one-second average of demand, tokens follow need: a VM
whose bucket runs low asks for what its waiters and the next quarter of a
second take. A lender with traffic of its own gives at most half of what
it can spare, and one without gives all.
"""

from math import ceil, exp
from typing import NamedTuple

from redwingpost.rates.bucket import STATEMENT, WHOLE
from redwingpost.rates.ledger import Borrowed, Ledger

#: Seconds of the demand average. With Poisson arrivals of 20 a second
#: its standard deviation is a sixth; half a second gives a quarter and
#: loans to and fro, two seconds follow a move of callers too slowly.
DEMAND_S = 1.0

#: Arrivals that may be missing before the average gives way to the
#: silence: when callers move to another VM, the old one knows within
#: some ten arrivals, not after a second. Poisson arrivals leave four out
#: once in fifty times.
_SILENT_ARRIVALS = 4.0

#: Parts held for a demand, over the demand: absorbs the average's noise
#: and still lets 90% of a rate be held by six VMs at once.
HEADROOM = 1.1

#: Seconds of demand that a bucket should hold; a VM below half of it
#: asks before callers wait: many round trips of a few milliseconds.
AHEAD_S = 0.25

#: Below this many statements a second an organisation counts as idle.
IDLE = 0.05

#: Seconds before the next round after one that brought nothing, and its
#: bound. An organisation at ten times its rate finds every peer dry;
#: doubling keeps its questions at a few a second, and the bound keeps
#: the wait for tokens that turn up under a second.
DRY_S = 0.02
DRY_LIMIT_S = 0.32

#: Lenders asked at once in the first round; doubled while rounds come
#: back dry, so that a small need costs few messages in a large fleet.
FAN_OUT = 8


class Shortfall(NamedTuple):
    """What a VM asks for: parts per million and micro-tokens."""

    parts: int
    tokens: int


class PeerHint(NamedTuple):
    """What is known of a peer: where it is, what it spared last.

    ``spare`` is parts per million; ``None`` where it wasn't asked yet.
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
    ...     meter.observe(STATEMENT, step * 0.1)
    >>> 9 < meter.per_second(10.0) < 11
    True
    >>> meter.per_second(60.0) < IDLE
    True
    """

    def __init__(self) -> None:
        self._rate = 0.0
        self._at = float("-inf")

    def observe(self, tokens: int, now: float) -> None:
        """Count a request of ``tokens`` micro-tokens."""
        self._rate = self.per_second(now) + tokens / STATEMENT / DEMAND_S
        self._at = max(now, self._at)

    def per_second(self, now: float) -> float:
        """Return the demand in statements a second."""
        if self._rate == 0.0:
            return 0.0
        passed = max(0.0, now - self._at)
        decayed = self._rate * exp(-passed / DEMAND_S)
        if passed == 0.0:
            return decayed
        return min(decayed, _SILENT_ARRIVALS / passed)


def parts_for(demand: float, rate: float) -> int:
    """Return the parts that a demand (statements a second) needs.

    Examples
    --------
    >>> parts_for(50.0, rate=100.0)
    550000
    >>> parts_for(500.0, rate=100.0)
    1000000
    """
    if demand < IDLE or rate <= 0:
        return 0
    return min(WHOLE, ceil(demand * HEADROOM / rate * WHOLE))


def shortfall(
    ledger: Ledger, demand: float, waiting: int, now: float
) -> Shortfall | None:
    """Return what to ask peers for, or None while there is enough.

    Parameters
    ----------
    ledger : Ledger
        The organisation's account.
    demand : float
        Statements a second at this VM.
    waiting : int
        Micro-tokens that requests wait for just now.
    now : float
        Seconds.
    """
    ledger.settle(now)
    bucket = ledger.bucket
    if bucket.parts >= WHOLE or bucket.burst <= 0:
        return None
    ahead = min(ceil(demand * AHEAD_S * STATEMENT), _half(bucket.burst))
    if bucket.tokens >= waiting + ahead // 2 + (STATEMENT if demand else 0):
        return None
    tokens = waiting + ahead + STATEMENT - bucket.tokens
    tokens = max(tokens, STATEMENT)
    for_rate = parts_for(demand, bucket.rate) - bucket.parts
    for_tokens = ceil(tokens / bucket.burst)
    parts = min(WHOLE - bucket.parts, max(for_rate, for_tokens))
    return Shortfall(parts, tokens)


def lendable(
    ledger: Ledger, demand: float, waiting: int, ask: Shortfall, now: float
) -> Shortfall:
    """Return what this VM lends of what a peer asks for.

    Parameters
    ----------
    ledger : Ledger
        The lender's account.
    demand, waiting, now
        The lender's own, as in `shortfall`.
    ask : Shortfall
        The peer's need.
    """
    ledger.settle(now)
    bucket = ledger.bucket
    unlent = ledger.unlent_base(now)
    if demand < IDLE and not waiting:
        return Shortfall(min(ask.parts, unlent), ask.tokens)
    spare = max(0, bucket.parts - parts_for(demand, bucket.rate))
    reserve = waiting + ceil(demand * AHEAD_S / 2 * STATEMENT) + STATEMENT
    tokens = min(ask.tokens, max(0, bucket.tokens - reserve) // 2)
    # Tokens only travel inside the parts that may hold them.
    for_tokens = min(ceil(tokens / bucket.burst), unlent // 2)
    parts = min(ask.parts, unlent, max(spare // 2, for_tokens))
    return Shortfall(parts, tokens)


def surplus(
    ledger: Ledger, demand: float, waiting: int, now: float
) -> list[Borrowed]:
    """Return the loans that this VM no longer needs, largest first."""
    ledger.settle(now)
    bucket = ledger.bucket
    if waiting:
        return []
    wanted = parts_for(demand, bucket.rate)
    wanted = max(wanted, ceil(keep_tokens(demand) / max(1, bucket.burst)))
    spare = bucket.parts - wanted
    found = []
    loans = ledger.borrowed_by_loan.values()
    for loan in sorted(loans, key=lambda x: -x.parts):
        if loan.parts <= spare:
            spare -= loan.parts
            found.append(loan)
    return found


def keep_tokens(demand: float) -> int:
    """Return the micro-tokens worth keeping when a loan goes back."""
    return ceil(demand * AHEAD_S * STATEMENT)


def order_lenders(
    peers: list[PeerHint], data_centre: str, dry_rounds: int
) -> list[str]:
    """Return whom to ask in this round, best first.

    The own data centre comes first: its answers are fastest and a cut
    between data centres doesn't lose them. Then whoever spared most;
    one that was never asked counts as sparing everything.

    Examples
    --------
    >>> peers = [
    ...     PeerHint("far", "lima-2", 900_000),
    ...     PeerHint("near", "lima-1", 10),
    ...     PeerHint("new", "lima-2", None),
    ... ]
    >>> order_lenders(peers, "lima-1", dry_rounds=0)
    ['near', 'new', 'far']
    """

    def rank(peer: PeerHint) -> tuple[bool, int, str]:
        spare = WHOLE + 1 if peer.spare is None else peer.spare
        return (peer.data_centre != data_centre, -spare, peer.vm)

    limit = FAN_OUT << min(dry_rounds, 10)
    return [peer.vm for peer in sorted(peers, key=rank)[:limit]]


def dry_pause(dry_rounds: int) -> float:
    """Return the seconds until the next round after dry ones."""
    return min(DRY_LIMIT_S, DRY_S * 2 ** max(0, dry_rounds - 1))


def _half(burst: float) -> int:
    return ceil(burst * STATEMENT / 2)
