"""Stand-ins for the users' platform: row store, members, promotions.

They speak the platform's published protocols over real sockets and can
be told to fail as the platform does.
"""
