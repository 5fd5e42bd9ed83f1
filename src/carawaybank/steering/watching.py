"""Watching: which members this one exchanges heartbeats with, and which of them are silent."""

from typing import NamedTuple

from carawaybank.steering import hashing
from carawaybank.steering.membership import Membership

_MIN_WATCHED = 3
_DOUBT_SHARE = 0.7
_ANSWERER_INTERVALS = 1.5
_NEVER = -1e9


class GroupOptions(NamedTuple):
    """Intervals of the group, in seconds.

    Attributes:
        heartbeat_s: Time between exchanges of a watching pair.
        suspect_after_s: Silence after which a member is suspected.
        gossip_s: Time between exchanges with a random member.
    """

    heartbeat_s: float = 0.7
    suspect_after_s: float = 1.6
    gossip_s: float = 3.0


class Peer:
    """What is known of an entry VM from exchanges with it."""

    def __init__(self, *, now: float) -> None:
        """Starts as just heard of.

        Args:
            now: The time.
        """
        self.heard_at = now
        self.sent_at = _NEVER
        self.indirect_at = _NEVER
        self.held = 0
        self.released: dict[str, int] = {}
        self.buckets_wanted: list[str] = []
        self.free_sent: dict[str, int] = {}
        self.is_doubted = False
        self.is_behind = False


class Watch:
    """Heartbeats and silence of the watched members."""

    def __init__(self, *, membership: Membership, options: GroupOptions) -> None:
        """Starts without peers.

        Args:
            membership: Records of the entry VMs.
            options: Intervals.
        """
        self._membership = membership
        self._options = options
        self._watched: list[str] = []
        self._version = -1
        self.peers: dict[str, Peer] = {}

    def members(self) -> list[str]:
        """Returns the members of the cell, and more by rank where the cell is small."""
        version = self._membership.version
        if version != self._version:
            self._watched = self._find_members()
            self._version = version
        return self._watched

    def due(self, now: float) -> list[str]:
        """Returns the watched members to which a heartbeat must be sent now."""
        return [vm for vm in self.members() if self._is_due(vm, now)]

    def doubtful(self, now: float) -> list[str]:
        """Returns the watched members that were not heard lately."""
        limit = _DOUBT_SHARE * self._options.suspect_after_s
        return [vm for vm, peer in self._peers() if now - peer.heard_at > limit]

    def note_doubts(self, now: float) -> bool:
        """Records who is doubtful; returns whether anyone newly is."""
        doubtful = set(self.doubtful(now))
        news = False
        for vm, peer in self._peers():
            news = news or (vm in doubtful and not peer.is_doubted)
            peer.is_doubted = vm in doubtful
        return news

    def silent(self, now: float) -> list[str]:
        """Returns the watched members that neither this one nor a sibling heard for too long."""
        limit = self._options.suspect_after_s
        return [
            vm for vm, peer in self._peers() if now - max(peer.heard_at, peer.indirect_at) > limit
        ]

    def _peers(self) -> list[tuple[str, Peer]]:
        return [(vm, self.peers[vm]) for vm in self.members() if vm in self.peers]

    def _is_due(self, vm: str, now: float) -> bool:
        peer = self.peers.get(vm)
        if peer is None:
            return True
        interval = self._options.heartbeat_s
        if not _initiates(self._membership.own.vm, vm):
            interval *= _ANSWERER_INTERVALS
        return now - max(peer.sent_at, peer.heard_at) >= interval

    def _find_members(self) -> list[str]:
        own = self._membership.own
        cell = [member.vm for member in self._membership.cell_mates()]
        if len(cell) >= _MIN_WATCHED:
            return cell
        rest = [m.vm for m in self._membership.others() if m.cell != own.cell]
        ranked = hashing.rank(key=own.vm, members=rest)
        return cell + ranked[: _MIN_WATCHED - len(cell)]


def _initiates(own: str, other: str) -> bool:
    """Returns whether the own side of a watching pair is the one that sends."""
    low, high = sorted((own, other))
    low_sends = hashing.score(key=low, member=high) % 2 == 0
    return (own == low) == low_sends
