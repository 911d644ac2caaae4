"""Logs and metrics of a node."""
