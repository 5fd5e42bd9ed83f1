"""Entry VMs, targets and the network between them in memory, on a manual clock.

Each entry VM is a real :class:`carawaybank.host.Host`; only sockets, targets and the platform are
replaced. Messages take the delays of the two users' places, links can be cut, entry VMs killed,
paused and replaced, and what targets see is counted where it happens.
"""

import itertools
import random
from collections import Counter
from collections.abc import Callable

from carawaybank.host import Host
from carawaybank.steering.deduplication import RequestId
from carawaybank.steering.messages import (
    Action,
    AnnounceCrash,
    AttemptEnded,
    CrashAnnounced,
    Dispatch,
    Finish,
    Message,
    PassOn,
    ProbeEnded,
    Relay,
    RelayEnded,
    RequestArrived,
    RequestInfo,
)
from carawaybank.steering.standing import Health
from carawaybank.steering.tickets import AcceptedTicket, TicketDocument
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict
from standins.fleet_models import Delays, Ended, FleetTarget, FleetVm, Place, make_settings
from standins.network import Network

_TICK_S = 0.1
_PROBE_S = 0.5
_EXCHANGE_TIMEOUT_S = 0.5
_SHED_S = 0.0005


class Fleet(Network):
    """A whole system in memory."""

    def __init__(self, *, seed: int = 1, delays: Delays | None = None) -> None:
        """Starts empty at time 0.

        Args:
            seed: Seed of all draws.
            delays: Delays between places.
        """
        super().__init__(delays=delays or Delays())
        self.rng = random.Random(seed)
        self.targets: dict[str, FleetTarget] = {}
        self.tickets: list[AcceptedTicket] = []
        self.store_up = True
        self.ended: list[Ended] = []
        self.faults: list[str] = []
        self.shift_use: Counter[tuple[str, str]] = Counter()
        self.link_bytes: Counter[tuple[str, str]] = Counter()
        self.answer_bytes = 0
        self.crashing: set[str] = set()
        self.misleading = False
        self._keys = itertools.count(1)

    def add_vm(self, name: str, region: str, domain: str, *, cell: str = "") -> FleetVm:
        """Starts an entry VM; seeds are all live ones."""
        settings = make_settings(name, region, domain)._replace(cell=cell or domain)
        start = int(self.now * 1000) + 1
        host = Host(
            settings=settings,
            incarnation=start,
            seed=self.rng.getrandbits(32),
            clock=lambda: self.now,
            wall_clock=lambda: self.now,
        )
        vm = FleetVm(name=name, place=Place(region, domain), host=host)
        self.vms[name] = vm
        for other in self.vms.values():
            if other is vm or not other.alive:
                continue
            if self.store_up and other.host.membership.own.cell == settings.cell:
                host.observe_holder(other.name, other.host.membership.own.incarnation)
            if self._reaches(vm.place, other.place):
                self._exchange(vm, other, first=True)
        self.after(0.2, host.join)
        self.after(self.rng.random() * _TICK_S, lambda: self._tick(vm))
        self.after(0.3, lambda: self._probe(vm))
        return vm

    def add_target(
        self, name: str, region: str, domain: str, *, slots: int, work: Callable[[], float]
    ) -> FleetTarget:
        """Adds a target."""
        target = FleetTarget(name=name, place=Place(region, domain), slots=slots, work=work)
        self.targets[name] = target
        return target

    def submit(self, ticket: TicketDocument, *, via: str | None = None) -> None:
        """Accepts a ticket in the store and brings it to one entry VM."""
        accepted = AcceptedTicket(ticket=ticket, nonce=str(ticket["number"]), accepted_at=self.now)
        self.tickets.append(accepted)
        vm = self.vms[via] if via else next(vm for vm in self.vms.values() if vm.alive)
        vm.host.accept_tickets(self.tickets)

    def request(
        self,
        vm: str,
        service: str,
        *,
        customer: str = "prairie",
        request_id: str | None = None,
        repeatable: bool = True,
        first_send: bool = True,
        deadline_s: float = 10.0,
        fingerprint: str = "",
    ) -> None:
        """Sends a request to an entry VM, as a caller next to it would."""
        unique = f"r{next(self._keys)}"
        identity = request_id or unique
        info = RequestInfo(
            service,
            customer,
            identity,
            RequestId.parse(identity),
            repeatable,
            first_send,
            self.now + deadline_s,
            fingerprint or identity,
        )
        started = self.now

        def record(verdict: Verdict, _: tuple[str, ...]) -> None:
            latency_s = self.now - started + self.delays.to_client
            self.ended.append(Ended(info, verdict, latency_s, self.now))

        self.after(self.delays.to_client, lambda: self._arrive(vm, info, record))

    def bound_id(self, vm: str, unique: str) -> str:
        """Returns a request id bound to the present start of an entry VM."""
        own = self.vms[vm].host.membership.own
        epoch = int((self.now - own.incarnation / 1000) / 60)
        return f"{vm}.{own.incarnation}.{max(0, epoch)}.{unique}"

    def _tick(self, vm: FleetVm) -> None:
        self._when_awake(vm, lambda: self._tick_awake(vm))

    def _tick_awake(self, vm: FleetVm) -> None:
        for member in vm.host.tick():
            other = self.vms.get(member.vm)
            if other is not None:
                self._exchange(vm, other)
        if self.store_up:
            vm.host.accept_tickets(self.tickets)
        if not vm.host.is_ready and vm.host.state.number and self.now > vm.paused_until + 1:
            vm.host.stop_verifying()
        if vm.host.targets_changed.is_set():
            vm.host.targets_changed.clear()
            self._probe_owned(vm)
        self._check_ticket(vm)
        self.after(_TICK_S, lambda: self._tick(vm))

    def _check_ticket(self, vm: FleetVm) -> None:
        number = vm.host.state.number
        if number < vm.highest_ticket:
            self.faults.append(f"{vm.name} went back to ticket {number}")
        vm.highest_ticket = max(number, vm.highest_ticket)

    def _probe(self, vm: FleetVm) -> None:
        self._when_awake(vm, lambda: self._probe_awake(vm))

    def _probe_awake(self, vm: FleetVm) -> None:
        self._probe_owned(vm)
        self.after(_PROBE_S, lambda: self._probe(vm))

    def _probe_owned(self, vm: FleetVm) -> None:
        for owned in vm.host.owned_targets():
            self._probe_target(vm, self.targets[owned.name])

    def _probe_target(self, vm: FleetVm, target: FleetTarget) -> None:
        if not target.alive:
            vm.host.handle(ProbeEnded(target.name, Health.UNREACHABLE))
            return
        leaving = target.draining_since is not None
        health = Health.DRAINING if leaving else Health.SERVING
        busy = 0 if self.misleading else target.busy
        vm.host.handle(ProbeEnded(target.name, health, busy))

    def _arrive(
        self,
        name: str,
        info: RequestInfo,
        done: Callable[[Verdict, tuple[str, ...]], None],
        *,
        relayed: bool = False,
        passed_on: bool = False,
        tried: tuple[str, ...] = (),
    ) -> None:
        vm = self.vms[name]
        if not vm.alive:
            done(NotRun(Reason.CONNECTION_REFUSED), ())
            return
        key = next(self._keys)
        arrived = RequestArrived(key, info, relayed, passed_on, tried)

        def start() -> None:
            if not vm.host.is_ready:
                refusal = NotRun(Reason.NO_TICKET, 0.5)
                done(refusal if relayed else vm.host.refuse(info, refusal), ())
                return
            vm.requests[key] = done
            vm.infos[key] = info
            vm.tried[key] = []
            self._handle(vm, arrived)

        self._when_awake(vm, start)

    def _handle(self, vm: FleetVm, message: Message) -> None:
        for action in vm.host.handle(message):
            self._perform(vm, action)

    def _perform(self, vm: FleetVm, action: Action) -> None:
        match action:
            case Finish():
                done = vm.requests.pop(action.key)
                tried = tuple(vm.tried.pop(action.key))
                vm.infos.pop(action.key)
                done(action.verdict, tried)
            case Dispatch():
                vm.tried[action.key].append(action.target)
                self._dispatch(vm, action)
            case Relay():
                self._relay(vm, action)
            case PassOn():
                self._pass_on(vm, action)
            case AnnounceCrash():
                for other in self.vms.values():
                    if other is not vm and other.alive and self._vm_reaches(vm, other):
                        other.host.answer(vm.host.compose(other.name, with_crashes=True))
                self._handle(vm, CrashAnnounced(action.key))

    def _dispatch(self, vm: FleetVm, action: Dispatch) -> None:
        target = self.targets[action.target]
        info = vm.infos[action.key]
        delay = self._delay(vm.place, target.place)
        started = self.now

        def report(verdict: Verdict, *, crashed: bool = False, linger: bool = False) -> None:
            leaving = target.draining_since is not None
            ended = AttemptEnded(
                action.key, verdict, self.now - started, crashed, linger, draining=leaving
            )
            self._when_awake(vm, lambda: self._handle(vm, ended))

        def arrive() -> None:
            if not target.alive:
                self.after(delay, lambda: report(NotRun(Reason.CONNECTION_REFUSED)))
            elif target.busy >= target.slots:
                target.shed += 1
                self.after(_SHED_S + delay, lambda: report(NotRun(Reason.TARGET_SHED)))
            else:
                self._run_on(target, info, report, delay)

        self.after(delay, arrive)

    def _run_on(
        self,
        target: FleetTarget,
        info: RequestInfo,
        report: Callable[..., None],
        delay: float,
    ) -> None:
        target.busy += 1
        target.peak = max(target.peak, target.busy)
        target.runs[info.request_id] += 1
        target.begun_at.append(self.now)
        if not info.repeatable and self.total_runs(info.request_id) > 1:
            self.faults.append(f"{info.request_id} ran more than once")
        if info.fingerprint in self.crashing:
            target.alive = False
            self.after(delay, lambda: report(MayHaveRun(Reason.TARGET_CRASHED), crashed=True))
            return

        def finish() -> None:
            target.busy -= 1
            if target.alive:
                self.after(delay, lambda: report(Answered(200, target=target.name)))
            else:
                self.after(delay, lambda: report(MayHaveRun(Reason.CONNECTION_LOST), crashed=True))

        self.after(target.work(), finish)

    def _relay(self, vm: FleetVm, action: Relay) -> None:
        info = vm.infos[action.key]
        other = self.vms[action.vm]
        shift = (vm.place.region, other.place.region)
        crosses = shift[0] != shift[1]
        self.shift_use[shift] += crosses

        def done(verdict: Verdict, tried: tuple[str, ...]) -> None:
            free = other.host.free(info.service) if other.alive else None
            size = self.answer_bytes if isinstance(verdict, Answered) else 0
            if crosses:
                self.link_bytes[shift] += size
            relayed = RelayEnded(action.key, other.name, verdict, tried, free, size)
            self._return(vm, other, relayed, shift)

        self._send(vm, other, info, action.deadline, done, relayed=True, tried=action.tried)

    def _pass_on(self, vm: FleetVm, action: PassOn) -> None:
        info = vm.infos[action.key]
        other = self.vms[action.vm]

        def done(verdict: Verdict, tried: tuple[str, ...]) -> None:
            self._return(vm, other, RelayEnded(action.key, other.name, verdict, tried), None)

        self._send(vm, other, info, action.deadline, done, passed_on=True)

    def _send(
        self,
        vm: FleetVm,
        other: FleetVm,
        info: RequestInfo,
        deadline: float,
        done: Callable[[Verdict, tuple[str, ...]], None],
        *,
        relayed: bool = False,
        passed_on: bool = False,
        tried: tuple[str, ...] = (),
    ) -> None:
        ended = [False]

        def finish(verdict: Verdict, at: tuple[str, ...]) -> None:
            if not ended[0]:
                ended[0] = True
                done(verdict, at)

        if not self._vm_reaches(vm, other):
            self.after(0.5, lambda: finish(NotRun(Reason.CONNECT_FAILED), ()))
            return
        delay = self._delay(vm.place, other.place)
        lost = MayHaveRun(Reason.TIMEOUT)
        self.after(max(0.0, deadline - self.now) + 0.05, lambda: finish(lost, ()))
        self.after(
            delay,
            lambda: self._arrive(
                other.name, info, finish, relayed=relayed, passed_on=passed_on, tried=tried
            ),
        )

    def _return(
        self, vm: FleetVm, other: FleetVm, ended: RelayEnded, shift: tuple[str, str] | None
    ) -> None:
        def arrive() -> None:
            if shift is not None and shift[0] != shift[1]:
                self.shift_use[shift] -= 1
            self._handle(vm, ended)

        if not other.alive and not isinstance(ended.verdict, NotRun):
            ended = ended._replace(verdict=MayHaveRun(Reason.CONNECTION_LOST))
        delay = self._delay(vm.place, other.place)
        self.after(delay, lambda: self._when_awake(vm, arrive))

    def total_runs(self, request_id: str) -> int:
        """Returns how often a request ran at all targets."""
        return sum(target.runs[request_id] for target in self.targets.values())
