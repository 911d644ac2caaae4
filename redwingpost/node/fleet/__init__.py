"""What VMs tell each other, and what they follow in the store."""
