"""Admission control: limits, queues, early refusal, connection budgets."""
