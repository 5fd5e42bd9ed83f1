"""Heartbeat monitoring of other entry VMs.

Selects the members to exchange heartbeats with, and finds those whose heartbeats are missing.
"""

from typing import NamedTuple

from carawaybank.steering import hashing
from carawaybank.steering.membership import Membership

_MIN_MONITORED = 3
# Fraction of the suspicion timeout after which siblings are asked when they last heard from a
# member that sent no heartbeat.
_OVERDUE_FRACTION = 0.7
# Heartbeat intervals after which the responding side of a pair sends an exchange itself.
_RESPONDER_INTERVAL_FACTOR = 1.5
_NEVER = -1e9


class GroupOptions(NamedTuple):
    """Intervals of the group, in seconds.

    Attributes:
        heartbeat_s: Time between exchanges of a monitoring pair.
        suspect_after_s: Time without a heartbeat after which a member is suspected.
        gossip_s: Time between exchanges with a random member.
    """

    heartbeat_s: float = 0.7
    suspect_after_s: float = 1.6
    gossip_s: float = 3.0


class Peer:
    """State of the exchanges with another entry VM.

    Attributes:
        last_seen_at: Time at which it was last heard from.
        last_sent_at: Time of the latest exchange sent to it.
        last_seen_by_sibling_at: Latest time at which a sibling reported to have heard from it.
        held_ticket: Highest ticket number that it reported to hold.
        released_units: Units that it still uses of keys that it no longer owns, by key.
        received_bucket_digests: Bucket digests that it sent, to be compared in the next exchange.
        free_slots_sent: Free slots by service that were last sent to it.
        is_overdue: Whether its heartbeat was overdue at the latest check.
        is_lagging: Whether it reported a lower ticket number since tickets were last sent to it.
    """

    def __init__(self, *, now: float) -> None:
        """Starts as if it had just been heard from.

        Args:
            now: The time.
        """
        self.last_seen_at = now
        self.last_sent_at = _NEVER
        self.last_seen_by_sibling_at = _NEVER
        self.held_ticket = 0
        self.released_units: dict[str, int] = {}
        self.received_bucket_digests: list[str] = []
        self.free_slots_sent: dict[str, int] = {}
        self.is_overdue = False
        self.is_lagging = False


class PeerMonitor:
    """Tracks the heartbeats of the members that this entry VM monitors.

    Attributes:
        peers: State of the exchanges with other entry VMs, by name.
    """

    def __init__(self, *, membership: Membership, options: GroupOptions) -> None:
        """Starts without peers.

        Args:
            membership: Records of the entry VMs.
            options: Intervals.
        """
        self._membership = membership
        self._options = options
        self._monitored: list[str] = []
        self._membership_version = -1
        self.peers: dict[str, Peer] = {}

    def members(self) -> list[str]:
        """Returns the other members of the cell, and more by hash rank if the cell is small."""
        version = self._membership.version
        if version != self._membership_version:
            self._monitored = self._select_members()
            self._membership_version = version
        return self._monitored

    def due(self, now: float) -> list[str]:
        """Returns the monitored members to which a heartbeat must be sent now."""
        return [vm for vm in self.members() if self._is_due(vm, now)]

    def overdue(self, now: float) -> list[str]:
        """Returns the monitored members whose heartbeat is overdue."""
        limit_s = _OVERDUE_FRACTION * self._options.suspect_after_s
        return [vm for vm, peer in self._monitored_peers() if now - peer.last_seen_at > limit_s]

    def update_overdue(self, now: float) -> bool:
        """Records which members are overdue; returns whether any became so since the last call."""
        overdue = set(self.overdue(now))
        any_new = False
        for vm, peer in self._monitored_peers():
            any_new = any_new or (vm in overdue and not peer.is_overdue)
            peer.is_overdue = vm in overdue
        return any_new

    def find_timed_out(self, now: float) -> list[str]:
        """Returns the monitored members from which no heartbeat arrived within the timeout.

        Heartbeats that siblings received count too.
        """
        limit_s = self._options.suspect_after_s
        return [
            vm
            for vm, peer in self._monitored_peers()
            if now - max(peer.last_seen_at, peer.last_seen_by_sibling_at) > limit_s
        ]

    def _monitored_peers(self) -> list[tuple[str, Peer]]:
        return [(vm, self.peers[vm]) for vm in self.members() if vm in self.peers]

    def _is_due(self, vm: str, now: float) -> bool:
        peer = self.peers.get(vm)
        if peer is None:
            return True
        interval_s = self._options.heartbeat_s
        if not _initiates(self._membership.own.vm, vm):
            interval_s *= _RESPONDER_INTERVAL_FACTOR
        return now - max(peer.last_sent_at, peer.last_seen_at) >= interval_s

    def _select_members(self) -> list[str]:
        own = self._membership.own
        cell = [member.vm for member in self._membership.cell_peers()]
        if len(cell) >= _MIN_MONITORED:
            return cell
        outside_cell = [m.vm for m in self._membership.other_members() if m.cell != own.cell]
        ranked = hashing.rank(key=own.vm, members=outside_cell)
        return cell + ranked[: _MIN_MONITORED - len(cell)]


def _initiates(own: str, other: str) -> bool:
    """Returns whether the own side of a monitoring pair initiates the exchanges."""
    low, high = sorted((own, other))
    low_initiates = hashing.score(key=low, member=high) % 2 == 0
    return (own == low) == low_initiates
