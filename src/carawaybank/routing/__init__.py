"""Decisions on requests: pure, without sockets, clocks or tasks.

Typed messages and a time go in, typed actions come out. The entry VM, a test and a replayed load
drive the same objects.
"""
