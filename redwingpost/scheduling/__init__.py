"""Scheduling of requests at a saturated target: fair queueing, long jobs."""
