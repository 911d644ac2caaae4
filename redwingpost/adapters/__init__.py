"""adapters."""
