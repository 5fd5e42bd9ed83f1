"""What a fleet in memory is made of: places, delays, targets and entry VMs."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from carawaybank.host import Host
from carawaybank.settings import Settings
from carawaybank.steering.messages import RequestInfo
from carawaybank.verdicts import Verdict


class Delays(NamedTuple):
    """One-way delays in seconds."""

    within_domain: float = 0.0002
    between_domains: float = 0.004
    between_regions: float = 0.035
    to_client: float = 0.001


class Place(NamedTuple):
    """Where something stands."""

    region: str
    failure_domain: str


class Ended(NamedTuple):
    """A request that ended."""

    info: RequestInfo
    verdict: Verdict
    latency_s: float
    at: float


class FleetTarget:
    """A target with slots."""

    def __init__(self, *, name: str, place: Place, slots: int, work: Callable[[], float]) -> None:
        """Starts idle.

        Args:
            name: Its name.
            place: Where it stands.
            slots: Requests that it runs at once.
            work: Draws the seconds that a request takes.
        """
        self.name = name
        self.place = place
        self.slots = slots
        self.work = work
        self.alive = True
        self.draining_since: float | None = None
        self.busy = 0
        self.peak = 0
        self.shed = 0
        self.lost: list[int] = []
        self.runs: Counter[str] = Counter()
        self.begun_at: list[float] = []


class FleetVm:
    """An entry VM and what is under way on it."""

    def __init__(self, *, name: str, place: Place, host: Host) -> None:
        """Starts alive.

        Args:
            name: Its name.
            place: Where it stands.
            host: Its decision core.
        """
        self.name = name
        self.place = place
        self.host = host
        self.alive = True
        self.paused_until = 0.0
        self.requests: dict[int, Callable[[Verdict, tuple[str, ...]], None]] = {}
        self.infos: dict[int, RequestInfo] = {}
        self.tried: dict[int, list[str]] = {}
        self.highest_ticket = 0


def make_settings(name: str, region: str, domain: str) -> Settings:
    """Returns settings with defaults for an entry VM in memory."""
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
