"""The record of a run: JSON lines of one process, and the plan that all processes share."""

import json
import random
import time
from pathlib import Path
from typing import Any, NamedTuple, NotRequired, TextIO, TypedDict

from standins.rowstore import StoreLimits
from standins.soak.layout import Deployment, Layout
from standins.soak.links import Links

#: Kinds of faults of the links between callers and a VM.
LINK_FAULTS = frozenset({"cut_to_vm", "cut_to_callers", "silence", "reset"})


class Fault(TypedDict):
    """A planned fault.

    Attributes:
        at: Seconds after the start of the load.
        kind: Kind of the fault.
        subject: VM or target concerned; empty for the store, the operator or all VMs.
        for_s: Seconds until a process is started again or a disturbance ends.
        after_start_s: Seconds from that start to a signal.
        pause_s: Seconds for which a VM that stops is paused.
        pause_after_s: Seconds from SIGTERM to that pause; negative if the pause begins before.
        how: Variety of the kind.
        share: Share of what is concerned to which the fault applies.
        x: Size of the fault: a factor, a share of responses or a limit, by its kind.
        place: Failure domain to which callers move, or class that they ask for.
        count: Number of connections.
    """

    at: float
    kind: str
    subject: str
    for_s: float
    after_start_s: NotRequired[float]
    pause_s: NotRequired[float]
    pause_after_s: NotRequired[float]
    how: NotRequired[str]
    share: NotRequired[float]
    x: NotRequired[float]
    place: NotRequired[str]
    count: NotRequired[int]


class Plan(NamedTuple):
    """What all processes of a run know.

    Attributes:
        deployment: The deployment.
        network: First three numbers of all IP addresses.
        seed: Seed of the run.
        rate: Requests per second of all load processes.
        seconds: Duration of the load in seconds.
        loaders: Number of load processes.
        hosts: Number of target processes.
        faults: Planned faults.
        has_links: Whether links have the delays of the deployment's file.
        has_store_limits: Whether the store has the limits of the deployment's file.
    """

    deployment: Deployment
    network: str
    seed: int
    rate: float
    seconds: float
    loaders: int
    hosts: int
    faults: list[Fault]
    has_links: bool = False
    has_store_limits: bool = False

    @property
    def link_faults(self) -> list[Fault]:
        """Planned faults of links."""
        return [fault for fault in self.faults if fault["kind"] in LINK_FAULTS]

    @property
    def has_store_gate(self) -> bool:
        """Whether VMs reach the store through a gate, which answers without end at times."""
        return any(fault["kind"] == "endless_store" for fault in self.faults)

    @property
    def store_limits(self) -> StoreLimits | None:
        """What calls of the store take, and how many it bears; None for no limits."""
        if not self.has_store_limits:
            return None
        return self.layout.store_limits(is_delayed=self.has_links)

    @property
    def layout(self) -> Layout:
        """Addresses of all processes."""
        return Layout(self.deployment, self.network, self.has_store_gate)

    def write(self, directory: Path) -> None:
        """Writes the plan for the other processes."""
        (directory / "plan.json").write_text(json.dumps(self._asdict(), indent=1))

    def make_links(self, rng: random.Random) -> Links | None:
        """Returns the links of a process; None if nothing delays or disturbs them."""
        if not self.has_links and not self.link_faults:
            return None
        delays = self.deployment["links"] if self.has_links else None
        return Links(delays=delays, vms=self.layout.vm_sites, rng=rng)

    @classmethod
    def read(cls, directory: Path) -> "Plan":
        """Reads the plan of a run."""
        return cls(**json.loads((directory / "plan.json").read_text()))


class Recorder:
    """Appends JSON lines to a file; closed at the end of the process."""

    def __init__(self, *, path: Path) -> None:
        """Opens the file.

        Args:
            path: Path of the file.
        """
        self._file: TextIO = path.open("a", buffering=1)

    def add(self, what: str, **values: Any) -> None:
        """Appends a line."""
        self._file.write(json.dumps({"what": what, **values}) + "\n")

    def event(self, event: str, **values: Any) -> None:
        """Appends a line about an event of this moment."""
        self.add("event", at=time.monotonic(), event=event, **values)

    def disturbance(self, event: str, *, for_s: float, **values: Any) -> None:
        """Appends a line about a disturbance that begins at this moment.

        Args:
            event: Name of the event.
            for_s: Seconds until it ends.
            values: Further fields.
        """
        at = time.monotonic()
        self.add("event", at=at, event=event, until=at + for_s, **values)
