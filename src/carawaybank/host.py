"""Thread-safe access to the decision core.

All threads of a daemon use the decision core through :class:`Host`. It passes the current time with
each call and holds one lock for the duration of the call.
"""

import random
import threading
import time
from collections.abc import Callable, Iterable

from carawaybank.settings import Settings
from carawaybank.steering.blocks import BlockMap
from carawaybank.steering.core import Steering
from carawaybank.steering.dissemination import TicketLog
from carawaybank.steering.entries import EntriesView
from carawaybank.steering.exchange import Exchange
from carawaybank.steering.group import Group
from carawaybank.steering.membership import Member, Membership, Status
from carawaybank.steering.messages import Action, Message, RequestInfo
from carawaybank.steering.monitor import GroupOptions
from carawaybank.steering.options import Options
from carawaybank.steering.ownership import DeathProof, Ownership
from carawaybank.steering.pools import PoolTarget
from carawaybank.steering.records import Incident
from carawaybank.steering.tickets import AcceptedTicket, State
from carawaybank.verdicts import NotRun, Verdict

_TICKET_HOLD_LIMIT_S = 1.0


class Host:
    """Decision core of one daemon behind a lock and a clock."""

    def __init__(
        self,
        *,
        settings: Settings,
        incarnation: int,
        seed: int,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Creates the decision core of one entry VM.

        Args:
            settings: Settings of the daemon.
            incarnation: Number of this process start, higher than that of earlier starts.
            seed: Seed of the random number generator of the core.
            clock: Returns the monotonic time in seconds.
            wall_clock: Returns the seconds since 1970.
        """
        self._clock = clock
        self._wall_clock = wall_clock
        self._lock = threading.Lock()
        self._started_at = clock()
        self._last_tick = self._started_at
        self._pause_limit_s = settings.suspect_after_s
        self._joined = False
        self._verifying_since: float | None = None
        self._signalled_versions = (-1, -1)
        #: Set when an exchange is due before its regular interval.
        self.exchange_due = threading.Event()
        #: Set when owned targets may have changed.
        self.targets_changed = threading.Event()
        rng = random.Random(seed)
        self.membership = Membership(own=_own_member(settings, incarnation))
        self.ownership = Ownership(vm=settings.vm, incarnation=incarnation)
        self.ticket_log = TicketLog(hold_limit_s=_TICKET_HOLD_LIMIT_S)
        self.group = self._make_group(settings, rng)
        options = Options(retry_share=settings.retry_share, ramp_s=settings.ramp_s)
        self.steering = self._make_steering(options, rng)
        self.group.set_request_state(self.steering)
        self.entries_view = EntriesView(
            membership=self.membership, ttl_s=settings.entries_ttl_s, epoch_s=options.epoch_s
        )
        self._blocks: BlockMap | None = None

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self._clock()

    @property
    def wall_time(self) -> float:
        """Wall-clock time in seconds since 1970."""
        return self._wall_clock()

    @property
    def uptime_s(self) -> float:
        """Seconds since the creation of this host."""
        return self._clock() - self._started_at

    @property
    def state(self) -> State:
        """The state in force."""
        return self.steering.state

    @property
    def is_ready(self) -> bool:
        """Whether requests are served.

        This requires that the entry VM has joined, that a ticket is in force, and that no
        verification by a sibling is outstanding after a pause of the process.
        """
        return self._joined and not self._must_verify() and self.state.number > 0

    @property
    def lock(self) -> threading.Lock:
        """Lock that protects the core; state dumps hold it to read a consistent state."""
        return self._lock

    def handle(self, message: Message) -> list[Action]:
        """Passes a message to the request steering and returns the actions to perform."""
        with self._lock:
            return self.steering.handle(message, self._clock())

    def refuse(self, request: RequestInfo, refusal: NotRun) -> Verdict:
        """Returns the verdict for a request that is refused before admission."""
        with self._lock:
            return self.steering.refuse(request, refusal, self._clock())

    def free_slots(self, service: str) -> int:
        """Returns the number of free slots at the owned targets of a service."""
        with self._lock:
            return self.steering.cell_targets.pool(service, now=self._clock()).free

    def find_entries(self, failure_domain: str) -> bytes:
        """Returns the encoded response to a look-up."""
        with self._lock:
            return self.entries_view.find_encoded(
                self.state, failure_domain, wall_time=self._wall_clock()
            )

    def site_of(self, address: str) -> str | None:
        """Returns the site of a caller's IP address, or None if it is in no known address block."""
        blocks = self._blocks
        return blocks.find(address) if blocks else None

    def set_block_map(self, blocks: BlockMap) -> None:
        """Replaces the map from address blocks of callers to sites."""
        self._blocks = blocks

    def make_exchange(self, vm: str | None, *, with_crashes: bool = False) -> Exchange:
        """Returns the exchange to send to a sibling.

        Args:
            vm: Name of the sibling; None if only its address is known.
            with_crashes: Whether to include the crash reports.
        """
        with self._lock:
            return self.group.compose(vm, self._clock(), with_crashes=with_crashes)

    def handle_exchange(self, message: Exchange) -> Exchange:
        """Applies an exchange from a sibling and returns the exchange to respond with."""
        with self._lock:
            self._receive(message)
            return self.group.reply(message, self._clock())

    def handle_response(self, message: Exchange, *, sent_at: float) -> None:
        """Applies the response to an exchange.

        Args:
            message: The response.
            sent_at: Monotonic time in seconds at which the exchange was made. The response to
                an exchange from before a pause does not end the verification after the pause.
        """
        with self._lock:
            self._receive(message)
            if self._verifying_since is not None and sent_at >= self._verifying_since:
                self._verifying_since = None

    def add_tickets(self, tickets: Iterable[AcceptedTicket]) -> None:
        """Adds tickets read from the store and puts them in force when the cell has them."""
        with self._lock:
            self.group.add_tickets(tickets, self._clock())
            self._advance()

    def apply_snapshot(self, state: State) -> None:
        """Applies a snapshot of the state if it is newer than the tickets held."""
        with self._lock:
            if self.ticket_log.install_snapshot(state) and self._joined:
                self.steering.update_state(self.ticket_log.state, now=self._clock())

    def tick(self) -> list[Member]:
        """Updates all time-dependent state and returns the members with which an exchange is due.

        If the process did not run since the last tick for as long as siblings take to suspect a
        member, requests are not served until a sibling has responded to an exchange.
        """
        with self._lock:
            now = self._clock()
            if now - self._last_tick > self._pause_limit_s and self.membership.other_members():
                self._verifying_since = now
            self._last_tick = now
            self.steering.release_expired(now)
            self._advance()
            return self.group.due(now)

    def join(self) -> None:
        """Starts serving with the newest state received so far."""
        with self._lock:
            self._joined = True
            self.ownership.end_discovery()
            self._advance()
            if self.ticket_log.state.number > self.steering.state.number:
                self.steering.update_state(self.ticket_log.state, now=self._clock())
            self._signal_changes()

    def stop_verifying(self) -> None:
        """Resumes serving after a pause although no sibling has responded."""
        with self._lock:
            self._verifying_since = None

    def record_cell_member(self, vm: str, incarnation: int) -> None:
        """Records a member of the cell that is listed in the platform's table."""
        with self._lock:
            self.ownership.observe_member(vm, incarnation=incarnation)

    def record_death(self, vm: str, incarnation: int, proof: DeathProof) -> bool:
        """Removes a member whose process has ended; returns whether it was thought to run."""
        with self._lock:
            self.ownership.record_death(vm, incarnation=incarnation, proof=proof)
            changed = self.group.mark_dead(vm, incarnation, proof, self._clock())
            self._signal_changes()
            return changed

    def record_leaving_targets(self, names: list[str], *, spread: bool) -> None:
        """Records targets that the platform's VM list marks as leaving.

        Args:
            names: Names of the targets.
            spread: Whether to send the names to the siblings.
        """
        with self._lock:
            now = self._clock()
            if spread:
                self.group.record_leaving_targets(names)
            for name in names:
                self._record_leaving(name, now)

    def pop_incidents(self) -> list[Incident]:
        """Removes the incidents that are not yet stored from the queue and returns them."""
        with self._lock:
            return self.steering.incidents.pop_unstored()

    def requeue_incidents(self, incidents: list[Incident]) -> None:
        """Requeues incidents that could not be stored."""
        with self._lock:
            self.steering.incidents.requeue(incidents)

    def owned_targets(self) -> list[PoolTarget]:
        """Returns the targets that this entry VM owns."""
        with self._lock:
            return self.steering.cell_targets.owned(now=self._clock())

    def announce_departure(self) -> None:
        """Announces the departure of this entry VM to its siblings and releases what it owns."""
        with self._lock:
            self.group.announce_departure()
            self._signal_changes()

    def _make_group(self, settings: Settings, rng: random.Random) -> Group:
        return Group(
            membership=self.membership,
            ownership=self.ownership,
            log=self.ticket_log,
            options=GroupOptions(settings.heartbeat_s, settings.suspect_after_s),
            rng=rng,
        )

    def _make_steering(self, options: Options, rng: random.Random) -> Steering:
        return Steering(
            membership=self.membership,
            ownership=self.ownership,
            former_owner_units=self.group.units_used_by_former_owners,
            options=options,
            rng=rng,
            started_at=self._started_at,
        )

    def _receive(self, message: Exchange) -> None:
        now = self._clock()
        reports = self.group.receive(message, now)
        if self.membership.is_declared_dead and not self.ownership.is_released:
            self.ownership.release_all()
        if self.steering.record_crashes(reports, now):
            self.group.schedule_crash_fanout(now)
        for service, free in message.get("free", {}).items():
            self.steering.spillover.relays.record_free_slots(message["vm"], service, free, now=now)
        for name in message.get("leaving", []):
            self._record_leaving(name, now)
        self._advance()

    def _record_leaving(self, name: str, now: float) -> None:
        target_state = self.steering.cell_targets.target_state(name)
        if target_state is not None:
            target_state.record_listed_leaving(now)

    def _advance(self) -> None:
        if not self._joined:
            return
        now = self._clock()
        if self.group.tick(now):
            self.steering.update_state(self.ticket_log.state, now=now)
        self._signal_changes()

    def _signal_changes(self) -> None:
        if self.group.has_due_exchange:
            self.exchange_due.set()
        versions = (self.steering.state.number, self.ownership.version)
        if versions != self._signalled_versions:
            self._signalled_versions = versions
            self.targets_changed.set()

    def _must_verify(self) -> bool:
        was_paused = self._clock() - self._last_tick > self._pause_limit_s
        return (
            was_paused and bool(self.membership.other_members())
        ) or self._verifying_since is not None


def _own_member(settings: Settings, incarnation: int) -> Member:
    return Member(
        settings.vm,
        incarnation,
        0,
        Status.ALIVE,
        settings.failure_domain,
        settings.region,
        settings.cell,
        settings.callers_address,
        settings.control_address,
    )
