"""Forwarding of statements to a home of their group."""
