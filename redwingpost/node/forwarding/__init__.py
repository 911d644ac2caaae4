"""Statements that a home of their group runs for another VM."""
