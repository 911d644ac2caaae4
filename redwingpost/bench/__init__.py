"""Load generator, scenarios and oracle: end-to-end tests of a site.

The bench starts the real programs on loopback sockets, records what
callers sent and received, and checks the results using only that
record and the targets' final contents.
"""
