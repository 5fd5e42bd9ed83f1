"""Sizes of a deployment, read from a file, and the addresses of its processes."""

import os
import tomllib
from pathlib import Path
from typing import NamedTuple, NotRequired, TypedDict

import msgspec

from standins.rowstore import StoreLimits
from standins.soak.links import HANDSHAKE_DELAYS, LinkDelays, Site, mean_delay_s

#: Directory of the deployments' files.
DEPLOYMENTS = Path(__file__).parents[2] / "deploy" / "soak"
#: File of the same directory with named sets of the soak's options, which is no deployment.
WORLDS = DEPLOYMENTS / "worlds.toml"
HOST = "ficu95.example"
TARGET_PORT = 20_000
_FRONT, _READY, _DIRECTORY, _SIBLING, _STORE, _CONTROL, _METRICS = range(8100, 8107)
_STORE_GATE = 8107


class Place(TypedDict):
    """A failure domain.

    Attributes:
        name: Name of the failure domain.
        region: Its region.
        vms: Number of its VMs.
        share: Its share of the load, relative to that of the others.
        phase: Phase of the wave of its load, in periods; 0 by default.
    """

    name: str
    region: str
    vms: int
    share: float
    phase: NotRequired[float]


class Service(TypedDict):
    """A service and its targets.

    Attributes:
        name: Name of the service.
        targets: Number of targets by failure domain.
        slots: Requests that a target runs at once.
        queue: Requests that wait at a target; further ones are rejected.
        warm_keeps: Objects on which a target works faster, those handled last; none by default.
        cold_s: Seconds for which a target is slow after its start; 3 by default.
        cold_x: Factor of the work in that time; 2 by default.
        cold_per_s: Requests per second that a target bears in that time; 14 by default.
        close_share: Share of responses with which a target ends the connection; 0 by default.
    """

    name: str
    targets: dict[str, int]
    slots: int
    queue: int
    warm_keeps: NotRequired[int]
    cold_s: NotRequired[float]
    cold_x: NotRequired[float]
    cold_per_s: NotRequired[float]
    close_share: NotRequired[float]


class RequestClass(TypedDict):
    """A kind of requests and the habits of the clients that send them.

    Attributes:
        name: Name of the class and of its route.
        service: Service of the route.
        also: Service to which a new configuration may move the route.
        method: HTTP method.
        kind: Kind of the route; only ``idempotent`` requests may run more than once.
        habit: ``fresh`` connections, a ``pool`` of them, or a ``pipeline`` on each.
        share: Share of the load, relative to that of the other classes.
        work_ms: Mean duration of a run in milliseconds.
        deadline_s: Seconds that a client waits.
        timeout_ms: Time-out of the route in milliseconds.
        slo_ms: Time within which a response earns its full benefit, in milliseconds.
        priority: Rank of the route; 0 is the highest.
        request_bytes: Mean size of a request's body.
        response_bytes: Mean size of a response's body.
        slow_share: Share of requests whose bodies are sent over a slow link.
        things: Objects of the callers of a failure domain; by default 200 that all callers share.
        skew: Exponent by which an object's popularity falls with its rank; 0 by default.
        warm_gain: Share of the work that a warm object saves; by default 0, and the route is then
            not sticky.
        work_spread: Deviation of the duration of a run in multiples of the mean; 0.15 by default.
        work_max_ms: Longest run on a cold object; three times the mean by default.
        ahead_share: Share of new connections that are opened some time before their first
            request; by default 0.5 for pools and 0 for others.
        chunked_share: Share of request bodies that are sent in chunks; 0.5 by default.
        error_share: Share of runs that end with a target's own 500; 0 by default.
    """

    name: str
    service: str
    also: NotRequired[str]
    method: str
    kind: str
    habit: str
    share: float
    work_ms: float
    deadline_s: float
    timeout_ms: int
    slo_ms: int
    priority: int
    request_bytes: int
    response_bytes: int
    slow_share: NotRequired[float]
    things: NotRequired[int]
    skew: NotRequired[float]
    warm_gain: NotRequired[float]
    work_spread: NotRequired[float]
    work_max_ms: NotRequired[float]
    ahead_share: NotRequired[float]
    chunked_share: NotRequired[float]
    error_share: NotRequired[float]


class Trouble(TypedDict, total=False):
    """Figures of a fault of targets or callers.

    Attributes:
        share: Share of the targets, requests or callers that are concerned.
        x: Share of responses, or factor of the work, the rate or the attempts.
        for_s: Seconds until its end.
        gap_s: Seconds between targets that are replaced in turn.
    """

    share: float
    x: float
    for_s: float
    gap_s: float


class StoreSite(TypedDict):
    """Where the platform's store stands, and what it takes and bears.

    Attributes:
        region: Its region; it stands in no failure domain of a VM.
        answer_ms: Time for an answer in milliseconds.
        transaction_ms: Time for a transaction in milliseconds.
        writes_per_s: Transactions per second of all VMs and targets.
        reads_per_s: Other calls per second of all VMs and targets.
        history_s: Seconds for which changes can be watched.
    """

    region: str
    answer_ms: float
    transaction_ms: float
    writes_per_s: float
    reads_per_s: float
    history_s: float


class Deployment(TypedDict):
    """The content of a deployment's file.

    Attributes:
        name: Name of the deployment.
        rate: Requests per second of all clients at full load.
        clients: Number of clients.
        stops: Number of planned stops in a run.
        places: Failure domains.
        services: Services.
        classes: Classes of requests.
        bounds: Bounds by the names of the platform.
        swing: Amplitude of the wave of the load relative to its mean; 0 by default.
        period_s: Period of that wave in seconds; 36 by default.
        troubles: Figures of faults by their kind; those of ``TROUBLES`` by default.
        links: Delays of its links, for runs with delays.
        store: Its store, for runs with a store that has limits.
    """

    name: str
    rate: float
    clients: int
    stops: int
    places: list[Place]
    services: list[Service]
    classes: list[RequestClass]
    bounds: dict[str, float]
    swing: NotRequired[float]
    period_s: NotRequired[float]
    troubles: NotRequired[dict[str, Trouble]]
    links: NotRequired[LinkDelays]
    store: NotRequired[StoreSite]


class Vm(NamedTuple):
    """Name, locality and IP address of an entry VM."""

    name: str
    failure_domain: str
    region: str
    ip: str

    @property
    def callers_address(self) -> str:
        """Address for requests."""
        return f"{self.ip}:{_FRONT}"

    @property
    def ready_address(self) -> str:
        """Address for readiness checks."""
        return f"{self.ip}:{_READY}"

    @property
    def directory_address(self) -> str:
        """Address for look-ups."""
        return f"{self.ip}:{_DIRECTORY}"


class Target(NamedTuple):
    """Name, locality and address of a target."""

    name: str
    service: str
    failure_domain: str
    slots: int
    queue: int
    address: str


class Layout(NamedTuple):
    """A deployment and the addresses of its processes.

    Attributes:
        deployment: The deployment.
        network: First three numbers of all IP addresses.
        has_store_gate: Whether VMs reach the store through a gate.
    """

    deployment: Deployment
    network: str
    has_store_gate: bool = False

    @property
    def store_address(self) -> str:
        """Address of the store."""
        return f"{self.network}.1:{_STORE}"

    @property
    def vms_store_address(self) -> str:
        """Address at which VMs reach the store."""
        return f"{self.network}.1:{_STORE_GATE}" if self.has_store_gate else self.store_address

    @property
    def sites(self) -> dict[str, Site]:
        """Failure domain and region of each failure domain by its name."""
        places = self.deployment["places"]
        return {place["name"]: Site(place["name"], place["region"]) for place in places}

    @property
    def vm_sites(self) -> dict[str, Site]:
        """Failure domain and region of each VM by its address for requests."""
        return {vm.callers_address: Site(vm.failure_domain, vm.region) for vm in self.vms}

    @property
    def pass_on_s(self) -> float:
        """Longest time in seconds from a VM's request to its arrival at a target, with links."""
        delays, vms = self.deployment["links"], self.vm_sites.values()
        return HANDSHAKE_DELAYS * max(
            mean_delay_s(delays, site, vms) for site in self.sites.values()
        )

    @property
    def vms(self) -> list[Vm]:
        """Entry VMs of all failure domains."""
        found: list[Vm] = []
        for place in self.deployment["places"]:
            for number in range(1, place["vms"] + 1):
                ip = f"{self.network}.{10 + len(found)}"
                found.append(Vm(f"{place['name']}-{number}", place["name"], place["region"], ip))
        return found

    @property
    def targets(self) -> list[Target]:
        """Targets of all services."""
        found: list[Target] = []
        for service in self.deployment["services"]:
            for place, count in service["targets"].items():
                for number in range(1, count + 1):
                    name = f"{service['name']}-{place}-{number}"
                    address = f"{self.network}.2:{TARGET_PORT + len(found)}"
                    sizes = service["slots"], service["queue"]
                    found.append(Target(name, service["name"], place, *sizes, address))
        return found

    def store_limits(self, *, is_delayed: bool) -> StoreLimits:
        """Returns what the store takes and bears.

        Args:
            is_delayed: Whether calls also take the mean delay of the links between VMs and store.
        """
        store, link_s = self.deployment["store"], 0.0
        if is_delayed:
            site = Site("", store["region"])
            link_s = mean_delay_s(self.deployment["links"], site, self.vm_sites.values())
        return StoreLimits(
            link_s=link_s,
            answer_s=store["answer_ms"] / 1000,
            transaction_s=store["transaction_ms"] / 1000,
            writes_per_s=store["writes_per_s"],
            reads_per_s=store["reads_per_s"],
            history_s=store["history_s"],
        )

    def settings(self, vm: Vm, *, tightened: float = 1.0) -> str:
        """Returns the settings file of an entry VM.

        Args:
            vm: The VM.
            tightened: Factor of the limits of look-ups, shifts, cold targets and retries.
        """
        bounds = self.deployment["bounds"]
        regions = (f'{place["name"]} = "{place["region"]}"' for place in self.deployment["places"])
        seeds = ", ".join(f'"{other.ip}:{_CONTROL}"' for other in self.vms[:3])
        contracts = ("base", "drain", "config", "cost", "retry", "recover", "places", "platform")
        return "\n".join(
            [
                "[vm]",
                f'name = "{vm.name}"',
                f'ip = "{vm.ip}"',
                f'failure_domain = "{vm.failure_domain}"',
                f'region = "{vm.region}"',
                f'callers_address = "{vm.callers_address}"',
                f'ready_address = "{vm.ready_address}"',
                f'directory_address = "{vm.directory_address}"',
                f'control_address = "{vm.ip}:{_CONTROL}"',
                f"sibling_port = {_SIBLING}",
                f"metrics_port = {_METRICS}",
                "cpu_share = 0.86\ncores = 1\nlink_mbps = 1000.0",
                f"[siblings]\nseeds = [{seeds}]",
                f'[store]\naddress = "{self.vms_store_address}"',
                "[regions]",
                *regions,
                "[contracts]",
                *(f"{name} = true" for name in contracts),
                "[bounds]",
                f"stop_within_s = {bounds['graceS']}",
                f"retry_share = {bounds['retryRatio']}",
                f"retry_slack = {bounds['retrySlack'] * tightened}",
                f"retry_window_s = {bounds['retryWindowS']}",
                f"cold_factor = 1.5\ncold_slack = {5 * tightened}",
                f"lookup_ttl_s = {5 * tightened}\nmost_shift = {0.15 * tightened}",
                f"memory_mb = {bounds['memoryMb']}",
                "",
            ]
        )

    def routes(self, moved: frozenset[str] = frozenset()) -> dict[str, str]:
        """Returns the service of each route by its prefix.

        Args:
            moved: Classes whose route has been moved to its other service.
        """
        return {
            f"/{each['name']}/": each["also"] if each["name"] in moved else each["service"]
            for each in self.deployment["classes"]
        }

    def configuration(self, version: int, moved: frozenset[str] = frozenset()) -> dict[str, object]:
        """Returns a configuration as the operator writes it.

        Args:
            version: Its version.
            moved: Classes whose route has been moved to its other service.
        """
        services = self.routes(moved)
        resources: list[dict[str, object]] = [
            _route(each, services[f"/{each['name']}/"]) for each in self.deployment["classes"]
        ]
        for service in self.deployment["services"]:
            spec = {
                "healthPath": "/healthz",
                "maxConns": 390,
                "coldS": service.get("cold_s", 3.0),
                "coldPerS": service.get("cold_per_s", 14.0),
            }
            metadata = {"name": service["name"]}
            resources.append({"resKind": "services", "metadata": metadata, "spec": spec})
        limits = {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 67_108_864,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        }
        resources.append({"resKind": "limits", "metadata": {}, "spec": limits})
        return {"version": f"{version:08x}", "resources": resources}


#: Figures of faults for deployments whose file states none; those of the users' site files.
TROUBLES: dict[str, Trouble] = {
    "give_up": {"share": 0.2, "for_s": 5.5},
    "retry_abuse": {"share": 0.3, "x": 3.0, "for_s": 5.5},
    "burst": {"x": 1.7, "for_s": 3.0},
    "shift": {"share": 0.5, "for_s": 6.5},
    "garble": {"share": 0.35, "x": 0.02, "for_s": 5.5},
    "extra_late": {"share": 0.6, "x": 0.03, "for_s": 5.0},
    "srv_crash": {"share": 0.14, "for_s": 4.5},
    "srv_slow": {"share": 0.16, "x": 5.0, "for_s": 6.5},
    "release": {"share": 0.45, "gap_s": 1.0},
}


def load_deployment(name: str) -> Deployment:
    """Returns a deployment by the name of its file.

    Raises:
        OSError: If there is no such file.
        msgspec.ValidationError: If its content is not that of a deployment.
    """
    text = (DEPLOYMENTS / f"{name}.toml").read_text()
    return msgspec.convert(tomllib.loads(text), Deployment)


def choose_network() -> str:
    """Returns the first numbers of loopback addresses that other processes' runs do not use."""
    pid = os.getpid()
    return f"127.{210 + pid % 45}.{pid // 45 % 250}"


def _route(each: RequestClass, service: str) -> dict[str, object]:
    spec = {
        "host": HOST,
        "prefix": f"/{each['name']}/",
        "kind": each["kind"],
        "timeoutMs": each["timeout_ms"],
        "sloMs": each["slo_ms"],
        "priority": each["priority"],
        "service": service,
        "attempts": 2,
        "sticky": each.get("warm_gain", 0.0) > 0.0,
        "homeRegions": [],
    }
    return {"resKind": "routes", "metadata": {"name": each["name"]}, "spec": spec}
