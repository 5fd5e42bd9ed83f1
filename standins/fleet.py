"""Simulated entry VMs, targets and the network between them, in memory on a simulated clock.

Each entry VM runs a real :class:`carawaybank.host.Host`; only sockets, targets and the platform are
simulated. Messages take the network delays of the simulated user's regions and failure domains.
Links can be cut, and entry VMs killed, paused and replaced. Targets count runs and shed requests.
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
    ForwardToBoundVm,
    Message,
    ProbeEnded,
    Relay,
    RelayEnded,
    RequestArrived,
    RequestInfo,
)
from carawaybank.steering.targetstate import ProbeResult
from carawaybank.steering.tickets import AcceptedTicket, TicketDocument
from carawaybank.verdicts import Answered, MayHaveRun, NotRun, Reason, Verdict
from standins.fleet_models import (
    Delays,
    FinishedRequest,
    FleetTarget,
    FleetVm,
    Locality,
    make_settings,
)
from standins.network import Network

_TICK_INTERVAL_S = 0.1
_PROBE_INTERVAL_S = 0.5
_EXCHANGE_TIMEOUT_S = 0.5
_SHED_RESPONSE_S = 0.0005


class Fleet(Network):
    """Entry VMs, targets and a store in memory, with the requests between them.

    Attributes:
        tickets: Accepted tickets in the simulated store.
        finished_requests: Finished requests in order of their end.
        violations: Repeated runs of non-repeatable requests, and reverts of VMs to older tickets.
        relays_in_progress: Relays in progress between regions by (from region, to region).
        relayed_bytes: Response bytes of relays between regions by (from region, to region).
        response_bytes: Size of each response to a relay.
        crashing_fingerprints: Fingerprints of requests that crash the target that runs them.
        reports_no_load: Whether all targets report no load.
    """

    def __init__(self, *, seed: int = 1, delays: Delays | None = None) -> None:
        """Creates a fleet without VMs and targets at time 0; ``seed`` seeds all random numbers."""
        super().__init__(delays=delays or Delays())
        self.rng = random.Random(seed)
        self.targets: dict[str, FleetTarget] = {}
        self.tickets: list[AcceptedTicket] = []
        self.is_store_available = True
        self.finished_requests: list[FinishedRequest] = []
        self.violations: list[str] = []
        self.relays_in_progress: Counter[tuple[str, str]] = Counter()
        self.relayed_bytes: Counter[tuple[str, str]] = Counter()
        self.response_bytes = 0
        self.crashing_fingerprints: set[str] = set()
        self.reports_no_load = False
        self._request_keys = itertools.count(1)

    def add_vm(self, name: str, region: str, domain: str, *, cell: str = "") -> FleetVm:
        """Starts an entry VM with all live ones as seeds; replaces a VM of the same name.

        An empty ``cell`` defaults to the failure domain.
        """
        settings = make_settings(name, region, domain)._replace(cell=cell or domain)
        incarnation = int(self.now * 1000) + 1
        host = Host(
            settings=settings,
            incarnation=incarnation,
            seed=self.rng.getrandbits(32),
            clock=lambda: self.now,
            wall_clock=lambda: self.now,
        )
        vm = FleetVm(name=name, locality=Locality(region, domain), host=host)
        self.vms[name] = vm
        for other in self.vms.values():
            if other is vm or not other.alive:
                continue
            if self.is_store_available and other.host.membership.own.cell == settings.cell:
                host.record_cell_member(other.name, other.host.membership.own.incarnation)
            if self._domains_connected(vm.locality, other.locality):
                self._exchange(vm, other, first=True)
        self.call_later(0.2, host.join)
        self.call_later(self.rng.random() * _TICK_INTERVAL_S, lambda: self._tick(vm))
        self.call_later(0.3, lambda: self._probe(vm))
        return vm

    def add_target(
        self, name: str, region: str, domain: str, *, slots: int, draw_work_s: Callable[[], float]
    ) -> FleetTarget:
        """Adds an idle target and returns it.

        It runs at most ``slots`` requests concurrently, each for ``draw_work_s()`` seconds.
        """
        target = FleetTarget(
            name=name, locality=Locality(region, domain), slots=slots, draw_work_s=draw_work_s
        )
        self.targets[name] = target
        return target

    def submit_ticket(self, ticket: TicketDocument, *, via: str | None = None) -> None:
        """Adds a ticket to the store and applies it at VM ``via``, or at the first live one."""
        accepted = AcceptedTicket(ticket=ticket, nonce=str(ticket["number"]), accepted_at=self.now)
        self.tickets.append(accepted)
        vm = self.vms[via] if via else next(vm for vm in self.vms.values() if vm.alive)
        vm.host.add_tickets(self.tickets)

    def send_request(
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
        """Sends a request to an entry VM; its outcome is added to ``finished_requests``.

        The id is generated if None; ``first_send`` marks its first send. A repeatable request may
        run more than once. The crash quarantine uses the fingerprint, which defaults to the id.
        """
        generated_id = f"r{next(self._request_keys)}"
        effective_id = request_id or generated_id
        info = RequestInfo(
            service,
            customer,
            effective_id,
            RequestId.parse(effective_id),
            repeatable,
            first_send,
            self.now + deadline_s,
            fingerprint or effective_id,
        )
        sent_at = self.now

        def record(verdict: Verdict, _: tuple[str, ...]) -> None:
            latency_s = self.now - sent_at + self.delays.to_caller_s
            self.finished_requests.append(FinishedRequest(info, verdict, latency_s, self.now))

        self.call_later(self.delays.to_caller_s, lambda: self._receive_request(vm, info, record))

    def make_bound_id(self, vm: str, suffix: str) -> str:
        """Returns a request id bound to the current incarnation and epoch of an entry VM."""
        own = self.vms[vm].host.membership.own
        epoch = int((self.now - own.incarnation / 1000) / 60)
        return f"{vm}.{own.incarnation}.{max(0, epoch)}.{suffix}"

    def _tick(self, vm: FleetVm) -> None:
        self._call_when_running(vm, lambda: self._tick_running(vm))

    def _tick_running(self, vm: FleetVm) -> None:
        for member in vm.host.tick():
            other = self.vms.get(member.vm)
            if other is not None:
                self._exchange(vm, other)
        if self.is_store_available:
            vm.host.add_tickets(self.tickets)
        if not vm.host.is_ready and vm.host.state.number and self.now > vm.paused_until + 1:
            vm.host.stop_verifying()
        if vm.host.targets_changed.is_set():
            vm.host.targets_changed.clear()
            self._probe_owned(vm)
        self._check_ticket(vm)
        self.call_later(_TICK_INTERVAL_S, lambda: self._tick(vm))

    def _check_ticket(self, vm: FleetVm) -> None:
        number = vm.host.state.number
        if number < vm.highest_ticket:
            self.violations.append(f"{vm.name} reverted to ticket {number}")
        vm.highest_ticket = max(number, vm.highest_ticket)

    def _probe(self, vm: FleetVm) -> None:
        self._call_when_running(vm, lambda: self._probe_running(vm))

    def _probe_running(self, vm: FleetVm) -> None:
        self._probe_owned(vm)
        self.call_later(_PROBE_INTERVAL_S, lambda: self._probe(vm))

    def _probe_owned(self, vm: FleetVm) -> None:
        for owned in vm.host.owned_targets():
            self._probe_target(vm, self.targets[owned.name])

    def _probe_target(self, vm: FleetVm, target: FleetTarget) -> None:
        if not target.alive:
            vm.host.handle(ProbeEnded(target.name, ProbeResult.UNREACHABLE))
            return
        is_draining = target.draining_since is not None
        result = ProbeResult.DRAINING if is_draining else ProbeResult.SERVING
        busy = 0 if self.reports_no_load else target.busy
        vm.host.handle(ProbeEnded(target.name, result, busy))

    def _receive_request(
        self,
        name: str,
        info: RequestInfo,
        done: Callable[[Verdict, tuple[str, ...]], None],
        *,
        relayed: bool = False,
        forwarded: bool = False,
        tried: tuple[str, ...] = (),
    ) -> None:
        vm = self.vms[name]
        if not vm.alive:
            done(NotRun(Reason.CONNECTION_REFUSED), ())
            return
        key = next(self._request_keys)
        message = RequestArrived(key, info, relayed, forwarded, tried)

        def start() -> None:
            if not vm.host.is_ready:
                refusal = NotRun(Reason.NO_TICKET, 0.5)
                done(refusal if relayed else vm.host.refuse(info, refusal), ())
                return
            vm.callbacks[key] = done
            vm.request_infos[key] = info
            vm.tried_targets[key] = []
            self._handle(vm, message)

        self._call_when_running(vm, start)

    def _handle(self, vm: FleetVm, message: Message) -> None:
        for action in vm.host.handle(message):
            self._perform(vm, action)

    def _perform(self, vm: FleetVm, action: Action) -> None:
        match action:
            case Finish():
                done = vm.callbacks.pop(action.key)
                tried = tuple(vm.tried_targets.pop(action.key))
                vm.request_infos.pop(action.key)
                done(action.verdict, tried)
            case Dispatch():
                vm.tried_targets[action.key].append(action.target)
                self._dispatch(vm, action)
            case Relay():
                self._relay(vm, action)
            case ForwardToBoundVm():
                self._forward_to_bound_vm(vm, action)
            case AnnounceCrash():
                for other in self.vms.values():
                    if other is not vm and other.alive and self._vms_connected(vm, other):
                        other.host.handle_exchange(
                            vm.host.make_exchange(other.name, with_crashes=True)
                        )
                self._handle(vm, CrashAnnounced(action.key))

    def _dispatch(self, vm: FleetVm, action: Dispatch) -> None:
        target = self.targets[action.target]
        info = vm.request_infos[action.key]
        delay_s = self._delay(vm.locality, target.locality)
        sent_at = self.now

        def report(verdict: Verdict, *, crashed: bool = False, linger: bool = False) -> None:
            is_draining = target.draining_since is not None
            ended = AttemptEnded(
                action.key, verdict, self.now - sent_at, crashed, linger, draining=is_draining
            )
            self._call_when_running(vm, lambda: self._handle(vm, ended))

        def deliver() -> None:
            if not target.alive:
                self.call_later(delay_s, lambda: report(NotRun(Reason.CONNECTION_REFUSED)))
            elif target.busy >= target.slots:
                target.shed += 1
                self.call_later(
                    _SHED_RESPONSE_S + delay_s, lambda: report(NotRun(Reason.TARGET_SHED))
                )
            else:
                self._run_on_target(target, info, report, delay_s)

        self.call_later(delay_s, deliver)

    def _run_on_target(
        self,
        target: FleetTarget,
        info: RequestInfo,
        report: Callable[..., None],
        delay_s: float,
    ) -> None:
        target.busy += 1
        target.max_busy = max(target.max_busy, target.busy)
        target.runs[info.request_id] += 1
        target.run_started_at.append(self.now)
        if not info.repeatable and self.total_runs(info.request_id) > 1:
            self.violations.append(f"{info.request_id} ran more than once")
        if info.fingerprint in self.crashing_fingerprints:
            target.alive = False
            self.call_later(
                delay_s, lambda: report(MayHaveRun(Reason.TARGET_CRASHED), crashed=True)
            )
            return

        def finish() -> None:
            target.busy -= 1
            if target.alive:
                self.call_later(delay_s, lambda: report(Answered(200, target=target.name)))
            else:
                self.call_later(
                    delay_s, lambda: report(MayHaveRun(Reason.CONNECTION_LOST), crashed=True)
                )

        self.call_later(target.draw_work_s(), finish)

    def _relay(self, vm: FleetVm, action: Relay) -> None:
        info = vm.request_infos[action.key]
        peer = self.vms[action.vm]
        regions = (vm.locality.region, peer.locality.region)
        crosses_regions = regions[0] != regions[1]
        self.relays_in_progress[regions] += crosses_regions

        def done(verdict: Verdict, tried: tuple[str, ...]) -> None:
            free_slots = peer.host.free_slots(info.service) if peer.alive else None
            size_bytes = self.response_bytes if isinstance(verdict, Answered) else 0
            if crosses_regions:
                self.relayed_bytes[regions] += size_bytes
            result = RelayEnded(action.key, peer.name, verdict, tried, free_slots, size_bytes)
            self._return_result(vm, peer, result, regions)

        self._send_to_peer(vm, peer, info, action.deadline, done, relayed=True, tried=action.tried)

    def _forward_to_bound_vm(self, vm: FleetVm, action: ForwardToBoundVm) -> None:
        info = vm.request_infos[action.key]
        peer = self.vms[action.vm]

        def done(verdict: Verdict, tried: tuple[str, ...]) -> None:
            self._return_result(vm, peer, RelayEnded(action.key, peer.name, verdict, tried), None)

        self._send_to_peer(vm, peer, info, action.deadline, done, forwarded=True)

    def _send_to_peer(
        self,
        vm: FleetVm,
        peer: FleetVm,
        info: RequestInfo,
        deadline: float,
        done: Callable[[Verdict, tuple[str, ...]], None],
        *,
        relayed: bool = False,
        forwarded: bool = False,
        tried: tuple[str, ...] = (),
    ) -> None:
        is_finished = [False]

        def finish(verdict: Verdict, tried_targets: tuple[str, ...]) -> None:
            if not is_finished[0]:
                is_finished[0] = True
                done(verdict, tried_targets)

        if not self._vms_connected(vm, peer):
            self.call_later(0.5, lambda: finish(NotRun(Reason.CONNECT_FAILED), ()))
            return
        delay_s = self._delay(vm.locality, peer.locality)
        timed_out = MayHaveRun(Reason.TIMEOUT)
        self.call_later(max(0.0, deadline - self.now) + 0.05, lambda: finish(timed_out, ()))
        self.call_later(
            delay_s,
            lambda: self._receive_request(
                peer.name, info, finish, relayed=relayed, forwarded=forwarded, tried=tried
            ),
        )

    def _return_result(
        self, vm: FleetVm, peer: FleetVm, ended: RelayEnded, regions: tuple[str, str] | None
    ) -> None:
        def deliver() -> None:
            if regions is not None and regions[0] != regions[1]:
                self.relays_in_progress[regions] -= 1
            self._handle(vm, ended)

        if not peer.alive and not isinstance(ended.verdict, NotRun):
            ended = ended._replace(verdict=MayHaveRun(Reason.CONNECTION_LOST))
        delay_s = self._delay(vm.locality, peer.locality)
        self.call_later(delay_s, lambda: self._call_when_running(vm, deliver))

    def total_runs(self, request_id: str) -> int:
        """Returns the number of runs of a request, summed over all targets."""
        return sum(target.runs[request_id] for target in self.targets.values())
