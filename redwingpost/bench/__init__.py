"""Load generator, scenarios and oracle: the experiments of a site.

The bench starts the real programs on loopback sockets, records what
callers sent and received, and judges it by the record and the targets'
final contents alone.
"""
