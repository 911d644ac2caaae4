"""Replacement of primaries: detection, the takeover itself, rosters."""
