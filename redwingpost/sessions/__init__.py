"""sessions."""
