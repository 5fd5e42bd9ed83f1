"""Policies to compare with: round-robin, least-loaded and nearest-only, without owners or limits.

Each entry VM decides alone. Least-loaded sees reports that are half a second old.
"""

import itertools
from collections.abc import Callable

from carawaybank.verdicts import Answered, NotRun, Reason
from standins.fleet import Fleet
from standins.fleet_models import FleetTarget
from standins.places import Service, User

_REPORT_S = 0.5


class Baseline:
    """Sends each request to one target; a target that is full sheds it."""

    def __init__(self, *, fleet: Fleet, user: User, service: Service) -> None:
        """Takes the fleet whose requests it handles."""
        self.fleet = fleet
        self.user = user
        self.targets = [t for t in fleet.targets.values() if t.name.startswith(service.name)]

    def choose(self, vm: str) -> FleetTarget:
        """Returns the target for a request at an entry VM."""
        raise NotImplementedError

    def install(self) -> None:
        """Takes the place of the decision core."""
        self.fleet._arrive = self._arrive  # type: ignore[method-assign, assignment]

    def _arrive(self, name: str, info: object, done: Callable[..., None]) -> None:
        target = self.choose(name)
        delay = self.fleet._delay(self.fleet.vms[name].place, target.place)

        def arrive() -> None:
            if target.busy >= target.slots:
                self.fleet.after(delay, lambda: done(NotRun(Reason.TARGET_SHED), ()))
                return
            target.busy += 1
            self.fleet.after(target.work(), finish)

        def finish() -> None:
            target.busy -= 1
            self.fleet.after(delay, lambda: done(Answered(200), ()))

        self.fleet.after(delay, arrive)


class RoundRobin(Baseline):
    """All targets in turn."""

    def __init__(self, *, fleet: Fleet, user: User, service: Service) -> None:
        """Begins with the first target."""
        super().__init__(fleet=fleet, user=user, service=service)
        self._turn = itertools.cycle(self.targets)

    def choose(self, vm: str) -> FleetTarget:
        """Returns the next target."""
        return next(self._turn)


class LeastLoaded(Baseline):
    """The target with the lowest reported load; reports lag."""

    def __init__(self, *, fleet: Fleet, user: User, service: Service) -> None:
        """Begins with reports of no load."""
        super().__init__(fleet=fleet, user=user, service=service)
        self._reports = {t.name: 0.0 for t in self.targets}
        self._refresh()

    def choose(self, vm: str) -> FleetTarget:
        """Returns the target reported least loaded, at random among equals."""
        lowest = min(self._reports.values())
        return self.fleet.rng.choice([t for t in self.targets if self._reports[t.name] == lowest])

    def _refresh(self) -> None:
        self._reports = {t.name: t.busy / t.slots for t in self.targets}
        self.fleet.after(_REPORT_S, self._refresh)


class NearestOnly(Baseline):
    """A random target of the own failure domain."""

    def choose(self, vm: str) -> FleetTarget:
        """Returns a target of the entry VM's failure domain."""
        place = self.fleet.vms[vm].place
        return self.fleet.rng.choice([t for t in self.targets if t.place == place])


BASELINES: dict[str, type[Baseline]] = {
    "round-robin": RoundRobin,
    "least-loaded": LeastLoaded,
    "nearest-only": NearestOnly,
}
