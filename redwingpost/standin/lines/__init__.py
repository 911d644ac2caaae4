"""Stand-ins for the users' platform: row store, members, promotions.

They speak the platform's published protocols over real sockets, and tests
can make them fail in the ways that the platform does.
"""
