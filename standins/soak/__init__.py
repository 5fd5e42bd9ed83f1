"""Soak of real processes under faults, with checkers of what callers and targets saw."""
