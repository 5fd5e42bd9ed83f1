"""The group of entry VMs: heartbeats, membership, ownership and tickets in one exchange.

Each entry VM watches the members of its cell, and a few more where the cell is small. Of each
watching pair one side sends at the heartbeat interval and the other answers; the answer is a
heartbeat too. Once a second an exchange goes to a random member, and news goes to a few members at
once, who pass it on.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from carawaybank.steering import hashing
from carawaybank.steering.dissemination import TicketLog
from carawaybank.steering.exchange import Exchange
from carawaybank.steering.membership import Member, Membership, Status
from carawaybank.steering.ownership import DeathProof, Ownership
from carawaybank.steering.quarantine import CrashReport
from carawaybank.steering.tickets import AcceptedTicket

_MIN_WATCHED = 3
_RUMOUR_FANOUT = 4
_RUMOUR_TRANSMISSIONS = 8
_MAX_TICKETS = 8
_MAX_MEMBERS = 12
_FORGET_AFTER_S = 3600.0
_DOUBT_SHARE = 0.7
_FRESH_NEWS_S = 2.0


class GroupOptions(NamedTuple):
    """Intervals of the group, in seconds.

    Attributes:
        heartbeat_s: Time between exchanges of a watching pair.
        suspect_after_s: Silence after which a member is suspected.
        gossip_s: Time between exchanges with a random member.
        hold_limit_s: Longest time that a ticket waits for silent members of the cell.
    """

    heartbeat_s: float = 0.7
    suspect_after_s: float = 1.6
    gossip_s: float = 3.0
    hold_limit_s: float = 1.0


class Peer:
    """What is known of an entry VM from exchanges with it."""

    def __init__(self, *, now: float) -> None:
        """Starts as just heard of.

        Args:
            now: The time.
        """
        self.heard_at = now
        self.sent_at = -1e9
        self.held = 0
        self.released: dict[str, int] = {}
        self.buckets_wanted: list[str] = []
        self.indirect_at = -1e9
        self.free_sent: dict[str, int] = {}
        self.doubted = False
        self.is_behind = False


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
        self._peers: dict[str, Peer] = {}
        self._news: dict[str, int] = {}
        self._due: set[str] = set()
        self._gossiped_at = -1e9
        self._news_at = -1e9
        self._dead_since: dict[str, float] = {}
        self._released_totals: Counter[str] = Counter()
        self._leaving: list[str] = []
        self._release_source: Callable[[], dict[str, int]] = dict
        self._free_source: Callable[[float], dict[str, int]] = lambda _: {}
        self._crash_source: Callable[[], list[CrashReport]] = list

    def attach(
        self,
        *,
        released: Callable[[], dict[str, int]],
        free: Callable[[float], dict[str, int]],
        crashes: Callable[[], list[CrashReport]],
    ) -> None:
        """Sets where exchanges take what the steering of requests knows.

        Args:
            released: Units still in use of keys that others own.
            free: Free slots by service.
            crashes: Crash reports kept.
        """
        self._release_source = released
        self._free_source = free
        self._crash_source = crashes

    @property
    def peers(self) -> dict[str, Peer]:
        """Entry VMs that were heard from."""
        return self._peers

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
        if with_crashes:
            message["crashes"] = self._crash_source()
        if vm:
            self._peers.setdefault(vm, Peer(now=now)).sent_at = now
            self._due.discard(vm)
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
        if message.get("members"):
            own = self._membership.own
            answer["members"] = [*answer.get("members", []), own]
        heard = {
            vm: round(now - self._peers[vm].heard_at, 2)
            for vm in message.get("doubts", [])
            if vm in self._peers
        }
        if heard:
            answer["heard"] = heard
        if message["digest"] != answer["digest"]:
            answer["bucket_digests"] = self._membership.bucket_digests()
        theirs = message.get("bucket_digests")
        if theirs:
            answer["members"] = self._membership.differing(theirs)
        if message.get("crashes"):
            answer["crashes"] = self._crash_source()
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
        others = [member.vm for member in self._membership.others()]
        self._due.update(self.watched())
        self._due.update(self._rng.sample(others, min(_RUMOUR_FANOUT, len(others))))

    def due(self, now: float) -> list[Member]:
        """Returns the members to which an exchange must be sent now."""
        names = {vm for vm in self.watched() if self._is_heartbeat_due(vm, now)}
        names |= self._due
        if now - self._gossiped_at >= self._options.gossip_s:
            self._gossiped_at = now
            others = [m.vm for m in self._membership.others() if m.vm not in names]
            if others:
                names.add(self._rng.choice(others))
        self._due.clear()
        found = [self._membership.find(vm) for vm in sorted(names)]
        return [m for m in found if m is not None and m.status is not Status.DEAD]

    def watched(self) -> list[str]:
        """Returns the members of the cell, and more by rank where the cell is small."""
        own = self._membership.own
        others = self._membership.others()
        cell = [m.vm for m in others if m.cell == own.cell]
        if len(cell) >= _MIN_WATCHED:
            return cell
        rest = [m.vm for m in others if m.cell != own.cell]
        ranked = hashing.rank(key=own.vm, members=rest)
        return cell + ranked[: _MIN_WATCHED - len(cell)]

    def tick(self, now: float) -> bool:
        """Suspects silent members and puts tickets in force; returns whether any came in force."""
        self._ask_about_doubts(now)
        for vm in self.watched():
            if self._is_silent(vm, now):
                self._suspect(vm)
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
            self._due.update(self.watched())

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
        self._due.update(self.watched()[:_MIN_WATCHED])

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

    def _add_state(self, message: Exchange, peer: Peer | None, now: float) -> None:
        released = self._release_source()
        if released:
            message["released"] = released
        free = self._free_source(now)
        if free and (peer is None or free != peer.free_sent):
            message["free"] = free
            if peer is not None:
                peer.free_sent = free
        if self._leaving:
            message["leaving"] = self._leaving
        doubts = [vm for vm in self.watched() if self._is_doubtful(vm, now)]
        if doubts:
            message["doubts"] = doubts
        if peer is not None and peer.held < self._log.held and self._may_lack(peer, now):
            peer.is_behind = False
            if self._log.can_follow(peer.held):
                message["tickets"] = self._log.after(peer.held, limit=_MAX_TICKETS)
            else:
                message["behind"] = True

    def _may_lack(self, peer: Peer, now: float) -> bool:
        """Returns whether the peer's number is recent enough to send what follows it."""
        return peer.is_behind or now - self._news_at < _FRESH_NEWS_S

    def _recognized(self, vm: str | None) -> int:
        if vm is None:
            return 0
        holder = self._ownership.holders.get(vm)
        return holder.incarnation if holder else 0

    def _is_heartbeat_due(self, vm: str, now: float) -> bool:
        peer = self._peers.get(vm)
        if peer is None:
            return True
        interval = self._options.heartbeat_s
        own = self._membership.own.vm
        if not _initiates(own, vm):
            interval *= 1.5
        return now - max(peer.sent_at, min(peer.heard_at, now)) >= interval

    def _is_doubtful(self, vm: str, now: float) -> bool:
        peer = self._peers.get(vm)
        return (
            peer is not None and now - peer.heard_at > _DOUBT_SHARE * self._options.suspect_after_s
        )

    def _ask_about_doubts(self, now: float) -> None:
        """Makes exchanges due at once when a watched member falls silent, to ask the others."""
        for vm in self.watched():
            peer = self._peers.get(vm)
            if peer is None:
                continue
            doubtful = self._is_doubtful(vm, now)
            if doubtful and not peer.doubted:
                self._due.update(self.watched())
            peer.doubted = doubtful

    def _is_silent(self, vm: str, now: float) -> bool:
        peer = self._peers.get(vm)
        if peer is None:
            return False
        last = max(peer.heard_at, peer.indirect_at)
        return now - last > self._options.suspect_after_s

    def _suspect(self, vm: str) -> None:
        if self._membership.set_status(vm, Status.SUSPECT) is not None:
            self._mark_news(vm)

    def _held_by_cell(self) -> list[int]:
        own = self._membership.own
        return [
            self._peers[m.vm].held
            for m in self._membership.all()
            if m.cell == own.cell and m.vm != own.vm and m.is_serving and m.vm in self._peers
        ]


def _initiates(own: str, other: str) -> bool:
    low, high = sorted((own, other))
    even = hashing.score(key=low, member=high) % 2 == 0
    return (own == low) == even
