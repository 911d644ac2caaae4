"""Fleet membership: heartbeats, failure detection, relays and gossip."""
