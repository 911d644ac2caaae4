"""Adapters that implement the ports over network protocols."""
