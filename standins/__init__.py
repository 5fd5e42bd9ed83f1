"""Simulated callers, targets, platform and store for the tests, the demo and the benchmarks."""
