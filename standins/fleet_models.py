"""Models of a fleet in memory: localities, delays, targets and entry VMs."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from carawaybank.host import Host
from carawaybank.settings import Settings
from carawaybank.steering.messages import RequestInfo
from carawaybank.verdicts import Verdict


class Delays(NamedTuple):
    """One-way network delays in seconds."""

    within_domain_s: float = 0.0002
    between_domains_s: float = 0.004
    between_regions_s: float = 0.035
    to_caller_s: float = 0.001


class Locality(NamedTuple):
    """Region and failure domain of an entry VM or target."""

    region: str
    failure_domain: str


class FinishedRequest(NamedTuple):
    """A request with its verdict.

    Attributes:
        info: The request as the entry VM received it.
        verdict: Verdict that the caller received.
        latency_s: Seconds from sending to the verdict.
        ended_at: Simulated time of the end, in seconds.
    """

    info: RequestInfo
    verdict: Verdict
    latency_s: float
    ended_at: float


class FleetTarget:
    """State and counters of a simulated target.

    Attributes:
        alive: Whether the target accepts connections.
        draining_since: Simulated time at which the drain began; None if not draining.
        busy: Number of slots in use.
        max_busy: Highest number of slots in use so far.
        shed: Number of requests that were rejected because all slots were in use.
        lost: Unused.
        runs: Number of runs by request id.
        run_started_at: Simulated start times of all runs.
    """

    def __init__(
        self, *, name: str, locality: Locality, slots: int, draw_work_s: Callable[[], float]
    ) -> None:
        """Creates an idle target.

        Args:
            name: Name of the target.
            locality: Region and failure domain.
            slots: Maximum number of concurrent requests.
            draw_work_s: Returns the duration of the next request in seconds.
        """
        self.name = name
        self.locality = locality
        self.slots = slots
        self.draw_work_s = draw_work_s
        self.alive = True
        self.draining_since: float | None = None
        self.busy = 0
        self.max_busy = 0
        self.shed = 0
        self.lost: list[int] = []
        self.runs: Counter[str] = Counter()
        self.run_started_at: list[float] = []


class FleetVm:
    """An entry VM with the requests in progress on it.

    Attributes:
        alive: Whether the VM runs; False after it was killed.
        paused_until: Simulated time at which a pause ends.
        callbacks: Callbacks of the requests in progress, by request key.
        request_infos: The requests in progress, by request key.
        tried_targets: Targets that were tried for each request in progress, by request key.
        highest_ticket: Highest ticket number that has been in force on the VM.
    """

    def __init__(self, *, name: str, locality: Locality, host: Host) -> None:
        """Creates a running entry VM.

        Args:
            name: Name of the VM.
            locality: Region and failure domain.
            host: Decision core of the VM.
        """
        self.name = name
        self.locality = locality
        self.host = host
        self.alive = True
        self.paused_until = 0.0
        self.callbacks: dict[int, Callable[[Verdict, tuple[str, ...]], None]] = {}
        self.request_infos: dict[int, RequestInfo] = {}
        self.tried_targets: dict[int, list[str]] = {}
        self.highest_ticket = 0


def make_settings(name: str, region: str, domain: str) -> Settings:
    """Returns default settings for an entry VM in memory; its cell is its failure domain."""
    return Settings(
        vm=name,
        region=region,
        failure_domain=domain,
        cell=domain,
        callers_address=f"{name}:1",
        control_address=f"{name}:2",
        platform_url="",
        platform_timeout_s=1.0,
        platform_poll_s=1.0,
        seeds=(),
        heartbeat_s=0.7,
        suspect_after_s=1.6,
        default_deadline_s=10.0,
        longest_deadline_s=60.0,
        max_body_bytes=1_048_576,
        connect_timeout_s=0.5,
        retry_share=0.1,
        ramp_s=10.0,
        entries_ttl_s=5.0,
        threads=48,
        probe_interval_s=0.5,
        log_level="INFO",
        log_json=False,
        otlp_endpoint="",
    )
