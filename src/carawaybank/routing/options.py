"""The locality of an entry VM and the limits that its router applies."""

from typing import NamedTuple


class RouterOptions(NamedTuple):
    """Locality of this entry VM, and limits that apply to all entry VMs together.

    Attributes:
        failure_domain: Failure domain of this entry VM.
        region: Region of this entry VM.
        vm: Name of this entry VM.
        retry_share: Retries allowed per request of a service.
        retry_slack: Additional retries that all entry VMs together may send in a window.
        retry_window_s: Length of the window in seconds.
        min_vms: Minimum number of entry VMs among which the slack is divided, even if fewer are
            known.
        cold_factor: Factor on a cold target's rate.
        cold_slack: Additional requests per second to a cold target.
        max_shift: Maximum share of the requests that may change their region between two windows.
        revoke_strict: Whether requests with API keys are refused once the configuration has not
            been proven to be current for ``revoke_within_s`` seconds.
        revoke_within_s: This time in seconds.
        contracts: Names of the deployment's contracts, which enable optional behaviour.
    """

    failure_domain: str
    region: str
    vm: str = ""
    retry_share: float = 0.2
    retry_slack: float = 60.0
    retry_window_s: float = 10.0
    min_vms: int = 17
    cold_factor: float = 1.5
    cold_slack: float = 5.0
    max_shift: float = 0.15
    revoke_strict: bool = False
    revoke_within_s: float = 5.0
    contracts: frozenset[str] = frozenset()
