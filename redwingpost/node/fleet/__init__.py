"""Messages between VMs, and tables that VMs follow in the store."""
