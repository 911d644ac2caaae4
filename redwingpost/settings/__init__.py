"""settings."""
