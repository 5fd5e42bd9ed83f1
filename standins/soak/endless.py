"""Peers of a VM whose bytes never end: the forms and speeds that a run draws, and how they send."""

import asyncio
import random
from typing import NamedTuple

from standins.floods import RESPONSES, Form, requests
from standins.soak.layout import Layout
from standins.soak.records import Fault

#: Kinds of these faults.
TARGETS, CALLERS, STORE = "endless", "endless_callers", "endless_store"
#: Last part of the paths of requests without end.
ENDLESS_NAME = "endless"
_FOR_S = (2.5, 6.0)
#: Bytes a second of each connection; infinity is as fast as the VM reads. Half of them are, since
#: the memory of a VM that keeps all is used up before a route's timeout only then.
_SPEEDS = (60_000.0, 1_000_000.0, float("inf"), float("inf"))
_SHARES = (0.3, 1.0)
_MANY_TARGETS_SHARE = 1 / 3
#: Forms that many targets share, so that several of them send the same one at once.
_MAX_FORMS_OF_MANY = 3
_CONNECTIONS = (3, 12)
_TICK_S = 0.005
#: Unsent bytes of a connection above which nothing is added.
_MAX_UNSENT_BYTES = 65_536


class Flood(NamedTuple):
    """How a target answers without end.

    Attributes:
        form: The response.
        bytes_per_s: Speed of each response.
        share: Share of the answers, those to health checks too, that have no end.
    """

    form: Form
    bytes_per_s: float
    share: float


def draw_endless(layout: Layout, *, rng: random.Random, times: list[float]) -> list[Fault]:
    """Draws targets that answer without end: one at a time, and once a third of all.

    Args:
        layout: The deployment.
        rng: Random numbers of the run.
        times: Beginnings.
    """
    names = [target.name for target in layout.targets]
    many = rng.sample(names, max(1, round(len(names) * _MANY_TARGETS_SHARE)))
    groups = [*([rng.choice(names)] for _ in times[1:]), many]
    faults = []
    for at, chosen in zip(times, groups, strict=True):
        forms = rng.sample(sorted(RESPONSES), rng.randint(1, _MAX_FORMS_OF_MANY))
        for_s, share = rng.uniform(*_FOR_S), rng.choice(_SHARES)
        faults += [
            Fault(
                at=at, kind=TARGETS, subject=name, for_s=for_s, share=share,
                how=rng.choice(forms), x=rng.choice(_SPEEDS),
            )
            for name in chosen
        ]  # fmt: skip
    return faults


def draw_endless_callers(layout: Layout, *, rng: random.Random, times: list[float]) -> list[Fault]:
    """Draws a few connections each to a VM, on which a caller sends without end."""
    forms = sorted(requests("/"))
    return [
        Fault(
            at=at, kind=CALLERS, subject=rng.choice(layout.vms).name, for_s=rng.uniform(*_FOR_S),
            how=rng.choice(forms), x=rng.choice(_SPEEDS), count=rng.randint(*_CONNECTIONS),
            place=rng.choice(layout.deployment["classes"])["name"],
        )
        for at in times
    ]  # fmt: skip


def draw_endless_store(_: Layout, *, rng: random.Random, times: list[float]) -> list[Fault]:
    """Draws times in which the store answers without end."""
    return [
        Fault(
            at=at, kind=STORE, subject="", for_s=rng.uniform(*_FOR_S),
            how=rng.choice(sorted(RESPONSES)), x=rng.choice(_SPEEDS),
        )
        for at in times
    ]  # fmt: skip


def make_flood(fault: Fault) -> Flood:
    """Returns how the target of a fault answers."""
    return Flood(RESPONSES[fault["how"]], fault["x"], fault["share"])


def is_endless(path: str) -> bool:
    """Returns whether a request is of a caller that sends without end, which records none."""
    return path.rpartition("/")[2] == ENDLESS_NAME


async def send_response(transport: asyncio.Transport, flood: Flood) -> None:
    """Sends a response until the VM or this end closes the connection."""
    transport.write(flood.form.first)
    piece, is_fast = flood.form.piece, flood.bytes_per_s == float("inf")
    if not is_fast:
        piece = piece[: max(1, int(flood.bytes_per_s * _TICK_S))]
    while not transport.is_closing():
        has_room = transport.get_write_buffer_size() < _MAX_UNSENT_BYTES
        if has_room:
            transport.write(piece)
        await asyncio.sleep(0 if is_fast and has_room else _TICK_S)
