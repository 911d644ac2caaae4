"""A request on its way: session, admission, read, write, transaction."""
