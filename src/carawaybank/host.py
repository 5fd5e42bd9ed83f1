"""The host of the decision core: one lock, one clock, and the cores behind it.

All threads of a daemon reach the decision core through :class:`Host`, which passes each message
with the present time and holds the lock only while the core decides.
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
from carawaybank.steering.options import Options
from carawaybank.steering.ownership import DeathProof, Ownership
from carawaybank.steering.pools import PoolTarget
from carawaybank.steering.records import Incident
from carawaybank.steering.tickets import AcceptedTicket, State
from carawaybank.steering.watching import GroupOptions
from carawaybank.verdicts import NotRun, Verdict

_HOLD_LIMIT_S = 1.0


class Host:
    """Serializes access to the decision core of one daemon."""

    def __init__(
        self,
        *,
        settings: Settings,
        incarnation: int,
        seed: int,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Builds the core of one entry VM.

        Args:
            settings: Settings of the daemon.
            incarnation: This process start.
            seed: Seed of all draws.
            clock: Monotonic seconds.
            wall_clock: Seconds since 1970.
        """
        self._clock = clock
        self._wall_clock = wall_clock
        self._lock = threading.Lock()
        self._started_at = clock()
        self._last_tick = self._started_at
        self._wake_after_s = settings.suspect_after_s
        self._joined = False
        self._verifying_since: float | None = None
        self._seen_versions = (-1, -1)
        #: Set when an exchange became due ahead of time.
        self.exchange_due = threading.Event()
        #: Set when owned targets may have changed.
        self.targets_changed = threading.Event()
        rng = random.Random(seed)
        self.membership = Membership(own=_own_record(settings, incarnation))
        self.ownership = Ownership(vm=settings.vm, incarnation=incarnation)
        self.log = TicketLog(hold_limit_s=_HOLD_LIMIT_S)
        self.group = self._make_group(settings, rng)
        options = Options(retry_share=settings.retry_share, ramp_s=settings.ramp_s)
        self.steering = self._make_steering(options, rng)
        self.group.attach(self.steering)
        self.entries_view = EntriesView(
            membership=self.membership, ttl_s=settings.entries_ttl_s, epoch_s=options.epoch_s
        )
        self._blocks: BlockMap | None = None

    @property
    def now(self) -> float:
        """Seconds on the monotonic clock."""
        return self._clock()

    @property
    def wall_time(self) -> float:
        """Seconds since 1970."""
        return self._wall_clock()

    @property
    def uptime_s(self) -> float:
        """Seconds since the start."""
        return self._clock() - self._started_at

    @property
    def state(self) -> State:
        """The state in force."""
        return self.steering.state

    @property
    def is_ready(self) -> bool:
        """Whether requests are served: joined, verified and with a ticket in force."""
        return self._joined and not self._must_verify() and self.state.number > 0

    @property
    def lock(self) -> threading.Lock:
        """The lock around the core, for state dumps."""
        return self._lock

    def handle(self, message: Message) -> list[Action]:
        """Passes a message to the steering of requests."""
        with self._lock:
            return self.steering.handle(message, self._clock())

    def refuse(self, request: RequestInfo, refusal: NotRun) -> Verdict:
        """Returns the verdict for a request that is not admitted now."""
        with self._lock:
            return self.steering.refuse(request, refusal, self._clock())

    def free(self, service: str) -> int:
        """Returns the free owned slots of a service."""
        with self._lock:
            return self.steering.holdings.pool(service, now=self._clock()).free

    def find_entries(self, failure_domain: str) -> bytes:
        """Returns the encoded answer to a look-up."""
        with self._lock:
            return self.entries_view.find(self.state, failure_domain, wall_time=self._wall_clock())

    def site_of(self, address: str) -> str | None:
        """Returns the site of a caller's address by the map of client blocks."""
        blocks = self._blocks
        return blocks.find(address) if blocks else None

    def install_blocks(self, blocks: BlockMap) -> None:
        """Takes a new map of client blocks."""
        self._blocks = blocks

    def compose(self, vm: str | None, *, with_crashes: bool = False) -> Exchange:
        """Returns the exchange to send to a sibling."""
        with self._lock:
            return self.group.compose(vm, self._clock(), with_crashes=with_crashes)

    def answer(self, message: Exchange) -> Exchange:
        """Takes an exchange and returns the answer to it."""
        with self._lock:
            self._receive(message)
            return self.group.reply(message, self._clock())

    def receive(self, message: Exchange, *, sent_at: float) -> None:
        """Takes the answer to an exchange.

        Args:
            message: The answer.
            sent_at: Time at which the exchange was composed. An answer to one from before a pause
                does not end the verification after it.
        """
        with self._lock:
            self._receive(message)
            if self._verifying_since is not None and sent_at >= self._verifying_since:
                self._verifying_since = None

    def accept_tickets(self, tickets: Iterable[AcceptedTicket]) -> None:
        """Takes tickets read from the store."""
        with self._lock:
            self.group.accept_tickets(tickets, self._clock())
            self._advance()

    def install(self, state: State) -> None:
        """Takes a snapshot of the state."""
        with self._lock:
            if self.log.install(state) and self._joined:
                self.steering.update_state(self.log.state, now=self._clock())

    def tick(self) -> list[Member]:
        """Lets time pass; returns the members to exchange with now."""
        with self._lock:
            now = self._clock()
            if now - self._last_tick > self._wake_after_s and self.membership.others():
                self._verifying_since = now
            self._last_tick = now
            self.steering.tick(now)
            self._advance()
            return self.group.due(now)

    def join(self) -> None:
        """Begins to serve with the highest state that was found."""
        with self._lock:
            self._joined = True
            self.ownership.join()
            self._advance()
            if self.log.state.number > self.steering.state.number:
                self.steering.update_state(self.log.state, now=self._clock())
            self._signal_changes()

    def stop_verifying(self) -> None:
        """Serves on after a pause although no sibling answered."""
        with self._lock:
            self._verifying_since = None

    def observe_holder(self, vm: str, incarnation: int) -> None:
        """Records a member of the cell that the table names."""
        with self._lock:
            self.ownership.observe_member(vm, incarnation=incarnation)

    def prove_dead(self, vm: str, incarnation: int, proof: DeathProof) -> bool:
        """Removes a member whose process ended."""
        with self._lock:
            self.ownership.prove_dead(vm, incarnation=incarnation, proof=proof)
            changed = self.group.prove_dead(vm, incarnation, proof, self._clock())
            self._signal_changes()
            return changed

    def note_leaving(self, names: list[str], *, spread: bool) -> None:
        """Records targets that the VM list calls leaving."""
        with self._lock:
            now = self._clock()
            if spread:
                self.group.note_leaving_targets(names)
            for name in names:
                self._list_leaving(name, now)

    def take_incidents(self) -> list[Incident]:
        """Returns the incidents not yet stored, which are then no longer queued."""
        with self._lock:
            return self.steering.incidents.take_unstored()

    def put_back_incidents(self, incidents: list[Incident]) -> None:
        """Queues incidents again that could not be stored."""
        with self._lock:
            self.steering.incidents.put_back(incidents)

    def owned_targets(self) -> list[PoolTarget]:
        """Returns the targets that this entry VM owns."""
        with self._lock:
            return self.steering.holdings.owned(now=self._clock())

    def leave(self) -> None:
        """Tells the siblings that this entry VM stops."""
        with self._lock:
            self.group.leave()
            self._signal_changes()

    def _make_group(self, settings: Settings, rng: random.Random) -> Group:
        return Group(
            membership=self.membership,
            ownership=self.ownership,
            log=self.log,
            options=GroupOptions(settings.heartbeat_s, settings.suspect_after_s),
            rng=rng,
        )

    def _make_steering(self, options: Options, rng: random.Random) -> Steering:
        return Steering(
            membership=self.membership,
            ownership=self.ownership,
            released=self.group.released_by_others,
            options=options,
            rng=rng,
            started_at=self._started_at,
        )

    def _receive(self, message: Exchange) -> None:
        now = self._clock()
        reports = self.group.receive(message, now)
        if self.membership.declared_dead and not self.ownership.is_released:
            self.ownership.release()
        if self.steering.note_crashes(reports, now):
            self.group.spread_crashes(now)
        for service, free in message.get("free", {}).items():
            self.steering.spillover.relays.note_free(message["vm"], service, free, now=now)
        for name in message.get("leaving", []):
            self._list_leaving(name, now)
        self._advance()

    def _list_leaving(self, name: str, now: float) -> None:
        standing = self.steering.holdings.standing(name)
        if standing is not None:
            standing.list_leaving(now)

    def _advance(self) -> None:
        if not self._joined:
            return
        now = self._clock()
        if self.group.tick(now):
            self.steering.update_state(self.log.state, now=now)
        self._signal_changes()

    def _signal_changes(self) -> None:
        if self.group.has_due:
            self.exchange_due.set()
        versions = (self.steering.state.number, self.ownership.version)
        if versions != self._seen_versions:
            self._seen_versions = versions
            self.targets_changed.set()

    def _must_verify(self) -> bool:
        woke = self._clock() - self._last_tick > self._wake_after_s
        return (woke and bool(self.membership.others())) or self._verifying_since is not None


def _own_record(settings: Settings, incarnation: int) -> Member:
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
