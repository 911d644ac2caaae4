"""What a target takes: limits, queues, early refusal, connections."""
