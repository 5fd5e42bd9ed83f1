"""The other entry VMs: exchanges, relays and the tasks that send them."""
