"""Operators: tickets, read-back, state dumps and planned stops."""
