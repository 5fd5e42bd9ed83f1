"""Steering of requests: a state machine on :mod:`carawaybank.steering.messages` without I/O.

Messages, each with the current time, come in, and actions go out, which the host performs.
"""

import random
from collections.abc import Callable, Iterable

from carawaybank.steering.admission import admit_non_repeatable, refusal_verdict
from carawaybank.steering.celltargets import CellTargets
from carawaybank.steering.deduplication import RequestMemory
from carawaybank.steering.membership import Membership
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
    RelayEnded,
    RequestArrived,
    RequestInfo,
)
from carawaybank.steering.options import Options
from carawaybank.steering.ownership import Ownership
from carawaybank.steering.pools import PoolTarget
from carawaybank.steering.progress import RequestProgress
from carawaybank.steering.quarantine import CrashReport, Quarantine
from carawaybank.steering.records import Incidents, ServiceRecords
from carawaybank.steering.spillover import Spillover
from carawaybank.steering.tickets import State
from carawaybank.verdicts import UNREACHED_REASONS, Answered, MayHaveRun, NotRun, Reason, Verdict

_OVERLOAD_RATIO = 0.5  # Refusals per admission of a customer; above it, fewer siblings are tried.
_MIN_REUSE_TIMEOUT_S = 0.5  # The peer may have dropped a reused connection without closing it.
_REUSE_LATENCY_FACTOR = 8  # Times the target's smoothed latency, but at least the minimum.


class Steering:
    """Decides where each request runs and with which verdict it ends."""

    def __init__(
        self,
        *,
        membership: Membership,
        ownership: Ownership,
        former_owner_units: Callable[[str], int],
        options: Options,
        rng: random.Random,
        started_at: float = 0.0,
    ) -> None:
        """Starts with no ticket in force.

        Args:
            membership: The entry VMs.
            ownership: Ownership of keys in the cell.
            former_owner_units: Returns the units of a key that former owners still use.
            options: Limits and durations.
            rng: Source of random choices and jitter.
            started_at: Start time in seconds, from which request id epochs are counted.
        """
        self._own_member = membership.own
        self._membership = membership
        self._options = options
        self._started_at = started_at
        self.cell_targets = CellTargets(
            cell=self._own_member.cell,
            ownership=ownership,
            former_owner_units=former_owner_units,
            ramp_s=options.ramp_s,
            rng=rng,
        )
        self.spillover = Spillover(
            membership=membership,
            ownership=ownership,
            former_owner_units=former_owner_units,
            state=lambda: self.state,
            ramp_s=options.ramp_s,
            rng=rng,
        )
        self.request_memory = _make_request_memory(options)
        self.quarantine = _make_quarantine(options)
        self.incidents = Incidents()
        self._service_records = ServiceRecords(options=options, rng=rng)
        self._customer_weights: dict[str, float] = {}
        self._requests: dict[int, RequestProgress] = {}

    @property
    def state(self) -> State:
        """The state that the tickets in force produce."""
        return self.cell_targets.state

    @property
    def in_flight(self) -> int:
        """Number of requests that have not ended."""
        return len(self._requests)

    def epoch(self, now: float) -> int:
        """Returns the number of whole request id epochs since the start."""
        return int((now - self._started_at) / self._options.epoch_s)

    def update_state(self, state: State, *, now: float) -> None:
        """Applies a new state to the targets, shifts and customer weights."""
        self.cell_targets.update(state, now=now)
        self.spillover.shifts.update(state, now=now)
        self._customer_weights = {name: value["weight"] for name, value in state.customers.items()}

    def release_expired(self, now: float) -> None:
        """Releases slots and shift units of abandoned requests whose deadline has passed."""
        self.cell_targets.release_expired(now)
        self.spillover.shifts.release_expired(now)

    def released_units(self) -> dict[str, int]:
        """Returns, by key, the units still in use here of keys that others own now."""
        return {**self.cell_targets.released_units(), **self.spillover.shifts.released_units()}

    def free_slots(self, now: float) -> dict[str, int]:
        """Returns the free slots at owned targets, by service."""
        services = self.state.services
        return {service: self.cell_targets.pool(service, now=now).free for service in services}

    def crash_reports(self) -> list[CrashReport]:
        """Returns the crash reports in the quarantine, the most recent ones last."""
        return self.quarantine.reports()

    def record_crashes(self, reports: Iterable[CrashReport], now: float) -> bool:
        """Records crash reports from a sibling; returns whether any of them was new."""
        added = [report for report in reports if self.quarantine.add_report(report, now=now)]
        return bool(added)

    def refuse(self, request: RequestInfo, refusal: NotRun, now: float) -> Verdict:
        """Returns a refused request's verdict; records an incident if its outcome is unknown."""
        verdict = refusal_verdict(
            request,
            refusal,
            request_memory=self.request_memory,
            membership=self._membership,
            epoch=self.epoch(now),
        )
        self.incidents.record(request, verdict, now)
        return verdict

    def handle(self, message: Message, now: float) -> list[Action]:
        """Processes a message and returns the actions that the host must perform."""
        match message:
            case RequestArrived():
                return self._handle_arrival(message, now)
            case AttemptEnded():
                return self._handle_attempt_ended(message, now)
            case RelayEnded():
                return self._handle_relay_ended(message, now)
            case CrashAnnounced():
                return self._handle_crash_announced(message.key, now)
            case ProbeEnded():
                target_state = self.cell_targets.target_state(message.target)
                if target_state is not None:
                    target_state.record_probe(
                        message.result, busy=message.busy, now=now, latency_s=message.latency_s
                    )
        return []

    def _handle_arrival(self, message: RequestArrived, now: float) -> list[Action]:
        request = message.request
        refusal = self._precheck(request, now)
        if refusal is not None:
            verdict = refusal if message.relayed else self.refuse(request, refusal, now)
            return [Finish(message.key, verdict)]
        progress = RequestProgress(
            key=message.key, request=request, relayed=message.relayed, tried_targets=message.tried
        )
        if not message.relayed and not request.repeatable:
            decision = admit_non_repeatable(
                request,
                request_memory=self.request_memory,
                membership=self._membership,
                epoch=self.epoch(now),
                forwarded=message.forwarded,
            )
            if isinstance(decision, str):
                return self._forward_to_bound_vm(progress, decision)
            if decision is not None:
                self.incidents.record(request, decision, now)
                return [Finish(message.key, decision)]
            progress.is_id_recorded = True
        self._requests[message.key] = progress
        if self.quarantine.is_quarantined(request.fingerprint, now=now):
            detail = "requests like this one crashed their targets"
            return self._finish(progress, MayHaveRun(Reason.QUARANTINED, 60.0, detail), now)
        if not message.relayed:
            self._service_records.budget(request.service).record_first_attempt()
        return self._next_step(progress, now)

    def _precheck(self, request: RequestInfo, now: float) -> NotRun | None:
        if self.state.number == 0:
            return NotRun(Reason.NO_TICKET, 1.0, "no change ticket is in force here yet")
        if request.service not in self.state.services:
            return NotRun(Reason.UNKNOWN_SERVICE, 60.0, f"there is no service {request.service}")
        if now >= request.deadline:
            return NotRun(Reason.DEADLINE_PASSED, 0.0, "the deadline passed before it was begun")
        return None

    def _forward_to_bound_vm(self, progress: RequestProgress, vm: str) -> list[Action]:
        member = self._membership.find(vm)
        if member is None:
            raise LookupError(vm)
        progress.forwarded_to = vm
        self._requests[progress.key] = progress
        deadline = progress.request.deadline
        return [ForwardToBoundVm(progress.key, vm, member.control_address, deadline)]

    def _next_step(self, progress: RequestProgress, now: float) -> list[Action]:
        if now >= progress.request.deadline:
            verdict = progress.last_verdict or NotRun(
                Reason.DEADLINE_PASSED, 0.0, "the deadline passed"
            )
            return self._finish(progress, verdict, now)
        pool = self.cell_targets.pool(progress.request.service, now=now)
        spillover_relay = self.spillover.choose_for_headroom(progress, pool, now)
        if spillover_relay is not None:  # Few slots are left here, and a sibling has more.
            return [spillover_relay]
        target = self._acquire_target(progress, now)  # An owned target that is not ejected.
        if target is not None:
            return [self._dispatch(progress, target, now)]
        if progress.relayed:  # Only uses owned targets here that are not ejected.
            return self._finish_unplaced(progress, now)
        pressure = self._service_records.pressure(progress.request)
        overloaded = pressure.refusal_ratio > _OVERLOAD_RATIO
        relay = self.spillover.choose_relay(progress, now, overloaded=overloaded)
        if relay is not None:  # Any other permitted sibling.
            return [relay]
        target = self._acquire_target(progress, now, last_resort=True)  # An ejected owned target.
        if target is not None:
            return [self._dispatch(progress, target, now)]
        return self._finish_unplaced(progress, now)

    def _acquire_target(
        self, progress: RequestProgress, now: float, *, last_resort: bool = False
    ) -> PoolTarget | None:
        request = progress.request
        pool = self.cell_targets.pool(request.service, now=now)
        if not pool.capacity:
            return None
        shares = self._service_records.shares(request.service)
        if not shares.may_acquire(
            request.customer,
            weights=self._customer_weights,
            capacity=pool.capacity,
            in_use=pool.in_use,
            now=now,
        ):
            is_full = pool.in_use >= pool.capacity
            progress.refusal_reason = Reason.NO_CAPACITY if is_full else Reason.OVER_FAIR_SHARE
            return None
        target = pool.try_acquire(tried=progress.tried_targets, now=now, last_resort=last_resort)
        if target is None:
            progress.refusal_reason = Reason.NO_CAPACITY
            return None
        shares.acquire(request.customer)
        return target

    def _dispatch(self, progress: RequestProgress, target: PoolTarget, now: float) -> Dispatch:
        request = progress.request
        target_state = self.cell_targets.target_state(target.name)
        if target_state is None:
            raise LookupError(target.name)
        reuse = request.repeatable and not progress.tried_targets and self._can_retry(request, now)
        progress.begin_attempt(target.name, target_state)
        reuse_timeout_s = max(_MIN_REUSE_TIMEOUT_S, _REUSE_LATENCY_FACTOR * target_state.latency_s)
        return Dispatch(
            key=progress.key,
            target=target.name,
            address=target.address,
            deadline=request.deadline,
            reuse_deadline=min(request.deadline, now + reuse_timeout_s),
            fresh_connection=not reuse,
        )

    def _can_retry(self, request: RequestInfo, now: float) -> bool:
        """Returns whether a retry elsewhere is possible if a reused connection does not respond."""
        pool = self.cell_targets.pool(request.service, now=now)
        has_alternative = len(pool.targets) > 1 or bool(self._membership.other_members())
        return has_alternative and self._service_records.budget(request.service).tokens >= 1

    def _handle_attempt_ended(self, message: AttemptEnded, now: float) -> list[Action]:
        progress = self._requests[message.key]
        target_state = progress.end_attempt()
        request = progress.request
        self._service_records.shares(request.service).release(request.customer)
        verdict = message.verdict
        progress.record_verdict(verdict)
        if message.draining:
            target_state.set_draining(True)
        if isinstance(verdict, Answered):
            target_state.record_answered(message.latency_s)
            return self._finish(progress, verdict, now)
        if isinstance(verdict, NotRun):
            if verdict.reason in UNREACHED_REASONS:
                target_state.record_failed(now=now, linger_until=None, fatal=True)
            else:
                target_state.record_shed()
            return self._retry(progress, verdict, now)
        linger_until = request.deadline if message.may_linger else None
        target_state.record_failed(now=now, linger_until=linger_until, fatal=message.crashed)
        if not message.crashed:
            return self._retry(progress, verdict, now)
        report = CrashReport(request.fingerprint, progress.tried_targets[-1], self._own_member.vm)
        self.quarantine.add_report(report, now=now)
        return [AnnounceCrash(progress.key, report)]

    def _handle_crash_announced(self, key: int, now: float) -> list[Action]:
        progress = self._requests[key]
        verdict = progress.last_verdict or MayHaveRun(Reason.TARGET_CRASHED)
        if self.quarantine.is_quarantined(progress.request.fingerprint, now=now):
            return self._finish(progress, verdict, now)
        return self._retry(progress, verdict, now)

    def _retry(self, progress: RequestProgress, verdict: Verdict, now: float) -> list[Action]:
        may_repeat = isinstance(verdict, NotRun) or progress.request.repeatable
        if not may_repeat or now >= progress.request.deadline:
            return self._finish(progress, verdict, now)
        if isinstance(verdict, NotRun) and verdict.reason in UNREACHED_REASONS:
            return self._next_step(progress, now)  # Never reached its peer: no retry budget used.
        if not self._service_records.budget(progress.request.service).try_acquire():
            return self._finish(progress, verdict, now)
        return self._next_step(progress, now)

    def _handle_relay_ended(self, message: RelayEnded, now: float) -> list[Action]:
        progress = self._requests[message.key]
        verdict = message.verdict
        if progress.forwarded_to is not None:
            return self._finish(progress, self._forwarded_verdict(progress, verdict), now)
        service = progress.request.service
        if message.free is not None:
            self.spillover.relays.record_free_slots(message.vm, service, message.free, now=now)
        self.spillover.finish_relay(progress, message, now)
        progress.tried_targets = (*progress.tried_targets, *message.tried)
        progress.record_verdict(verdict)
        if isinstance(verdict, Answered):
            return self._finish(progress, verdict, now)
        if isinstance(verdict, NotRun) and not message.tried:
            progress.refusal_reason = verdict.reason
            return self._next_step(progress, now)
        return self._retry(progress, verdict, now)

    def _forwarded_verdict(self, progress: RequestProgress, verdict: Verdict) -> Verdict:
        is_not_connected = isinstance(verdict, NotRun) and verdict.reason in UNREACHED_REASONS
        if is_not_connected and not progress.request.first_send:  # An earlier send may have run.
            detail = "the entry VM that knows its outcome cannot be reached"
            return MayHaveRun(Reason.INCARNATION_GONE, 1.0, detail)
        return verdict

    def _finish_unplaced(self, progress: RequestProgress, now: float) -> list[Action]:
        retry_after_s = self._options.retry_after_s
        if not progress.relayed:
            retry_after_s = self._service_records.pressure(progress.request).record_refused(now=now)
        detail = "no target within the limits has room"
        return self._finish(progress, NotRun(progress.refusal_reason, retry_after_s, detail), now)

    def _finish(self, progress: RequestProgress, verdict: Verdict, now: float) -> list[Action]:
        self._requests.pop(progress.key, None)
        request = progress.request
        if isinstance(verdict, NotRun) and progress.uncertain_verdict is not None:
            verdict = progress.uncertain_verdict  # NotRun is wrong if an attempt may have run.
        if progress.is_id_recorded and request.bound_id is not None:
            self.request_memory.finish(request.bound_id, verdict)
        if not progress.relayed:
            if isinstance(verdict, Answered):
                self._service_records.pressure(request).record_admitted(now=now)
            self.incidents.record(request, verdict, now)
        return [Finish(progress.key, verdict)]


def _make_request_memory(options: Options) -> RequestMemory:
    return RequestMemory(
        retention_epochs=options.retention_epochs, capacity=options.max_remembered_ids
    )


def _make_quarantine(options: Options) -> Quarantine:
    return Quarantine(
        limit=options.crash_limit,
        expiry_s=options.crash_retention_s,
        capacity=options.max_crash_fingerprints,
    )
