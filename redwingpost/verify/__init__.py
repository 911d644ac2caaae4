"""verify."""
