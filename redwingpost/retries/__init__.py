"""Handling of failed requests: retry rules, budget, idempotency records."""
