"""The interface to operators: tickets, status, state dumps, incidents and planned stops."""
