"""Protocols between the system's own processes.

Nothing is re-exported: a node doesn't need the RPC schema, and compiling
it would take 6% of the node's start-up time.
"""
