"""Rates and bursts of organisations, conserved over all VMs together.

`Bucket` counts tokens, `Ledger` the parts one VM holds, `Lender` and
`Borrower` move parts between VMs, the demand functions say when, and the
roster grants the base parts through the table service.
"""

from redwingpost.rates.bucket import STATEMENT, WHOLE, Bucket
from redwingpost.rates.demand import (
    DemandMeter,
    PeerHint,
    Shortfall,
    dry_pause,
    keep_tokens,
    lendable,
    order_lenders,
    parts_for,
    shortfall,
    surplus,
)
from redwingpost.rates.ledger import Base, Borrowed, Ledger, Lent
from redwingpost.rates.loans import (
    LOAN_S,
    MARGIN_S,
    QUARANTINE_S,
    Ask,
    Borrower,
    Grant,
    Lender,
    Return,
    numbers_of,
)
from redwingpost.rates.waiting import WAIT_S, RateLine, Waiter

__all__ = [
    "Ask",
    "Base",
    "Borrowed",
    "Borrower",
    "Bucket",
    "DemandMeter",
    "Grant",
    "LOAN_S",
    "Ledger",
    "Lender",
    "Lent",
    "MARGIN_S",
    "PeerHint",
    "QUARANTINE_S",
    "Return",
    "RateLine",
    "STATEMENT",
    "Shortfall",
    "WAIT_S",
    "WHOLE",
    "Waiter",
    "dry_pause",
    "keep_tokens",
    "lendable",
    "numbers_of",
    "order_lenders",
    "parts_for",
    "shortfall",
    "surplus",
]
