"""Small stand-ins for what carawaybank meets: the platform and targets."""
