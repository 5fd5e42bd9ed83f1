"""Settings of an entry VM in a deployment: its place, its addresses and the bounds to keep."""

from pathlib import Path
from typing import NamedTuple, NotRequired, TypedDict

from carawaybank import documents
from carawaybank.exceptions import DocumentError


class VmTable(TypedDict):
    """Who and where the entry VM is, and where it listens."""

    name: str
    ip: str
    failure_domain: str
    region: str
    callers_address: str
    ready_address: str
    directory_address: str
    control_address: NotRequired[str]
    sibling_port: int


class StoreTable(TypedDict):
    """Where the store is."""

    address: str


class BoundsTable(TypedDict, total=False):
    """Bounds of the deployment; milliseconds and seconds as their names say."""

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


class SiblingsTable(TypedDict, total=False):
    """Where other entry VMs may be found."""

    seeds: list[str]


class DeploymentDocument(TypedDict):
    """The settings file."""

    vm: VmTable
    store: StoreTable
    siblings: NotRequired[SiblingsTable]
    regions: dict[str, str]
    bounds: NotRequired[BoundsTable]


class Deployment(NamedTuple):
    """Checked settings with defaults filled in.

    Attributes:
        vm: Name of the entry VM.
        ip: Its IP number.
        failure_domain: Its failure domain.
        region: Its region.
        callers_address: Where callers connect.
        ready_address: Where the readiness check is served.
        directory_address: Where look-ups are served.
        control_address: Where siblings fetch what this VM read from the store; empty for nowhere.
        seeds: Control addresses of a few other entry VMs, which may be stale.
        sibling_port: UDP port of heartbeats, the same on all entry VMs.
        store_address: Where the store is.
        regions: Region by failure domain.
        stop_within_s: Seconds from the signal to stop until the process is killed.
        retry_share: Repeats allowed for each request of a service.
        retry_slack: Repeats allowed besides, by all entry VMs in a window.
        retry_window_s: Length of that window in seconds.
        cold_factor: Factor on the rate that a cold target tolerates.
        cold_slack: Requests a second allowed besides.
        lookup_ttl_s: Longest time in seconds for which an answer to a look-up may be kept.
        most_shift: Largest change of a region's share between two windows of two seconds.
        lapse_grace_s: Seconds after the store's return for which lapsed entries may reappear.
        memory_mb: Megabytes beyond which the process is killed.
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

    def keep_place(self, changed: "Deployment") -> "Deployment":
        """Returns changed settings with the name, place and addresses of these.

        Those are in use from the start on and change with the next one.
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
            store_address=self.store_address,
        )


_RANGES: dict[str, tuple[float, float]] = {
    "sibling_port": (1, 65_535),
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
}


def load(path: Path) -> Deployment:
    """Returns the settings in a file.

    Raises:
        DocumentError: If the file cannot be read or any setting is wrong.
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
        seeds=tuple(document.get("siblings", {}).get("seeds", ())),
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
    for name in ("callers_address", "ready_address", "directory_address", "store_address"):
        host, _, port = getattr(deployment, name).rpartition(":")
        if not host or not port.isdigit():
            faults.append(f"{name}: {getattr(deployment, name)!r} is not IP:PORT")
    return faults
