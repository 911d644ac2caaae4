"""Who is in the fleet, who relays, and who tells whom."""
