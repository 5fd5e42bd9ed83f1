"""Faults of a run, drawn from its seed."""

import math
import random
from collections.abc import Callable

from standins.soak.boots import draw_boots
from standins.soak.configurations import CHANGES, INVALID
from standins.soak.endless import draw_endless, draw_endless_callers, draw_endless_store
from standins.soak.history import MAX_BUSY_PAUSE_S
from standins.soak.layout import TROUBLES, Layout, Trouble
from standins.soak.odd_stops import draw_odd_stops
from standins.soak.records import Fault

_ALL = (
    "stops", "kills", "signals", "starts", "freezes", "configs", "leaves", "evacuations", "store",
    "herd", "busy_hosts", "odd_configs", "settings", "give_up", "retry_abuse", "burst", "shift",
    "garble", "crashes", "slow_targets", "release", "slow_store", "lost_answers", "links",
    "endless", "endless_callers", "endless_store",
)  # fmt: skip
#: Other ways to stop VMs, which take the place of "stops" and do not belong to "all".
_OTHER_STOPS = ("starved", "late_stops", "stop_pairs", "odd_stops")
#: Starts of many VMs at once, which do not belong to "all" either.
_OTHER_STARTS = ("boot",)
#: Names that a mix may contain.
MIXES = ("none", "all", *_OTHER_STOPS, *_OTHER_STARTS, *_ALL)
_FIRST_S = 4.0
_STOP_GAP_S = 1.3
#: Seconds at the end of a run without new faults, in which disturbed processes come back.
_LAST_S = 4.0
#: Ranges of a pause beside a stop: one that excuses nothing, and one that is a disturbance. The
#: runner may resume a process late, so that the first ends below the limit.
_BUSY_PAUSES_S = (0.3, MAX_BUSY_PAUSE_S - 0.05)
_LONG_PAUSES_S = (MAX_BUSY_PAUSE_S + 0.05, 3.0)
_HOST_PAUSES = 8
#: Factors of all time-outs, below the age of many requests in progress.
_SHORT_TIMEOUTS = (0.08, 0.25)
_IDLE_LIMITS_MS = (5000.0, 12_000.0)
_HEAD_LIMITS_MS = (2000.0, 5000.0)
#: Factors of the limits of a settings file; callers bear less, never more.
_TIGHTENED = (0.7, 0.99)
_MAX_HOST_PAUSE_S = 0.4
#: Seconds for which the store is slow or loses answers, and the share of them that it loses.
_STORE_FAULT_S = 4.5
_LOST_ANSWERS_SHARE = 0.35
_LINK_CUT_S = (1.0, 5.5)
#: Share of the VMs whose connections are reset, and share of these connections.
_RESET_VMS_SHARE = 0.35
_RESET_SHARE = 0.55


def draw_faults(mix: str, *, layout: Layout, seed: int, seconds: float) -> list[Fault]:
    """Returns the planned faults of a run in the order of their times.

    Args:
        mix: One of ``MIXES``, or several separated by commas.
        layout: The deployment.
        seed: Seed of the run.
        seconds: Duration of the load in seconds.

    Raises:
        ValueError: If a mix is unknown.
    """
    names = mix.split(",")
    if unknown := set(names) - set(MIXES):
        raise ValueError(f"unknown faults: {', '.join(sorted(unknown))}")
    if "all" in names:
        names = [*_ALL]
    draw = _Draw(layout=layout, rng=random.Random(f"{seed}-faults"), seconds=seconds)
    faults = [fault for name in names for fault in draw.draw(name)]
    return sorted(faults, key=lambda fault: fault["at"])


class _Draw:
    """Draws the faults of each mix."""

    def __init__(self, *, layout: Layout, rng: random.Random, seconds: float) -> None:
        self._layout, self._rng, self._seconds = layout, rng, seconds
        self._vms = [vm.name for vm in layout.vms]

    def draw(self, name: str) -> list[Fault]:
        places = [place["name"] for place in self._layout.deployment["places"]]
        draws: dict[str, Callable[[], list[Fault]]] = {
            "none": list[Fault],
            "stops": lambda: self._stops("stop"),
            "starved": lambda: self._stops("starved_stop"),
            "late_stops": self._late_stops,
            "stop_pairs": self._stop_pairs,
            "odd_stops": lambda: draw_odd_stops(self._stops("odd_stop"), rng=self._rng),
            "boot": lambda: draw_boots(
                self._layout, rng=self._rng, until_s=self._seconds - _LAST_S
            ),
            "kills": lambda: self._series("kill", self._vms, 3, 1.0),
            "freezes": lambda: self._series("freeze", self._vms, 2, self._rng.uniform(1.0, 6.0)),
            "starts": self._starts,
            "signals": lambda: self._series("hup", self._vms, 8, 0.0),
            "configs": lambda: self._series("config", [""], 4, 0.0),
            "leaves": self._leaves,
            "evacuations": lambda: self._series("evacuate", places, 1, 9.0),
            "store": lambda: self._series("store_away", [""], 2, 3.0),
            "herd": self._herd,
            "busy_hosts": self._busy_hosts,
            "odd_configs": self._odd_configs,
            "settings": self._settings,
            "give_up": lambda: self._of_callers("give_up", 2),
            "retry_abuse": lambda: self._of_callers("retry_abuse", 1),
            "burst": lambda: self._of_callers("burst", 1),
            "shift": self._shift,
            "garble": self._garble,
            "crashes": lambda: self._of_targets("srv_crash", "srv_crash"),
            "slow_targets": lambda: self._of_targets("srv_slow", "srv_slow"),
            "release": self._release,
            "slow_store": lambda: self._series("store_slow", [""], 1, _STORE_FAULT_S),
            "lost_answers": self._lost_answers,
            "links": self._links,
            "endless": lambda: self._endless(draw_endless, 2),
            "endless_callers": lambda: self._endless(draw_endless_callers, 2),
            "endless_store": lambda: self._endless(draw_endless_store, 1),
        }
        return draws[name]()

    def _time(self) -> float:
        return self._rng.uniform(_FIRST_S, max(_FIRST_S + 1.0, self._seconds - _LAST_S))

    def _endless(self, draw: Callable[..., list[Fault]], count: int) -> list[Fault]:
        return draw(self._layout, rng=self._rng, times=[self._time() for _ in range(count)])

    def _stops(self, kind: str) -> list[Fault]:
        count = min(self._layout.deployment["stops"], len(self._vms))
        chosen = self._rng.sample(self._vms, count)
        return [
            Fault(at=_FIRST_S + number * _STOP_GAP_S, kind=kind, subject=vm, for_s=0.5)
            for number, vm in enumerate(chosen)
        ]

    def _late_stops(self) -> list[Fault]:
        """Draws stops with a pause each, half of them short, from before SIGTERM to the grace."""
        grace_s = self._layout.deployment["bounds"]["graceS"]
        faults = []
        for fault in self._stops("late_stop"):
            pause_s = self._rng.uniform(*self._rng.choice((_BUSY_PAUSES_S, _LONG_PAUSES_S)))
            after_s = self._rng.uniform(-pause_s, grace_s)
            faults.append(Fault(**fault, pause_s=pause_s, pause_after_s=after_s))
        return faults

    def _stop_pairs(self) -> list[Fault]:
        """Draws stops of which each second one begins at the same time as the one before."""
        faults = self._stops("stop")
        for first, second in zip(faults[::2], faults[1::2], strict=False):
            second["at"] = first["at"]
        return faults

    def _busy_hosts(self) -> list[Fault]:
        """Draws pauses of the processes that host targets; none begins during another."""
        names = [target.name for target in self._layout.targets]
        step_s = max(1.0, self._seconds - _LAST_S - _FIRST_S) / _HOST_PAUSES
        longest_s = min(_MAX_HOST_PAUSE_S, step_s / 2)
        return [
            Fault(
                at=_FIRST_S + (number + self._rng.uniform(0.0, 0.5)) * step_s,
                kind="host_pause",
                subject=self._rng.choice(names),
                for_s=self._rng.uniform(longest_s / 4, longest_s),
            )
            for number in range(_HOST_PAUSES)
        ]

    def _odd_configs(self) -> list[Fault]:
        """Draws a change of each kind and, in between, each invalid configuration."""
        amounts = {
            "split": self._rng.uniform(0.3, 0.7),
            "weights": self._rng.uniform(0.05, 0.3),
            "timeouts": self._rng.uniform(*_SHORT_TIMEOUTS),
            "idle_limit": self._rng.uniform(*_IDLE_LIMITS_MS),
            "head_limit": self._rng.uniform(*_HEAD_LIMITS_MS),
        }
        changes = [("config", how, amounts.get(how, 0.0)) for how in CHANGES]
        changes += [("config", "timeouts", 1.0), ("config", "route", 0.0)]
        changes += [("invalid_config", how, 0.0) for how in INVALID]
        self._rng.shuffle(changes)
        # The time-outs become short first, and as before later.
        first, second = (n for n, (_, how, _) in enumerate(changes) if how == "timeouts")
        changes[first], changes[second] = sorted((changes[first], changes[second]))
        step_s = max(1.0, self._seconds - _LAST_S - _FIRST_S) / len(changes)
        return [
            Fault(
                at=_FIRST_S + (number + self._rng.uniform(0.0, 0.9)) * step_s,
                kind=kind, subject="", for_s=self._rng.uniform(0.2, 0.8), how=how, x=amount,
            )
            for number, (kind, how, amount) in enumerate(changes)
        ]  # fmt: skip

    def _settings(self) -> list[Fault]:
        """Draws changes of settings files, each with SIGHUP."""
        faults = self._series("settings", self._vms, 8, 0.0)
        return [Fault(**fault, x=self._rng.uniform(*_TIGHTENED)) for fault in faults]

    def _figures(self, name: str) -> Trouble:
        found = self._layout.deployment.get("troubles", {}).get(name, {})
        return {**TROUBLES[name], **found}

    def _of_callers(self, kind: str, count: int) -> list[Fault]:
        """Draws faults that concern a share of all callers."""
        figures = self._figures(kind)
        return [
            Fault(
                at=self._time(), kind=kind, subject="", for_s=figures["for_s"],
                share=figures.get("share", 1.0), x=figures.get("x", 0.0),
            )
            for _ in range(count)
        ]  # fmt: skip

    def _shift(self) -> list[Fault]:
        names = [place["name"] for place in self._layout.deployment["places"]]
        subject, place = self._rng.sample(names, 2)
        figures = self._figures("shift")
        return [
            Fault(
                at=self._time(), kind="shift", subject=subject, for_s=figures["for_s"],
                share=figures["share"], place=place,
            )
        ]  # fmt: skip

    def _of_targets(self, kind: str, name: str, how: str = "") -> list[Fault]:
        """Draws a fault that begins at once at a share of all targets."""
        figures, at = self._figures(name), self._time()
        targets = [target.name for target in self._layout.targets]
        chosen = self._rng.sample(targets, max(1, round(len(targets) * figures["share"])))
        return [
            Fault(
                at=at, kind=kind, subject=target, for_s=figures["for_s"],
                x=figures.get("x", 0.0), how=how,
            )
            for target in chosen
        ]  # fmt: skip

    def _garble(self) -> list[Fault]:
        figures = {"early": "garble", "truncated": "garble", "extra": "extra_late"}
        return [
            fault
            for how, name in figures.items()
            for fault in self._of_targets("garble", name, how)
        ]

    def _release(self) -> list[Fault]:
        """Draws the replacement of a share of a service's targets, one after the other."""
        figures, at = self._figures("release"), self._time()
        service = self._rng.choice(self._layout.deployment["services"])["name"]
        targets = [each.name for each in self._layout.targets if each.service == service]
        chosen = self._rng.sample(targets, max(1, round(len(targets) * figures["share"])))
        return [
            Fault(
                at=min(at + number * figures["gap_s"], self._seconds - 1.0),
                kind="replace", subject=target, for_s=1.0,
            )
            for number, target in enumerate(chosen)
        ]  # fmt: skip

    def _lost_answers(self) -> list[Fault]:
        (fault,) = self._series("store_lost", [""], 1, _STORE_FAULT_S)
        return [Fault(**fault, share=_LOST_ANSWERS_SHARE)]

    def _links(self) -> list[Fault]:
        """Draws a cut in each direction, a silence, and resets at several VMs at a time."""
        kinds = ("cut_to_vm", "cut_to_callers", "silence")
        faults = [
            fault
            for kind in kinds
            for fault in self._series(kind, self._vms, 1, self._rng.uniform(*_LINK_CUT_S))
        ]
        at, count = self._time(), math.ceil(_RESET_VMS_SHARE * len(self._vms))
        chosen = self._rng.sample(self._vms, count)
        resets = [
            Fault(at=at, kind="reset", subject=vm, for_s=0.0, share=_RESET_SHARE) for vm in chosen
        ]
        return [*faults, *resets]

    def _series(self, kind: str, subjects: list[str], count: int, for_s: float) -> list[Fault]:
        return [
            Fault(at=self._time(), kind=kind, subject=self._rng.choice(subjects), for_s=for_s)
            for _ in range(count)
        ]

    def _starts(self) -> list[Fault]:
        faults = self._series("stop_and_hup", self._vms, 3, 0.5)
        return [Fault(**fault, after_start_s=self._rng.uniform(0.0, 0.6)) for fault in faults]

    def _leaves(self) -> list[Fault]:
        targets = [target.name for target in self._layout.targets]
        chosen = self._rng.sample(targets, max(1, len(targets) // 10))
        return [Fault(at=self._time(), kind="leave", subject=name, for_s=1.0) for name in chosen]

    def _herd(self) -> list[Fault]:
        at = self._time()
        half = self._rng.sample(self._vms, len(self._vms) // 2)
        stops = [Fault(at=at, kind="stop", subject=vm, for_s=0.5) for vm in half]
        return [*stops, Fault(at=self._seconds - _LAST_S, kind="kill_all", subject="", for_s=1.0)]
