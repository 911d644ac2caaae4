"""The process of one VM: callers' sessions over pooled connections."""
