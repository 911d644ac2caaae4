"""Leases on rows of the table service: who may act, and until when."""
