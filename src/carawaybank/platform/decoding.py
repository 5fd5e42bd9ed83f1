"""Decodes rows of the platform's store into the project's types."""

import re
from collections.abc import Mapping
from typing import Any, TypedDict

import msgspec

from carawaybank.addresses import is_ip_endpoint
from carawaybank.documents import decode_message
from carawaybank.exceptions import DocumentError
from carawaybank.routing.configuration import (
    Configuration,
    Evacuation,
    Limits,
    Route,
    Service,
    Tenant,
    WeightedService,
)
from carawaybank.routing.target import TargetEntry
from carawaybank.routing.tenants import digest_key
from carawaybank.rows import Row

_CONFIGURATION_KEY = "config"
_EVACUATION_PREFIX = "evacuate/"
#: Kinds of routes whose requests may run more than once. Unknown kinds are not among them.
_IDEMPOTENT_KINDS = frozenset({"idempotent", "download"})
#: A target runs no more requests at a time than one caller has ports for connections to it.
_MAX_SLOTS = 65_535
#: A longer cold time in milliseconds is a fault; targets are cold for seconds.
_MAX_COLD_MS = 86_400_000.0

#: Version of a configuration: eight hexadecimal digits.
_VERSION = re.compile(r"[0-9A-Fa-f]{1,8}")


class _SplitService(TypedDict):
    service: str
    weight: float


class _RouteSpec(TypedDict, total=False):
    host: str
    prefix: str
    kind: str
    timeoutMs: float
    #: Latency objective of the route; a later response is of less use to the caller.
    sloMs: float
    #: 0 is the most urgent.
    priority: int
    service: str
    split: list[_SplitService]
    attempts: int
    sticky: bool
    homeRegions: list[str] | None
    public: bool | None


class _TenantSpec(TypedDict, total=False):
    apiKeys: list[str] | None
    #: 0 is the most urgent.
    priority: int | None
    ratePerS: float | None
    burst: float | None
    homeRegions: list[str] | None


class _ServiceSpec(TypedDict, total=False):
    healthPath: str
    coldPerS: float


class _LimitsSpec(TypedDict, total=False):
    maxHeaderBytes: int
    maxBodyBytes: int
    headerTimeoutMs: float
    idleTimeoutMs: float


class _Resource(TypedDict):
    resKind: str
    metadata: dict[str, Any]
    spec: dict[str, Any]


class _Document(TypedDict):
    #: Eight hexadecimal digits.
    version: str
    resources: list[_Resource]


class _Heartbeat(TypedDict, total=False):
    service: str
    addr: str
    zone: str
    slots: int
    state: str
    #: Milliseconds for which the target is still slow after its start.
    coldLeftMs: float
    seq: int
    #: Time of the target's start in Unix milliseconds.
    born: int


def read_operator_row(row: Row) -> Configuration | Evacuation | None:
    """Returns the configuration or evacuation in an operator row, or None for other rows.

    Raises:
        DocumentError: If the row cannot be decoded.
    """
    if row.key.startswith(_EVACUATION_PREFIX):
        return Evacuation(row.key.removeprefix(_EVACUATION_PREFIX))
    if row.key == _CONFIGURATION_KEY and not row.removed:
        return read_configuration(row.value)
    return None


def read_configuration(value: bytes) -> Configuration:
    """Returns the configuration in the value of a row.

    Args:
        value: The JSON document.

    Raises:
        DocumentError: If the value cannot be decoded.
    """
    document = decode_message(value, _Document, source="configuration")
    try:
        return _make_configuration(document)
    except (msgspec.MsgspecError, ValueError, KeyError) as error:
        raise DocumentError(source="configuration", faults=(str(error),)) from None


def read_target(row: Row, *, regions: Mapping[str, str]) -> TargetEntry:
    """Returns the target that a row of the targets' table describes.

    Args:
        row: The row, whose key is the target's id.
        regions: Names of regions by failure domain.

    Raises:
        DocumentError: If the row cannot be decoded, a field is missing, its state or failure domain
            is unknown, or its key, address or numbers are unusable.
    """
    source = f"entry {row.key[:80]!r}"
    heartbeat = decode_message(row.value, _Heartbeat, source=source)
    faults = _find_faults(heartbeat, regions)
    if not (row.key.isascii() and row.key.isprintable() and row.key == row.key.strip()):
        faults.append("the key cannot be sent in a header")
    if faults:
        raise DocumentError(source=source, faults=tuple(faults))
    return TargetEntry(
        target_id=row.key,
        service=heartbeat["service"],
        address=heartbeat["addr"],
        failure_domain=heartbeat["zone"],
        region=regions[heartbeat["zone"]],
        slots=heartbeat["slots"],
        draining=heartbeat["state"] == "draining",
        cold_left_s=max(0.0, heartbeat.get("coldLeftMs", 0.0)) / 1000,
        incarnation=heartbeat.get("born", 0),
        sequence=heartbeat.get("seq", 0),
    )


def _make_configuration(document: _Document) -> Configuration:
    routes: list[Route] = []
    services: dict[str, Service] = {}
    tenants: list[Tenant] = []
    limits = Limits()
    for resource in document["resources"]:
        name = str(resource["metadata"].get("name", ""))
        kind, spec = resource["resKind"], resource["spec"]
        if kind == "routes":
            routes.append(_make_route(name, msgspec.convert(spec, _RouteSpec)))
        elif kind == "services":
            services[name] = _make_service(name, msgspec.convert(spec, _ServiceSpec))
        elif kind == "tenants":
            tenants.append(_make_tenant(name, msgspec.convert(spec, _TenantSpec)))
        elif kind == "limits":
            limits = _make_limits(msgspec.convert(spec, _LimitsSpec))
    if not _VERSION.fullmatch(document["version"]):
        raise ValueError(f"no version: {document['version'][:40]!r}")
    version = int(document["version"], 16)
    return Configuration(version, tuple(routes), services, limits, tuple(tenants))


def _make_route(name: str, spec: _RouteSpec) -> Route:
    split = spec.get("split") or []
    services = [WeightedService(weighted["service"], weighted["weight"]) for weighted in split]
    timeout_s = spec["timeoutMs"] / 1000
    return Route(
        name=name,
        host=spec["host"],
        prefix=spec["prefix"],
        idempotent=spec["kind"] in _IDEMPOTENT_KINDS,
        timeout_s=timeout_s,
        objective_s=spec.get("sloMs", spec["timeoutMs"]) / 1000,
        priority_rank=spec.get("priority", 0),
        services=tuple(services) or (WeightedService(spec["service"], 1.0),),
        max_attempts=max(1, spec.get("attempts", 1)),
        sticky=spec.get("sticky", False),
        allowed_regions=frozenset(spec.get("homeRegions") or ()),
        is_bulky=spec["kind"] == "upload",
        is_download=spec["kind"] == "download",
        is_public=bool(spec.get("public")),
    )


def _make_tenant(name: str, spec: _TenantSpec) -> Tenant:
    """Returns a tenant.

    Raises:
        ValueError: If its name cannot be sent in a header, or its allotment is negative.
    """
    if not name or not name.isprintable() or name != name.strip():
        raise ValueError(f"tenant {name!r}: the name is empty or cannot be sent in a header")
    rate, burst = spec.get("ratePerS") or 0.0, spec.get("burst") or 0.0
    if min(rate, burst) < 0:
        raise ValueError(f"tenant {name!r}: the allotment is negative")
    return Tenant(
        name=name,
        key_digests=frozenset(digest_key(key) for key in spec.get("apiKeys") or ()),
        priority_rank=spec.get("priority"),
        rate=rate,
        burst=burst,
        allowed_regions=frozenset(spec.get("homeRegions") or ()),
    )


def _make_service(name: str, spec: _ServiceSpec) -> Service:
    return Service(name, spec.get("healthPath", "/"), spec.get("coldPerS", 0.0))


def _make_limits(spec: _LimitsSpec) -> Limits:
    defaults = Limits()
    return Limits(
        spec.get("maxHeaderBytes", defaults.header_bytes),
        spec.get("maxBodyBytes", defaults.body_bytes),
        spec.get("headerTimeoutMs", defaults.header_timeout_s * 1000) / 1000,
        spec.get("idleTimeoutMs", defaults.idle_timeout_s * 1000) / 1000,
    )


def _find_faults(heartbeat: _Heartbeat, regions: Mapping[str, str]) -> list[str]:
    missing = [
        name for name in ("service", "addr", "zone", "slots", "state") if name not in heartbeat
    ]
    if missing:
        return [f"missing {', '.join(missing)}"]
    faults = []
    if heartbeat["state"] not in {"ready", "draining"}:
        faults.append(f"unknown state {heartbeat['state']!r}")
    if heartbeat["zone"] not in regions:
        faults.append(f"unknown failure domain {heartbeat['zone']!r}")
    if not is_ip_endpoint(heartbeat["addr"]):
        faults.append(f"no usable address: {heartbeat['addr'][:40]!r}")
    if not 1 <= heartbeat["slots"] <= _MAX_SLOTS:
        faults.append("the number of slots is out of range")
    if heartbeat.get("coldLeftMs", 0.0) > _MAX_COLD_MS:
        faults.append("the cold time is out of range")
    return faults
