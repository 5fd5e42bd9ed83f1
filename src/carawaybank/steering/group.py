"""The group of entry VMs: heartbeats, membership, ownership and tickets in one exchange.

Each entry VM watches the members of its cell, and a few more where the cell is small. Of each
watching pair one side sends at the heartbeat interval and the other answers; the answer is a
heartbeat too. Now and then an exchange goes to a random member, and news goes to a few members at
once, who pass it on.
"""

import random
from collections import Counter
from collections.abc import Iterable
from typing import Protocol

from carawaybank.steering.dissemination import TicketLog
from carawaybank.steering.exchange import Exchange
from carawaybank.steering.membership import Member, Membership, Status
from carawaybank.steering.ownership import DeathProof, Ownership
from carawaybank.steering.quarantine import CrashReport
from carawaybank.steering.tickets import AcceptedTicket
from carawaybank.steering.watching import GroupOptions, Peer, Watch

_NEWS_FANOUT = 3
_RUMOUR_FANOUT = 4
_RUMOUR_TRANSMISSIONS = 8
_MAX_TICKETS = 8
_MAX_MEMBERS = 12
_MAX_CRASHES = 100
_FORGET_AFTER_S = 14_400.0
_FRESH_NEWS_S = 2.0


class RequestState(Protocol):
    """What exchanges tell of the steering of requests."""

    def released(self) -> dict[str, int]:
        """Returns units still in use of keys that others own."""

    def free_slots(self, now: float) -> dict[str, int]:
        """Returns free owned slots by service."""

    def crashes(self) -> list[CrashReport]:
        """Returns the crash reports kept."""


class Group:
    """One entry VM's part in the group."""

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
            ownership: Who owns which key in the cell.
            log: Accepted tickets.
            options: Intervals.
            rng: Source of random peers.
        """
        self._membership = membership
        self._ownership = ownership
        self._log = log
        self._options = options
        self._rng = rng
        self._watch = Watch(membership=membership, options=options)
        self._peers = self._watch.peers
        self._news: dict[str, int] = {}
        self._due: set[str] = set()
        self._gossiped_at = -1e9
        self._news_at = -1e9
        self._crashes_at = -1e9
        self._dead_since: dict[str, float] = {}
        self._released_totals: Counter[str] = Counter()
        self._leaving: list[str] = []
        self._requests: RequestState | None = None

    def attach(self, requests: RequestState) -> None:
        """Sets where exchanges take what the steering of requests knows."""
        self._requests = requests

    @property
    def peers(self) -> dict[str, Peer]:
        """Entry VMs that were heard from."""
        return self._peers

    @property
    def has_due(self) -> bool:
        """Whether an exchange became due ahead of its interval."""
        return bool(self._due)

    def released_by_others(self, key: str) -> int:
        """Returns units of a key that other members of the cell still use."""
        return self._released_totals.get(key, 0)

    def compose(self, vm: str | None, now: float, *, with_crashes: bool = False) -> Exchange:
        """Returns the exchange to send to a member, or to an address not yet known by name."""
        own = self._membership.own
        peer = self._peers.get(vm) if vm else None
        message = Exchange(
            vm=own.vm,
            incarnation=own.incarnation,
            recognized=self._recognized(vm),
            held=self._log.held,
            digest=self._membership.digest(),
        )
        members = self._members_for(peer, first=peer is None)
        if members:
            message["members"] = members
        self._add_state(message, peer, now)
        if peer is not None and peer.buckets_wanted:
            message["bucket_digests"] = self._membership.bucket_digests()
            peer.buckets_wanted = []
        if with_crashes or now - self._crashes_at < _FRESH_NEWS_S:
            message["crashes"] = self._crashes()
        if peer is not None:
            peer.sent_at = now
        self._due.discard(vm or "")
        return message

    def receive(self, message: Exchange, now: float) -> tuple[CrashReport, ...]:
        """Takes an exchange from a sibling; returns the crash reports in it."""
        for record in message.get("members", []):
            self._merge(record, now)
        self._hear(message, now)
        held_before = self._log.held
        self._log.offer(message.get("tickets", []), now=now)
        if self._log.held > held_before:
            self._news_at = now
            self.spread_rumour()
        return tuple(message.get("crashes", []))

    def reply(self, message: Exchange, now: float) -> Exchange:
        """Returns the answer to an exchange, after :meth:`receive`."""
        answer = self.compose(message["vm"], now)
        members = self._reply_members(message, answer.get("members", []))
        if members:
            answer["members"] = members
        heard = {
            vm: round(now - self._peers[vm].heard_at, 2)
            for vm in message.get("doubts", [])
            if vm in self._peers
        }
        if heard:
            answer["heard"] = heard
        if message["digest"] != answer["digest"]:
            answer["bucket_digests"] = self._membership.bucket_digests()
        if message.get("crashes") or message.get("members"):
            answer["crashes"] = self._crashes()
        return answer

    def accept_tickets(self, tickets: Iterable[AcceptedTicket], now: float) -> bool:
        """Takes tickets read from the store; returns whether any was new."""
        if not self._log.offer(tickets, now=now):
            return False
        self._news_at = now
        self.spread_rumour()
        return True

    def spread_rumour(self) -> None:
        """Makes exchanges with the watched and a few random members due at once."""
        others = self._membership.others()
        self._due.update(self._watch.members())
        chosen = self._rng.sample(others, min(_RUMOUR_FANOUT, len(others)))
        self._due.update(member.vm for member in chosen)

    def spread_crashes(self, now: float) -> None:
        """Makes exchanges due at once that carry crash reports."""
        self._crashes_at = now
        self.spread_rumour()

    def due(self, now: float) -> list[Member]:
        """Returns the members to which an exchange must be sent now."""
        names = set(self._watch.due(now))
        names |= self._due
        if now - self._gossiped_at >= self._options.gossip_s:
            self._gossiped_at = now
            others = self._membership.others()
            if others:
                names.add(self._rng.choice(others).vm)
        self._due.clear()
        found = [self._membership.find(vm) for vm in sorted(names)]
        return [m for m in found if m is not None and m.status is not Status.DEAD]

    def tick(self, now: float) -> bool:
        """Suspects silent members and puts tickets in force; returns whether any came in force."""
        if self._watch.note_doubts(now):
            self._due.update(self._watch.members())
        for vm in self._watch.silent(now):
            if self._membership.set_status(vm, Status.SUSPECT) is not None:
                self._mark_news(vm)
        for vm in [v for v, since in self._dead_since.items() if now - since > _FORGET_AFTER_S]:
            del self._dead_since[vm]
            self._membership.forget(vm)
            self._ownership.forget(vm)
        return self._log.advance(held_by_cell=self._held_by_cell(), now=now)

    def prove_dead(self, vm: str, incarnation: int, proof: DeathProof, now: float) -> bool:
        """Removes a member whose process ended; returns whether it was thought to run."""
        member = self._membership.find(vm)
        if member is None or member.incarnation != incarnation or member.status is Status.DEAD:
            return False
        self._membership.set_status(vm, Status.DEAD)
        self._after_change(vm, now)
        self._ownership.prove_dead(vm, incarnation=incarnation, proof=proof)
        return True

    def note_leaving_targets(self, names: list[str]) -> None:
        """Records the targets that the VM list calls leaving; the cell hears of changes at once."""
        if names != self._leaving:
            self._leaving = names
            self._due.update(self._watch.members())

    def leave(self) -> None:
        """Tells all members that this one stops serving callers and owns nothing more."""
        self._ownership.release()
        self._membership.set_status(self._membership.own.vm, Status.LEAVING)
        self._mark_news(self._membership.own.vm)
        self._due.update(member.vm for member in self._membership.others())

    def _hear(self, message: Exchange, now: float) -> None:
        vm = message["vm"]
        member = self._membership.find(vm)
        if member is None or member.incarnation > message["incarnation"]:
            return
        if member.status is Status.DEAD:
            return
        peer = self._peers.setdefault(vm, Peer(now=now))
        peer.heard_at = now
        peer.held = message["held"]
        if peer.held < self._log.held:
            peer.is_behind = True
            self._due.add(vm)
        self._note_released(peer, message.get("released", {}), vm)
        if message.get("bucket_digests") and message["digest"] != self._membership.digest():
            peer.buckets_wanted = message["bucket_digests"]
            self._due.add(vm)
        for watched, age in message.get("heard", {}).items():
            other = self._peers.get(watched)
            if other is not None:
                other.indirect_at = max(other.indirect_at, now - age)
        if message["recognized"] == self._membership.own.incarnation:
            self._ownership.confirm_recognition(vm, incarnation=message["incarnation"])

    def _merge(self, record: Member, now: float) -> None:
        before = self._membership.find(record.vm)
        if before is None and record.status is Status.DEAD:
            self._ownership.prove_dead(
                record.vm, incarnation=record.incarnation, proof=DeathProof.GOODBYE
            )
            return
        if not self._membership.merge(record):
            return
        self._after_change(record.vm, now)
        own = self._membership.own
        if record.vm == own.vm or record.cell != own.cell:
            return
        if before is not None and before.incarnation < record.incarnation:
            self._ownership.prove_dead(
                record.vm, incarnation=before.incarnation, proof=DeathProof.NEWER_INCARNATION
            )
        if record.status in (Status.LEAVING, Status.DEAD):
            self._ownership.prove_dead(
                record.vm, incarnation=record.incarnation, proof=DeathProof.GOODBYE
            )
        else:
            self._ownership.observe_member(record.vm, incarnation=record.incarnation)

    def _after_change(self, vm: str, now: float) -> None:
        self._mark_news(vm)
        member = self._membership.find(vm)
        if member is not None and member.status is Status.DEAD:
            self._dead_since[vm] = now
            self._drop_peer(vm)
        elif member is not None:
            self._peers.setdefault(vm, Peer(now=now))

    def _drop_peer(self, vm: str) -> None:
        peer = self._peers.pop(vm, None)
        if peer is not None:
            self._released_totals.subtract(peer.released)

    def _note_released(self, peer: Peer, released: dict[str, int], vm: str) -> None:
        member = self._membership.find(vm)
        if member is None or member.cell != self._membership.own.cell:
            return
        self._released_totals.subtract(peer.released)
        peer.released = released
        self._released_totals.update(released)

    def _mark_news(self, vm: str) -> None:
        self._news[vm] = _RUMOUR_TRANSMISSIONS
        self._due.update(self._watch.members()[:_NEWS_FANOUT])

    def _members_for(self, peer: Peer | None, *, first: bool) -> list[Member]:
        if first:
            return [self._membership.own]
        names = list(self._news)[:_MAX_MEMBERS]
        for vm in names:
            self._news[vm] -= 1
            if self._news[vm] <= 0:
                del self._news[vm]
        found = [self._membership.find(vm) for vm in names]
        members = [member for member in found if member is not None]
        if peer is not None and peer.buckets_wanted:
            known = {member.vm for member in members}
            differing = self._membership.differing(peer.buckets_wanted)
            members.extend(member for member in differing if member.vm not in known)
        return members

    def _reply_members(self, message: Exchange, news: list[Member]) -> list[Member]:
        """Returns news, differing records, ourselves to newcomers, and their death to the dead."""
        found = {member.vm: member for member in news}
        differing = self._membership.differing(message.get("bucket_digests", []))
        found.update((member.vm, member) for member in differing)
        own = self._membership.own
        if message.get("members"):
            found[own.vm] = own
        sender = self._membership.find(message["vm"])
        if sender is not None and sender.status is Status.DEAD:
            found[sender.vm] = sender
        return list(found.values())

    def _add_state(self, message: Exchange, peer: Peer | None, now: float) -> None:
        if self._requests is not None:
            self._add_requests(message, peer, self._requests, now)
        if self._leaving:
            message["leaving"] = self._leaving
        doubts = self._watch.doubtful(now)
        if doubts:
            message["doubts"] = doubts
        if peer is not None and peer.held < self._log.held and self._may_lack(peer, now):
            peer.is_behind = False
            if self._log.can_follow(peer.held):
                message["tickets"] = self._log.after(peer.held, limit=_MAX_TICKETS)
            else:
                message["behind"] = True

    def _add_requests(
        self, message: Exchange, peer: Peer | None, requests: RequestState, now: float
    ) -> None:
        released = requests.released()
        if released:
            message["released"] = released
        free = requests.free_slots(now)
        if free and (peer is None or free != peer.free_sent):
            message["free"] = free
            if peer is not None:
                peer.free_sent = free

    def _crashes(self) -> list[CrashReport]:
        return self._requests.crashes()[-_MAX_CRASHES:] if self._requests else []

    def _may_lack(self, peer: Peer, now: float) -> bool:
        """Returns whether the peer's number is recent enough to send what follows it."""
        return peer.is_behind or now - self._news_at < _FRESH_NEWS_S

    def _recognized(self, vm: str | None) -> int:
        if vm is None:
            return 0
        holder = self._ownership.holders.get(vm)
        return holder.incarnation if holder else 0

    def _held_by_cell(self) -> list[int]:
        return [
            self._peers[member.vm].held
            for member in self._membership.cell_mates()
            if member.is_serving and member.vm in self._peers
        ]
