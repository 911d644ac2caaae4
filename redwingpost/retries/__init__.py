"""retries."""
