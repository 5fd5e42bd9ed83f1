"""The decision core.

Everything below this package is pure: no sockets, threads, clocks, files or global random
numbers. Messages come in with a time in seconds, actions go out, and the same input gives the
same output. The daemon is one host of it; a test with a manual clock is another.
"""
