"""Gossip among entry VMs: heartbeats, membership, ownership and tickets in one exchange.

Each entry VM monitors the members of its cell, and a few others if the cell is small. In each
monitoring pair, one side sends an exchange at the heartbeat interval and the other responds; the
response is a heartbeat too. At the gossip interval, an exchange also goes to a random member.
Updates are sent at once to a few members, which forward them.
"""

import random
from collections import Counter
from collections.abc import Iterable
from typing import Protocol

from carawaybank.steering.dissemination import TicketLog
from carawaybank.steering.exchange import Exchange
from carawaybank.steering.membership import Member, Membership, Status
from carawaybank.steering.monitor import GroupOptions, Peer, PeerMonitor
from carawaybank.steering.ownership import DeathProof, Ownership
from carawaybank.steering.quarantine import CrashReport
from carawaybank.steering.tickets import AcceptedTicket

_UPDATE_FANOUT = 3  # Monitored members to which a changed membership record is sent at once.
_RUMOUR_FANOUT = 4  # Random members to which new tickets and crash reports are sent at once.
_RUMOUR_TRANSMISSIONS = 8  # Number of exchanges in which a changed membership record is sent.
_MAX_TICKETS_PER_EXCHANGE = 8
_MAX_UPDATES_PER_EXCHANGE = 12
_MAX_CRASHES_PER_EXCHANGE = 100
_FORGET_DEAD_AFTER_S = 14_400.0
# For this time after an update, exchanges carry the crash reports, or the tickets that the peer
# lacks, even if they were sent to it before.
_RECENT_UPDATE_S = 2.0


class RequestState(Protocol):
    """The state of request steering that exchanges carry."""

    def released_units(self) -> dict[str, int]:
        """Returns, by key, the units still in use here of keys that others own now."""

    def free_slots(self, now: float) -> dict[str, int]:
        """Returns the free slots at owned targets, by service."""

    def crash_reports(self) -> list[CrashReport]:
        """Returns the crash reports in the quarantine, the most recent ones last."""


class Group:
    """The gossip protocol in one entry VM; its host sends the exchanges."""

    def __init__(
        self,
        *,
        membership: Membership,
        ownership: Ownership,
        log: TicketLog,
        options: GroupOptions,
        rng: random.Random,
    ) -> None:
        """Starts without peers.

        Args:
            membership: Records of the entry VMs.
            ownership: Ownership of keys in the cell.
            log: Accepted tickets.
            options: Intervals.
            rng: Source of random choices of members.
        """
        self._membership = membership
        self._ownership = ownership
        self._ticket_log = log
        self._options = options
        self._rng = rng
        self._monitor = PeerMonitor(membership=membership, options=options)
        self._peers = self._monitor.peers
        self._transmissions_left: dict[str, int] = {}
        self._due_now: set[str] = set()
        self._gossiped_at = -1e9
        self._tickets_updated_at = -1e9
        self._crash_fanout_at = -1e9
        self._dead_since: dict[str, float] = {}
        self._released_totals: Counter[str] = Counter()
        self._leaving_targets: list[str] = []
        self._requests: RequestState | None = None

    def set_request_state(self, requests: RequestState) -> None:
        """Sets the source of the request steering state that exchanges carry."""
        self._requests = requests

    @property
    def peers(self) -> dict[str, Peer]:
        """State of the exchanges with other entry VMs, by name."""
        return self._peers

    @property
    def has_due_exchange(self) -> bool:
        """Whether an exchange with any member is due ahead of its interval."""
        return bool(self._due_now)

    def units_used_by_former_owners(self, key: str) -> int:
        """Returns the units of a key that other members of the cell still use as former owners."""
        return self._released_totals.get(key, 0)

    def compose(self, vm: str | None, now: float, *, with_crashes: bool = False) -> Exchange:
        """Returns the exchange to send to a member, and records that it was sent.

        ``vm`` is None if only the receiver's address is known. Crash reports are included after a
        recent update, or if ``with_crashes`` is set.
        """
        own = self._membership.own
        peer = self._peers.get(vm) if vm else None
        message = Exchange(
            vm=own.vm,
            incarnation=own.incarnation,
            recognized=self._recognized_incarnation(vm),
            held=self._ticket_log.highest_held,
            digest=self._membership.digest(),
        )
        members = self._records_to_send(peer, is_first=peer is None)
        if members:
            message["members"] = members
        self._add_optional_fields(message, peer, now)
        if peer is not None and peer.received_bucket_digests:
            message["bucket_digests"] = self._membership.bucket_digests()
            peer.received_bucket_digests = []
        if with_crashes or now - self._crash_fanout_at < _RECENT_UPDATE_S:
            message["crashes"] = self._crash_reports()
        if peer is not None:
            peer.last_sent_at = now
        self._due_now.discard(vm or "")
        return message

    def receive(self, message: Exchange, now: float) -> tuple[CrashReport, ...]:
        """Merges an exchange from a sibling; returns the crash reports in it."""
        for record in message.get("members", []):
            self._merge_record(record, now)
        self._update_peer(message, now)
        held_before = self._ticket_log.highest_held
        self._ticket_log.add(message.get("tickets", []), now=now)
        if self._ticket_log.highest_held > held_before:
            self._tickets_updated_at = now
            self.schedule_fanout()
        return tuple(message.get("crashes", []))

    def reply(self, message: Exchange, now: float) -> Exchange:
        """Returns the response to an exchange; :meth:`receive` must have merged it before."""
        response = self.compose(message["vm"], now)
        members = self._records_for_reply(message, response.get("members", []))
        if members:
            response["members"] = members
        last_seen_ages_s = {
            vm: round(now - self._peers[vm].last_seen_at, 2)
            for vm in message.get("doubts", [])
            if vm in self._peers
        }
        if last_seen_ages_s:
            response["heard"] = last_seen_ages_s
        if message["digest"] != response["digest"]:
            response["bucket_digests"] = self._membership.bucket_digests()
        if message.get("crashes") or message.get("members"):
            response["crashes"] = self._crash_reports()
        return response

    def add_tickets(self, tickets: Iterable[AcceptedTicket], now: float) -> bool:
        """Adds tickets read from the store; returns whether the highest number held rose."""
        if not self._ticket_log.add(tickets, now=now):
            return False
        self._tickets_updated_at = now
        self.schedule_fanout()
        return True

    def schedule_fanout(self) -> None:
        """Makes exchanges with the monitored and a few random members due at once."""
        others = self._membership.other_members()
        self._due_now.update(self._monitor.members())
        sampled = self._rng.sample(others, min(_RUMOUR_FANOUT, len(others)))
        self._due_now.update(member.vm for member in sampled)

    def schedule_crash_fanout(self, now: float) -> None:
        """Makes exchanges that carry crash reports due at once."""
        self._crash_fanout_at = now
        self.schedule_fanout()

    def due(self, now: float) -> list[Member]:
        """Returns the members due for an exchange now; those ahead of their interval only once."""
        names = set(self._monitor.due(now))
        names |= self._due_now
        if now - self._gossiped_at >= self._options.gossip_s:
            self._gossiped_at = now
            others = self._membership.other_members()
            if others:
                names.add(self._rng.choice(others).vm)
        self._due_now.clear()
        records = [self._membership.find(vm) for vm in sorted(names)]
        return [m for m in records if m is not None and m.status is not Status.DEAD]

    def tick(self, now: float) -> bool:
        """Puts held tickets in force; returns whether any came into force.

        Members without heartbeats are suspected; those dead for several hours are forgotten.
        """
        if self._monitor.update_overdue(now):
            self._due_now.update(self._monitor.members())
        for vm in self._monitor.find_timed_out(now):
            if self._membership.set_status(vm, Status.SUSPECT) is not None:
                self._queue_update(vm)
        for vm in [v for v, died in self._dead_since.items() if now - died > _FORGET_DEAD_AFTER_S]:
            del self._dead_since[vm]
            self._membership.forget(vm)
            self._ownership.forget(vm)
        return self._ticket_log.apply_held(held_by_cell=self._numbers_held_by_cell(), now=now)

    def mark_dead(self, vm: str, incarnation: int, proof: DeathProof, now: float) -> bool:
        """Marks a member dead whose process has ended; returns whether it was believed to run."""
        member = self._membership.find(vm)
        if member is None or member.incarnation != incarnation or member.status is Status.DEAD:
            return False
        self._membership.set_status(vm, Status.DEAD)
        self._handle_change(vm, now)
        self._ownership.record_death(vm, incarnation=incarnation, proof=proof)
        return True

    def record_leaving_targets(self, names: list[str]) -> None:
        """Records the VM list's leaving targets; a change goes to the monitored members at once."""
        if names != self._leaving_targets:
            self._leaving_targets = names
            self._due_now.update(self._monitor.members())

    def announce_departure(self) -> None:
        """Gives up all keys and announces to all members at once that this member is leaving."""
        self._ownership.release_all()
        self._membership.set_status(self._membership.own.vm, Status.LEAVING)
        self._queue_update(self._membership.own.vm)
        self._due_now.update(member.vm for member in self._membership.other_members())

    def _update_peer(self, message: Exchange, now: float) -> None:
        """Records what a sender reports, unless it is unknown, outdated or recorded as dead."""
        vm = message["vm"]
        member = self._membership.find(vm)
        if member is None or member.incarnation > message["incarnation"]:
            return
        if member.status is Status.DEAD:
            return
        peer = self._peers.setdefault(vm, Peer(now=now))
        peer.last_seen_at = now
        peer.held_ticket = message["held"]
        if peer.held_ticket < self._ticket_log.highest_held:
            peer.is_lagging = True
            self._due_now.add(vm)
        self._record_released_units(peer, message.get("released", {}), vm)
        if message.get("bucket_digests") and message["digest"] != self._membership.digest():
            peer.received_bucket_digests = message["bucket_digests"]
            self._due_now.add(vm)
        for suspected_vm, age_s in message.get("heard", {}).items():
            suspect = self._peers.get(suspected_vm)
            if suspect is not None:
                suspect.last_seen_by_sibling_at = max(suspect.last_seen_by_sibling_at, now - age_s)
        if message["recognized"] == self._membership.own.incarnation:
            self._ownership.confirm_recognition(vm, incarnation=message["incarnation"])

    def _merge_record(self, record: Member, now: float) -> None:
        previous = self._membership.find(record.vm)
        if previous is None and record.status is Status.DEAD:
            self._ownership.record_death(
                record.vm, incarnation=record.incarnation, proof=DeathProof.ANNOUNCED_STOP
            )
            return
        if not self._membership.merge(record):
            return
        self._handle_change(record.vm, now)
        own = self._membership.own
        if record.vm == own.vm or record.cell != own.cell:
            return
        if previous is not None and previous.incarnation < record.incarnation:
            self._ownership.record_death(
                record.vm, incarnation=previous.incarnation, proof=DeathProof.NEWER_INCARNATION
            )
        if record.status in (Status.LEAVING, Status.DEAD):
            self._ownership.record_death(
                record.vm, incarnation=record.incarnation, proof=DeathProof.ANNOUNCED_STOP
            )
        else:
            self._ownership.observe_member(record.vm, incarnation=record.incarnation)

    def _handle_change(self, vm: str, now: float) -> None:
        self._queue_update(vm)
        member = self._membership.find(vm)
        if member is not None and member.status is Status.DEAD:
            self._dead_since[vm] = now
            self._drop_peer(vm)
        elif member is not None:
            self._peers.setdefault(vm, Peer(now=now))

    def _drop_peer(self, vm: str) -> None:
        peer = self._peers.pop(vm, None)
        if peer is not None:
            self._released_totals.subtract(peer.released_units)

    def _record_released_units(self, peer: Peer, released_units: dict[str, int], vm: str) -> None:
        member = self._membership.find(vm)
        if member is None or member.cell != self._membership.own.cell:
            return
        self._released_totals.subtract(peer.released_units)
        peer.released_units = released_units
        self._released_totals.update(released_units)

    def _queue_update(self, vm: str) -> None:
        self._transmissions_left[vm] = _RUMOUR_TRANSMISSIONS
        self._due_now.update(self._monitor.members()[:_UPDATE_FANOUT])

    def _records_to_send(self, peer: Peer | None, *, is_first: bool) -> list[Member]:
        """Returns the membership records to send, only this member's own to a new receiver."""
        if is_first:
            return [self._membership.own]
        names = list(self._transmissions_left)[:_MAX_UPDATES_PER_EXCHANGE]
        for vm in names:
            self._transmissions_left[vm] -= 1
            if self._transmissions_left[vm] <= 0:
                del self._transmissions_left[vm]
        records = [self._membership.find(vm) for vm in names]
        members = [member for member in records if member is not None]
        if peer is not None and peer.received_bucket_digests:
            included = {member.vm for member in members}
            differing = self._membership.records_differing_from(peer.received_bucket_digests)
            members.extend(member for member in differing if member.vm not in included)
        return members

    def _records_for_reply(self, message: Exchange, updates: list[Member]) -> list[Member]:
        """Returns recent updates and the records that differ from the sender's.

        A sender that sent records also receives this member's own record. A sender that is
        recorded as dead receives that record.
        """
        records = {member.vm: member for member in updates}
        differing = self._membership.records_differing_from(message.get("bucket_digests", []))
        records.update((member.vm, member) for member in differing)
        own = self._membership.own
        if message.get("members"):
            records[own.vm] = own
        sender = self._membership.find(message["vm"])
        if sender is not None and sender.status is Status.DEAD:
            records[sender.vm] = sender
        return list(records.values())

    def _add_optional_fields(self, message: Exchange, peer: Peer | None, now: float) -> None:
        if self._requests is not None:
            self._add_request_state(message, peer, self._requests, now)
        if self._leaving_targets:
            message["leaving"] = self._leaving_targets
        overdue = self._monitor.overdue(now)
        if overdue:
            message["doubts"] = overdue
        if (
            peer is not None
            and peer.held_ticket < self._ticket_log.highest_held
            and self._should_send_tickets(peer, now)
        ):
            peer.is_lagging = False
            if self._ticket_log.has_tickets_after(peer.held_ticket):
                message["tickets"] = self._ticket_log.after(
                    peer.held_ticket, limit=_MAX_TICKETS_PER_EXCHANGE
                )
            else:
                message["behind"] = True

    def _add_request_state(
        self, message: Exchange, peer: Peer | None, requests: RequestState, now: float
    ) -> None:
        released_units = requests.released_units()
        if released_units:
            message["released"] = released_units
        free = requests.free_slots(now)
        if free and (peer is None or free != peer.free_slots_sent):
            message["free"] = free
            if peer is not None:
                peer.free_slots_sent = free

    def _crash_reports(self) -> list[CrashReport]:
        return self._requests.crash_reports()[-_MAX_CRASHES_PER_EXCHANGE:] if self._requests else []

    def _should_send_tickets(self, peer: Peer, now: float) -> bool:
        # Sent once for each report of a lower number by the peer, and always after a recent update.
        return peer.is_lagging or now - self._tickets_updated_at < _RECENT_UPDATE_S

    def _recognized_incarnation(self, vm: str | None) -> int:
        if vm is None:
            return 0
        holder = self._ownership.holders.get(vm)
        return holder.incarnation if holder else 0

    def _numbers_held_by_cell(self) -> list[int]:
        return [
            self._peers[member.vm].held_ticket
            for member in self._membership.cell_peers()
            if member.is_serving and member.vm in self._peers
        ]
