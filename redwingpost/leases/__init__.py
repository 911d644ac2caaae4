"""Leases in rows of the table service: the right to act until an expiry."""
