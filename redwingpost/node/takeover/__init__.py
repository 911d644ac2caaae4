"""Primaries replaced: who notices, who conducts, whose logs matter."""
