"""Whom a full target serves next: organisations, kinds, long jobs."""
