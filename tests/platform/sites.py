"""Settings of several entry VMs that run as processes on one machine."""

from tests.test_deployment import SETTINGS

#: Addresses in the settings whose ports are the same on all VMs of a site.
PORTS = ("8100", "8101", "8102", "8103", "8105")


def make_settings(name, *, ips, ports, store_address):
    """Returns the settings of one VM as TOML.

    Args:
        name: Name of the VM.
        ips: IP addresses of all VMs by name.
        ports: Ports to use in place of ``PORTS``.
        store_address: Address of the store.
    """
    control = 'directory_address = "127.0.0.1:8102"\ncontrol_address = "127.0.0.1:8105"'
    text = SETTINGS.replace('directory_address = "127.0.0.1:8102"', control)
    text = text.replace("127.0.0.1", ips[name]).replace("regina-1", name)
    text = text.replace(f"{ips[name]}:8104", store_address)
    seeds = ", ".join(f'"{ip}:8105"' for ip in ips.values())
    text = text.replace(f'"{ips[name]}:9"', seeds)
    for old, new in ports.items():
        text = text.replace(old, str(new))
    return text
