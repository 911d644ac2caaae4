"""leases."""
