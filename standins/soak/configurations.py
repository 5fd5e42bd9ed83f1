"""Configurations as an operator changes them in a run, and invalid ones of another writer."""

import json
from collections.abc import Mapping
from typing import Any

from standins.soak.layout import HOST, Layout

#: Changes that leave a valid configuration.
CHANGES = ("route", "split", "weights", "timeouts", "idle_limit", "head_limit", "add", "remove")
#: Invalid configurations. The platform's store refuses ``stale_match`` as a failed condition, so
#: that no row changes and there is nothing to play.
INVALID = (
    "cut_short", "unknown_service", "same_place", "no_timeout", "bare_prefix", "old_version",
)  # fmt: skip

_IDLE_ROUTES = 8
_IDLE_MS = 15_000
_HEAD_MS = 3_000


class Operator:
    """The state of the configuration, changed step by step."""

    def __init__(self, *, layout: Layout) -> None:
        """Creates the state of the first configuration.

        Args:
            layout: The deployment.
        """
        self._layout = layout
        self._movable = [each for each in layout.deployment["classes"] if "also" in each]
        self._moved: frozenset[str] = frozenset()
        self._split_share = 0.0
        self._timeout_factor = 1.0
        self._idle_ms, self._head_ms = _IDLE_MS, _HEAD_MS
        self._idle_routes = 0

    @property
    def routes(self) -> dict[str, str | list[str]]:
        """The services of each route by its prefix."""
        routes: dict[str, str | list[str]] = {**self._layout.routes(self._moved)}
        if self._split_share:
            for each in self._movable:
                routes[f"/{each['name']}/"] = [each["service"], each["also"]]
        service = self._layout.deployment["services"][0]["name"]
        return routes | {f"/idle-{number}/": service for number in range(self._idle_routes)}

    @property
    def timeouts(self) -> dict[str, float]:
        """The time-out of each route by its prefix, in seconds."""
        return {
            f"/{each['name']}/": each["timeout_ms"] * self._timeout_factor / 1000
            for each in self._layout.deployment["classes"]
        }

    def change(self, how: str, amount: float = 0.0) -> None:
        """Changes the configuration.

        Args:
            how: One of ``CHANGES``.
            amount: Share of the other service of a split, factor of the time-outs, or limit in
                milliseconds.

        Raises:
            ValueError: If the change is unknown.
        """
        if how == "route":
            self._split_share = 0.0
            self._moved = frozenset({each["name"] for each in self._movable} - self._moved)
        elif how in {"split", "weights"}:
            self._split_share = amount
        elif how == "timeouts":
            self._timeout_factor = amount
        elif how == "idle_limit":
            self._idle_ms = int(amount)
        elif how == "head_limit":
            self._head_ms = int(amount)
        elif how in {"add", "remove"}:
            self._idle_routes = _IDLE_ROUTES if how == "add" else 0
        else:
            raise ValueError(f"unknown change of the configuration: {how}")

    def document(self, version: int) -> dict[str, Any]:
        """Returns the configuration as the operator writes it."""
        document: dict[str, Any] = self._layout.configuration(version, self._moved)
        for resource in document["resources"]:
            if resource["resKind"] == "routes":
                self._adapt_route(resource["spec"])
            elif resource["resKind"] == "limits":
                limits = {"idleTimeoutMs": self._idle_ms, "headerTimeoutMs": self._head_ms}
                resource["spec"] |= limits
        service = self._layout.deployment["services"][0]["name"]
        for number in range(self._idle_routes):
            document["resources"].append(_make_idle_route(number, service))
        return document

    def invalid_document(self, how: str, version: int) -> bytes:
        """Returns a configuration that the platform's store would refuse.

        Args:
            how: One of ``INVALID``.
            version: Version of the configuration in force.
        """
        document = self.document(version + 1)
        resources = document["resources"]
        first = resources[0]
        if how == "unknown_service":
            first["spec"].pop("split", None)
            first["spec"]["service"] = "no-such-service"
        elif how == "same_place":
            resources.append({**first, "metadata": {"name": "same-place"}})
        elif how == "no_timeout":
            del first["spec"]["timeoutMs"]
        elif how == "bare_prefix":
            first["spec"]["prefix"] = first["spec"]["prefix"].rstrip("/")
        elif how == "old_version":
            document = Operator(layout=self._layout).document(0)
        encoded = json.dumps(document).encode()
        return encoded[: len(encoded) * 2 // 3] if how == "cut_short" else encoded

    def _adapt_route(self, spec: dict[str, Any]) -> None:
        spec["timeoutMs"] = int(spec["timeoutMs"] * self._timeout_factor)
        spec["sloMs"] = min(spec["sloMs"], spec["timeoutMs"])
        split = [each for each in self._movable if spec["prefix"] == f"/{each['name']}/"]
        if self._split_share and split:
            del spec["service"]
            spec["split"] = [
                {"service": split[0]["service"], "weight": 1.0 - self._split_share},
                {"service": split[0]["also"], "weight": self._split_share},
            ]


def smallest_idle_ms(faults: list[Any]) -> float:
    """Returns the smallest limit for idle connections of a run, in milliseconds."""
    planned = [fault["x"] for fault in faults if fault.get("how") == "idle_limit"]
    return float(min([_IDLE_MS, *planned]))


def _make_idle_route(number: int, service: str) -> Mapping[str, object]:
    spec = {
        "host": HOST,
        "prefix": f"/idle-{number}/",
        "kind": "idempotent",
        "timeoutMs": 1000,
        "sloMs": 500,
        "priority": 2,
        "service": service,
        "attempts": 1,
        "sticky": False,
        "homeRegions": [],
    }
    return {"resKind": "routes", "metadata": {"name": f"idle-{number}"}, "spec": spec}
