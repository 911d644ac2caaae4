"""Rate limits of organisations, enforced over all VMs together.

``UsageLedger`` admits operations by the counters that all VMs report. The
other modules split a rate into parts: ``Bucket`` counts tokens, ``Ledger``
keeps the parts that one VM holds, ``Lender`` and ``Borrower`` move parts
between VMs, ``demand`` decides when to move them, and ``roster`` assigns the
base parts in a row of the table service.
"""
