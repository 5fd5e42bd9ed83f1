"""Targets: dispatch of requests and probes."""
