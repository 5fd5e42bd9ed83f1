"""The decision core.

The modules of this package are pure: they use no sockets, threads, clocks, files or global random
numbers. The host passes in messages with a time in seconds and carries out the returned actions;
the same input gives the same output. The daemon ``carawaybankd`` is one host, a test with a manual
clock another. The daemon ``carawaybank-node`` uses :mod:`carawaybank.routing` instead, which shares
some modules of this package.
"""
