"""Baseline policies without owners or limits: round-robin, least-loaded and nearest-only.

Each entry VM decides alone. Least-loaded uses load reports that are up to 0.5 s old.
"""

import itertools
from collections.abc import Callable

from carawaybank.verdicts import Answered, NotRun, Reason
from standins.fleet import Fleet
from standins.fleet_models import FleetTarget
from standins.sampledeployments import SampleDeployment, Service

_REPORT_INTERVAL_S = 0.5


class Baseline:
    """Sends each request to one target without retries; a target without free slots sheds it."""

    def __init__(self, *, fleet: Fleet, deployment: SampleDeployment, service: Service) -> None:
        """Creates a policy for the targets of a service.

        Args:
            fleet: Fleet whose requests are routed.
            deployment: Deployment of the fleet.
            service: Service whose targets are used.
        """
        self.fleet = fleet
        self.deployment = deployment
        self.targets = [t for t in fleet.targets.values() if t.name.startswith(service.name)]

    def choose(self, vm: str) -> FleetTarget:
        """Returns the target for a request at an entry VM.

        Raises:
            NotImplementedError: Unless a subclass overrides it.
        """
        raise NotImplementedError

    def install(self) -> None:
        """Replaces the decision cores of the fleet's entry VMs by this policy."""
        self.fleet._receive_request = self._receive_request  # type: ignore[method-assign, assignment]

    def _receive_request(self, name: str, info: object, done: Callable[..., None]) -> None:
        target = self.choose(name)
        delay_s = self.fleet._delay(self.fleet.vms[name].locality, target.locality)

        def deliver() -> None:
            if target.busy >= target.slots:
                self.fleet.call_later(delay_s, lambda: done(NotRun(Reason.TARGET_SHED), ()))
                return
            target.busy += 1
            self.fleet.call_later(target.draw_work_s(), finish)

        def finish() -> None:
            target.busy -= 1
            self.fleet.call_later(delay_s, lambda: done(Answered(200), ()))

        self.fleet.call_later(delay_s, deliver)


class RoundRobin(Baseline):
    """Uses all targets in turn."""

    def __init__(self, *, fleet: Fleet, deployment: SampleDeployment, service: Service) -> None:
        """Creates a policy that starts with the first target."""
        super().__init__(fleet=fleet, deployment=deployment, service=service)
        self._target_cycle = itertools.cycle(self.targets)

    def choose(self, vm: str) -> FleetTarget:
        """Returns the next target."""
        return next(self._target_cycle)


class LeastLoaded(Baseline):
    """Uses the target with the lowest reported load; reports are refreshed every 0.5 s."""

    def __init__(self, *, fleet: Fleet, deployment: SampleDeployment, service: Service) -> None:
        """Creates a policy with a first load report and schedules further ones."""
        super().__init__(fleet=fleet, deployment=deployment, service=service)
        self._reports = {t.name: 0.0 for t in self.targets}
        self._refresh()

    def choose(self, vm: str) -> FleetTarget:
        """Returns a random target among those with the lowest reported load."""
        min_load = min(self._reports.values())
        return self.fleet.rng.choice([t for t in self.targets if self._reports[t.name] == min_load])

    def _refresh(self) -> None:
        self._reports = {t.name: t.busy / t.slots for t in self.targets}
        self.fleet.call_later(_REPORT_INTERVAL_S, self._refresh)


class NearestOnly(Baseline):
    """Uses a random target of the entry VM's failure domain."""

    def choose(self, vm: str) -> FleetTarget:
        """Returns a random target of the entry VM's failure domain.

        Raises:
            IndexError: If the failure domain has no target.
        """
        locality = self.fleet.vms[vm].locality
        return self.fleet.rng.choice([t for t in self.targets if t.locality == locality])


BASELINES: dict[str, type[Baseline]] = {
    "round-robin": RoundRobin,
    "least-loaded": LeastLoaded,
    "nearest-only": NearestOnly,
}
