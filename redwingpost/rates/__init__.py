"""Rates and bursts of organisations, conserved over all VMs together.

`Bucket` counts tokens, `Ledger` the parts one VM holds, `Lender` and
`Borrower` move parts between VMs, the demand functions say when, and the
roster grants the base parts through the table service.
"""
