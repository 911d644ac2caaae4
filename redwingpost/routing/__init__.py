"""routing."""
