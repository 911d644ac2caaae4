"""The protocols between the system's own processes.

Nothing is re-exported: compiling the schema of the RPC takes 6% of a
node's start (by ``-X importtime``), and a node sends heartbeats only.
"""
