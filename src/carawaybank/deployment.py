"""Settings of an entry VM in a deployment: its locality, its addresses and its limits."""

from pathlib import Path
from typing import NamedTuple, NotRequired, TypedDict

from carawaybank import documents
from carawaybank.exceptions import DocumentError
from carawaybank.memory import budget_bytes
from carawaybank.routing.allotmentterms import AllotmentBounds
from carawaybank.routing.options import RouterOptions
from carawaybank.routing.vmweights import VmCapacity

#: TCP port on which metrics are served unless ``metrics_port`` is set; ``deploy/system.toml`` has
#: the same number.
DEFAULT_METRICS_PORT = 9464

#: Contract of deployments whose targets that start or recover get their objects back at a pace.
PACE_CONTRACT = "health"

#: Fraction of the process memory that responses may use while they wait for slow callers. It is
#: separate from that of responses that are being received, so that slow callers cannot cause the
#: responses to other callers to be cut off.
_UNREAD_MEMORY_FRACTION = 0.125
#: Fraction of the process memory that bodies of requests may use. Joining the parts of a body
#: briefly doubles its memory.
_BODY_MEMORY_FRACTION = 0.25


class VmTable(TypedDict):
    """Section ``vm``: name, locality, listening addresses and size of the entry VM."""

    name: str
    ip: str
    failure_domain: str
    region: str
    callers_address: str
    ready_address: str
    directory_address: str
    control_address: NotRequired[str]
    sibling_port: int
    metrics_port: NotRequired[int]
    cpu_share: NotRequired[float]
    cores: NotRequired[float]
    link_mbps: NotRequired[float]


class StoreTable(TypedDict):
    """Section ``store``: address of the store."""

    address: str


class BoundsTable(TypedDict, total=False):
    """Section ``bounds``: limits of the deployment, as described at :class:`Deployment`."""

    stop_within_s: float
    retry_share: float
    retry_slack: float
    retry_window_s: float
    cold_factor: float
    cold_slack: float
    lookup_ttl_s: float
    most_shift: float
    lapse_grace_s: float
    memory_mb: float
    revoke_strict: bool
    revoke_within_ms: float
    allotment_window_s: float
    allotment_excess: float
    allotment_slack: float


class SiblingsTable(TypedDict, total=False):
    """Section ``siblings``: addresses at which other entry VMs may be reached."""

    seeds: list[str]


class DeploymentDocument(TypedDict):
    """Contents of the settings file."""

    vm: VmTable
    store: StoreTable
    siblings: NotRequired[SiblingsTable]
    regions: dict[str, str]
    contracts: NotRequired[dict[str, bool]]
    bounds: NotRequired[BoundsTable]


class Deployment(NamedTuple):
    """Validated settings with defaults filled in.

    Attributes:
        vm: Name of the entry VM.
        ip: IP address of the entry VM.
        failure_domain: Failure domain of the entry VM.
        region: Region of the entry VM.
        callers_address: ``IP:PORT`` at which callers connect.
        ready_address: ``IP:PORT`` that serves the readiness check.
        directory_address: ``IP:PORT`` that serves look-ups.
        control_address: ``IP:PORT`` that serves this VM's copy of the store's tables to siblings;
            empty if they are not served.
        seeds: Control addresses of a few other entry VMs; they may be out of date.
        sibling_port: UDP port of heartbeats, the same on all entry VMs.
        metrics_port: TCP port on which metrics are served.
        store_address: ``IP:PORT`` of the store.
        regions: Region of each failure domain.
        stop_within_s: Seconds from the stop signal until the process is killed.
        retry_share: Retries allowed per request of a service.
        retry_slack: Retries that all entry VMs together may make in a window in addition.
        retry_window_s: Length of that window in seconds.
        cold_factor: Factor applied to the request rate that a cold target tolerates.
        cold_slack: Requests per second that are added to that limit.
        lookup_ttl_s: Maximum time in seconds for which the response to a look-up may be cached.
        most_shift: Maximum change of a region's share of the requests between two consecutive
            windows of two seconds.
        lapse_grace_s: Seconds after the store is available again for which targets with expired
            rows stay in use, because the rows may reappear.
        memory_mb: Megabytes of memory above which the process is killed.
        revoke_strict: Whether requests with API keys are refused once the configuration has not
            been proven to be current for ``revoke_within_ms``.
        revoke_within_ms: This time in milliseconds.
        cpu_share: Share of a core that the process may use; 0 if not stated.
        cores: Speed of that core as a multiple of the usual one; 0 if not stated.
        link_mbps: Megabits per second of the VM's link; 0 if not stated.
        allotment_window_s: Length in seconds of the window for which allotments are checked.
        allotment_excess: Tolerated excess as a share of what an allotment allows in a window.
        allotment_slack: Requests of a tenant in a window that are tolerated in addition.
        contracts: Names of the deployment's contracts, which enable optional behaviour. Unknown
            names are kept and have no effect.
    """

    vm: str
    ip: str
    failure_domain: str
    region: str
    callers_address: str
    ready_address: str
    directory_address: str
    sibling_port: int
    store_address: str
    regions: dict[str, str]
    control_address: str = ""
    metrics_port: int = DEFAULT_METRICS_PORT
    seeds: tuple[str, ...] = ()
    stop_within_s: float = 6.0
    retry_share: float = 0.2
    retry_slack: float = 60.0
    retry_window_s: float = 10.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0
    lookup_ttl_s: float = 5.0
    most_shift: float = 0.15
    lapse_grace_s: float = 2.0
    memory_mb: float = 200.0
    revoke_strict: bool = False
    revoke_within_ms: float = 5_000.0
    cpu_share: float = 0.0
    cores: float = 0.0
    link_mbps: float = 0.0

    @property
    def capacity(self) -> VmCapacity:
        """What the VM has, from which its share of the callers is computed."""
        return VmCapacity(self.cpu_share, self.cores, self.link_mbps, self.memory_mb)

    allotment_window_s: float = 5.0
    allotment_excess: float = 0.1
    allotment_slack: float = 20.0
    contracts: frozenset[str] = frozenset()

    @property
    def message_memory_bytes(self) -> int:
        """Bytes of memory that the messages of all peers may use together."""
        return budget_bytes(self.memory_mb)

    @property
    def unread_memory_bytes(self) -> int:
        """Bytes of waiting responses to slow callers from which downloads are refused."""
        return int(self.memory_mb * 1_000_000 * _UNREAD_MEMORY_FRACTION)

    @property
    def body_memory_bytes(self) -> int:
        """Bytes that large bodies of requests may use together."""
        return int(self.memory_mb * 1_000_000 * _BODY_MEMORY_FRACTION)

    def router_options(self) -> RouterOptions:
        """Returns the locality and the limits that the router applies."""
        return RouterOptions(
            failure_domain=self.failure_domain,
            region=self.region,
            vm=self.vm,
            retry_share=self.retry_share,
            retry_slack=self.retry_slack,
            retry_window_s=self.retry_window_s,
            cold_factor=self.cold_factor,
            cold_slack=self.cold_slack,
            max_shift=self.most_shift,
            revoke_strict=self.revoke_strict,
            revoke_within_s=self.revoke_within_ms / 1000,
            paces_returns=PACE_CONTRACT in self.contracts,
        )

    def allotment_bounds(self) -> AllotmentBounds:
        """Returns what is tolerated beyond the allotments of tenants."""
        return AllotmentBounds(self.allotment_window_s, self.allotment_excess, self.allotment_slack)

    def keep_startup_settings(self, changed: "Deployment") -> "Deployment":
        """Returns the changed settings with name, locality, addresses and size of the current ones.

        These are applied at start only, so a change of them takes effect at the next start.
        """
        return changed._replace(
            vm=self.vm,
            ip=self.ip,
            failure_domain=self.failure_domain,
            region=self.region,
            callers_address=self.callers_address,
            ready_address=self.ready_address,
            directory_address=self.directory_address,
            control_address=self.control_address,
            sibling_port=self.sibling_port,
            metrics_port=self.metrics_port,
            store_address=self.store_address,
            cpu_share=self.cpu_share,
            cores=self.cores,
            link_mbps=self.link_mbps,
        )


_MAX_PORT = 65_535
_RANGES: dict[str, tuple[float, float]] = {
    "sibling_port": (1, _MAX_PORT),
    "metrics_port": (1, _MAX_PORT),
    "stop_within_s": (0.5, 600),
    "retry_share": (0, 1),
    "retry_slack": (0, 100_000),
    "retry_window_s": (0.1, 600),
    "cold_factor": (0.1, 100),
    "cold_slack": (0, 10_000),
    "lookup_ttl_s": (0.1, 600),
    "most_shift": (0.001, 1),
    "lapse_grace_s": (0, 60),
    "memory_mb": (64, 1_000_000),
    "revoke_within_ms": (100, 3_600_000),
    "cpu_share": (0, 10_000),
    "cores": (0, 10_000),
    "link_mbps": (0, 10_000_000),
    "allotment_window_s": (1, 600),
    "allotment_excess": (0, 1),
    "allotment_slack": (0, 100_000),
}


def load(path: Path) -> Deployment:
    """Reads and validates a settings file.

    Raises:
        DocumentError: If the file cannot be read or a setting is invalid. All faults are listed.
    """
    document = documents.load_toml(path, DeploymentDocument)
    bounds: BoundsTable = document.get("bounds", {})
    vm = document["vm"]
    deployment = Deployment(
        vm=vm["name"],
        ip=vm["ip"],
        failure_domain=vm["failure_domain"],
        region=vm["region"],
        callers_address=vm["callers_address"],
        ready_address=vm["ready_address"],
        directory_address=vm["directory_address"],
        sibling_port=vm["sibling_port"],
        store_address=document["store"]["address"],
        regions=document["regions"],
        control_address=vm.get("control_address", ""),
        metrics_port=vm.get("metrics_port", DEFAULT_METRICS_PORT),
        seeds=tuple(document.get("siblings", {}).get("seeds", ())),
        cpu_share=vm.get("cpu_share", 0.0),
        cores=vm.get("cores", 0.0),
        link_mbps=vm.get("link_mbps", 0.0),
        contracts=frozenset(name for name, is_on in document.get("contracts", {}).items() if is_on),
        **bounds,
    )
    faults = _find_faults(deployment)
    if faults:
        raise DocumentError(source=str(path), faults=tuple(faults))
    return deployment


def _find_faults(deployment: Deployment) -> list[str]:
    faults = [
        f"{name}: {getattr(deployment, name)} is not between {low} and {high}"
        for name, (low, high) in _RANGES.items()
        if not low <= getattr(deployment, name) <= high
    ]
    region = deployment.regions.get(deployment.failure_domain)
    if region != deployment.region:
        faults.append(
            f"vm.region: {deployment.region!r} is not the region of {deployment.failure_domain!r}"
        )
    addresses = ["callers_address", "ready_address", "directory_address", "store_address"]
    if deployment.control_address:
        addresses.append("control_address")
    for name in addresses:
        host, _, port = getattr(deployment, name).rpartition(":")
        if not (host and port.isascii() and port.isdigit() and 0 < int(port) <= _MAX_PORT):
            faults.append(f"{name}: {getattr(deployment, name)!r} is not IP:PORT")
    return faults
