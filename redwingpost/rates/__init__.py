"""rates."""
