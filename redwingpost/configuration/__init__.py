"""The configuration: its form, its keys, its acceptance and its spread."""
