"""operator."""
