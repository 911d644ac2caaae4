"""agent."""
