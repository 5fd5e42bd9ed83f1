"""The interface to callers: look-ups of entry VMs and forwarding of requests."""
