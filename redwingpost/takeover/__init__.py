"""Replacement of a group's primary with the members' own commands."""
