"""Structured logs and statement traces of a VM."""
