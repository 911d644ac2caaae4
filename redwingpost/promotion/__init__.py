"""promotion."""
