"""What becomes of a request that failed: retry, ask, or answer truly."""
