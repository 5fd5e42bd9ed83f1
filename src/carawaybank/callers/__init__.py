"""Callers: look-ups of entry VMs and forwarding of requests."""
