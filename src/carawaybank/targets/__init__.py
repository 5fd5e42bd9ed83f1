"""Communication with targets: requests, probes, health checks and their registry."""
