"""The configuration: its format, keys, acceptance and distribution."""
