"""Handling of requests: sessions, admission, reads, writes, transactions."""
