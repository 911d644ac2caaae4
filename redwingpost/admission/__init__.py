"""admission."""
