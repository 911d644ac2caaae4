"""The schema of the protocol between the system's own processes."""

from redwingpost.wire.schema import SCHEMA

__all__ = ["SCHEMA"]
