"""Replacing a group's primary through the members' own commands."""
