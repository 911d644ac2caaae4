"""Pools of connections to members, shared by organisations."""
