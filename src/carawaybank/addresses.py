"""Addresses of peers that other programs state, as ``IP:PORT``."""

import ipaddress

_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


def is_ip_endpoint(address: str) -> bool:
    """Returns whether a text is an IPv4 address with a port to which one can connect.

    Host names are no such addresses: a name would be resolved while requests wait.

    >>> is_ip_endpoint("10.0.0.1:80"), is_ip_endpoint("10.0.0.1:0"), is_ip_endpoint("host:80")
    (True, False, False)
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= _MAX_PORT
