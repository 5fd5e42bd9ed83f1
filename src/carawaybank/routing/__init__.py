"""Routing decisions for requests, as pure code without sockets, clocks or tasks.

The caller passes typed messages and the current time, and gets typed actions back. The daemon
``carawaybank-node``, tests and simulated loads use the same objects. The daemon ``carawaybankd``
uses :mod:`carawaybank.steering` instead.
"""
