"""Messages and links between entry VMs."""
