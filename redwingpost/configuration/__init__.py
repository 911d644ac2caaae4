"""configuration."""
