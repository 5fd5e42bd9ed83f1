"""Communication with the other entry VMs: liveness, shared tables, exchanges and relays."""
