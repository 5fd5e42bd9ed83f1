"""Settings of the daemon: a TOML file that is validated completely before the daemon starts."""

from collections.abc import Callable
from pathlib import Path
from typing import Literal, NamedTuple, NotRequired, TypedDict

from carawaybank import documents
from carawaybank.exceptions import DocumentError
from carawaybank.steering.tickets import is_ip_port


class VmSettings(TypedDict):
    """Section ``vm``: name, locality and addresses of this entry VM."""

    name: str
    region: str
    failure_domain: str
    cell: NotRequired[str]
    callers_address: str
    control_address: str


class PlatformSettings(TypedDict):
    """Section ``platform``: access to the platform's table, object store and VM list."""

    url: str
    timeout_s: NotRequired[float]
    poll_s: NotRequired[float]


class SiblingSettings(TypedDict, total=False):
    """Section ``siblings``: discovery and failure detection of the other entry VMs."""

    seeds: list[str]
    heartbeat_s: float
    suspect_after_s: float


class RequestSettings(TypedDict, total=False):
    """Section ``requests``: limits that apply to requests."""

    default_deadline_s: float
    longest_deadline_s: float
    max_body_bytes: int
    connect_timeout_s: float
    retry_share: float
    ramp_s: float
    entries_ttl_s: float
    threads: int
    probe_interval_s: float


class LogSettings(TypedDict, total=False):
    """Section ``logs``: minimum level and format of the log."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"]
    json: bool


class MetricsSettings(TypedDict, total=False):
    """Section ``metrics``: push of metrics, in addition to the scrape endpoint."""

    otlp_endpoint: str


class SettingsDocument(TypedDict):
    """Contents of the settings file."""

    vm: VmSettings
    platform: PlatformSettings
    siblings: NotRequired[SiblingSettings]
    requests: NotRequired[RequestSettings]
    logs: NotRequired[LogSettings]
    metrics: NotRequired[MetricsSettings]


class Settings(NamedTuple):
    """Validated settings with defaults filled in; times are in seconds, sizes in bytes."""

    vm: str
    region: str
    failure_domain: str
    cell: str
    callers_address: str
    control_address: str
    platform_url: str
    platform_timeout_s: float
    platform_poll_s: float
    seeds: tuple[str, ...]
    heartbeat_s: float
    suspect_after_s: float
    default_deadline_s: float
    longest_deadline_s: float
    max_body_bytes: int
    connect_timeout_s: float
    retry_share: float
    ramp_s: float
    entries_ttl_s: float
    threads: int
    probe_interval_s: float
    log_level: str
    log_json: bool
    otlp_endpoint: str


def load(path: Path) -> Settings:
    """Reads and validates a settings file.

    Raises:
        DocumentError: If the file cannot be read or a setting is invalid. All faults are listed.
    """
    document = documents.load_toml(path, SettingsDocument)
    settings = _apply_defaults(document)
    faults = tuple(fault for check in _CHECKS for fault in check(settings))
    if faults:
        raise DocumentError(source=str(path), faults=faults)
    return settings


def _apply_defaults(document: SettingsDocument) -> Settings:
    vm, platform = document["vm"], document["platform"]
    siblings = document.get("siblings", {})
    requests = document.get("requests", {})
    logs = document.get("logs", {})
    return Settings(
        vm=vm["name"],
        region=vm["region"],
        failure_domain=vm["failure_domain"],
        cell=vm.get("cell", vm["failure_domain"]),
        callers_address=vm["callers_address"],
        control_address=vm["control_address"],
        platform_url=platform["url"],
        platform_timeout_s=platform.get("timeout_s", 1.0),
        platform_poll_s=platform.get("poll_s", 1.0),
        seeds=tuple(siblings.get("seeds", [])),
        heartbeat_s=siblings.get("heartbeat_s", 0.7),
        suspect_after_s=siblings.get("suspect_after_s", 1.6),
        default_deadline_s=requests.get("default_deadline_s", 10.0),
        longest_deadline_s=requests.get("longest_deadline_s", 60.0),
        max_body_bytes=requests.get("max_body_bytes", 1_048_576),
        connect_timeout_s=requests.get("connect_timeout_s", 0.5),
        retry_share=requests.get("retry_share", 0.1),
        ramp_s=requests.get("ramp_s", 10.0),
        entries_ttl_s=requests.get("entries_ttl_s", 5.0),
        threads=requests.get("threads", 48),
        probe_interval_s=requests.get("probe_interval_s", 0.5),
        log_level=logs.get("level", "INFO"),
        log_json=logs.get("json", False),
        otlp_endpoint=document.get("metrics", {}).get("otlp_endpoint", ""),
    )


def _address_faults(settings: Settings) -> list[str]:
    addresses = {
        "vm.callers_address": settings.callers_address,
        "vm.control_address": settings.control_address,
        **{f"siblings.seeds[{i}]": seed for i, seed in enumerate(settings.seeds)},
    }
    faults = [
        f"{key}: {address!r} is not an IP address with a port, such as 127.0.0.1:8100"
        for key, address in addresses.items()
        if not is_ip_port(address)
    ]
    if settings.callers_address == settings.control_address:
        faults.append("vm.control_address: must differ from vm.callers_address")
    if not settings.platform_url.startswith(("http://", "https://")):
        faults.append(
            f"platform.url: {settings.platform_url!r} must begin with http:// or https://"
        )
    return faults


def _name_faults(settings: Settings) -> list[str]:
    names = {
        "vm.name": settings.vm,
        "vm.region": settings.region,
        "vm.failure_domain": settings.failure_domain,
        "vm.cell": settings.cell,
    }
    return [
        f"{key}: {name!r} may contain only letters, digits, - and _"
        for key, name in names.items()
        if not name.replace("-", "").replace("_", "").isalnum()
    ]


def _range_faults(settings: Settings) -> list[str]:
    ranges = {
        "platform.timeout_s": (settings.platform_timeout_s, 0.05, 60),
        "platform.poll_s": (settings.platform_poll_s, 0.1, 60),
        "siblings.heartbeat_s": (settings.heartbeat_s, 0.05, 10),
        "siblings.suspect_after_s": (settings.suspect_after_s, 2 * settings.heartbeat_s, 60),
        "requests.default_deadline_s": (settings.default_deadline_s, 0.01, 600),
        "requests.longest_deadline_s": (settings.longest_deadline_s, 0.01, 600),
        "requests.max_body_bytes": (settings.max_body_bytes, 1024, 64 * 1024 * 1024),
        "requests.connect_timeout_s": (settings.connect_timeout_s, 0.01, 10),
        "requests.retry_share": (settings.retry_share, 0, 0.1),
        "requests.ramp_s": (settings.ramp_s, 0.1, 3600),
        "requests.entries_ttl_s": (settings.entries_ttl_s, 0.1, 300),
        "requests.threads": (settings.threads, 4, 256),
        "requests.probe_interval_s": (settings.probe_interval_s, 0.05, 60),
    }
    return [
        f"{key}: {value} is not between {low} and {high}"
        for key, (value, low, high) in ranges.items()
        if not low <= value <= high
    ]


_CHECKS: tuple[Callable[[Settings], list[str]], ...] = (
    _address_faults,
    _name_faults,
    _range_faults,
)
