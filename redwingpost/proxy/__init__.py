"""proxy."""
