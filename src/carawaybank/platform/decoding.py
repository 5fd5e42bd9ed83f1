"""Rows of the platform's store as the project's types."""

from collections.abc import Mapping
from typing import Any, TypedDict

import msgspec

from carawaybank.exceptions import DocumentError
from carawaybank.routing.catalogue import (
    Configuration,
    Evacuation,
    Limits,
    Route,
    RoutePart,
    Service,
)
from carawaybank.routing.fleet import TargetEntry
from carawaybank.rows import Row

_CONFIGURATION_KEY = "config"
_EVACUATION_PREFIX = "evacuate/"


class _Part(TypedDict):
    service: str
    weight: float


class _RouteSpec(TypedDict, total=False):
    host: str
    prefix: str
    kind: str
    timeoutMs: float
    #: The time within which an answer is of full use.
    sloMs: float
    #: 0 is the most urgent.
    priority: int
    service: str
    split: list[_Part]
    attempts: int
    sticky: bool
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


class _Beat(TypedDict, total=False):
    service: str
    addr: str
    zone: str
    slots: int
    state: str
    #: How much longer the target stays slow after its start.
    coldLeftMs: float
    seq: int
    #: Unix millisecond of the target's start.
    born: int


def read_order(row: Row) -> Configuration | Evacuation | None:
    """Returns what a row of the operators orders, or None if it orders nothing.

    Raises:
        DocumentError: If it cannot be read.
    """
    if row.key.startswith(_EVACUATION_PREFIX):
        return Evacuation(row.key.removeprefix(_EVACUATION_PREFIX))
    if row.key == _CONFIGURATION_KEY and not row.removed:
        return read_configuration(row.value)
    return None


def read_configuration(value: bytes) -> Configuration:
    """Returns the configuration in a row.

    Raises:
        DocumentError: If it cannot be read.
    """
    try:
        document = msgspec.json.decode(value, type=_Document)
        return _configuration(document)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError, KeyError) as error:
        raise DocumentError(source="configuration", faults=(str(error),)) from None


def read_target(row: Row, *, regions: Mapping[str, str]) -> TargetEntry:
    """Returns the target that a row announces.

    Raises:
        DocumentError: If it announces no target that can be used.
    """
    source = f"entry {row.key}"
    try:
        beat = msgspec.json.decode(row.value, type=_Beat)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise DocumentError(source=source, faults=(str(error),)) from None
    faults = _beat_faults(beat, regions)
    if faults:
        raise DocumentError(source=source, faults=tuple(faults))
    return TargetEntry(
        target_id=row.key,
        service=beat["service"],
        address=beat["addr"],
        failure_domain=beat["zone"],
        region=regions[beat["zone"]],
        slots=beat["slots"],
        draining=beat["state"] == "draining",
        cold_left_s=max(0.0, beat.get("coldLeftMs", 0.0)) / 1000,
        incarnation=beat.get("born", 0),
        sequence=beat.get("seq", 0),
    )


def _configuration(document: _Document) -> Configuration:
    routes: list[Route] = []
    services: dict[str, Service] = {}
    limits = Limits()
    for resource in document["resources"]:
        name = str(resource["metadata"].get("name", ""))
        kind, spec = resource["resKind"], resource["spec"]
        if kind == "routes":
            routes.append(_route(name, msgspec.convert(spec, _RouteSpec)))
        elif kind == "services":
            services[name] = _service(name, msgspec.convert(spec, _ServiceSpec))
        elif kind == "limits":
            limits = _limits(msgspec.convert(spec, _LimitsSpec))
    return Configuration(int(document["version"], 16), tuple(routes), services, limits)


def _route(name: str, spec: _RouteSpec) -> Route:
    split = spec.get("split") or []
    parts = [RoutePart(part["service"], part["weight"]) for part in split]
    timeout_s = spec["timeoutMs"] / 1000
    return Route(
        name=name,
        host=spec["host"],
        prefix=spec["prefix"],
        idempotent=spec["kind"] == "idempotent",
        timeout_s=timeout_s,
        objective_s=spec.get("sloMs", spec["timeoutMs"]) / 1000,
        rank=spec.get("priority", 0),
        parts=tuple(parts) or (RoutePart(spec["service"], 1.0),),
        attempts=max(1, spec.get("attempts", 1)),
        sticky=spec.get("sticky", False),
        home_regions=frozenset(spec.get("homeRegions") or ()),
        is_bulky=spec["kind"] == "upload",
    )


def _service(name: str, spec: _ServiceSpec) -> Service:
    return Service(name, spec.get("healthPath", "/"), spec.get("coldPerS", 0.0))


def _limits(spec: _LimitsSpec) -> Limits:
    defaults = Limits()
    return Limits(
        spec.get("maxHeaderBytes", defaults.header_bytes),
        spec.get("maxBodyBytes", defaults.body_bytes),
        spec.get("headerTimeoutMs", defaults.header_timeout_s * 1000) / 1000,
        spec.get("idleTimeoutMs", defaults.idle_timeout_s * 1000) / 1000,
    )


def _beat_faults(beat: _Beat, regions: Mapping[str, str]) -> list[str]:
    missing = [name for name in ("service", "addr", "zone", "slots", "state") if name not in beat]
    if missing:
        return [f"without {', '.join(missing)}"]
    faults = []
    if beat["state"] not in {"ready", "draining"}:
        faults.append(f"unknown state {beat['state']!r}")
    if beat["zone"] not in regions:
        faults.append(f"unknown failure domain {beat['zone']!r}")
    host, _, port = beat["addr"].rpartition(":")
    if not host or not port.isdigit() or beat["slots"] < 1:
        faults.append("no usable address or slots")
    return faults
