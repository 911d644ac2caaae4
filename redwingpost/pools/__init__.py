"""Connections to members: how many a VM holds, and for whom."""
