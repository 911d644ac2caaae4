"""One node: callers' sessions over pooled connections to members."""
