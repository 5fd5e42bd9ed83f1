"""What a VM knows of the slots of allotments and of the VMs that it asks for tokens.

Load pattern: the owner of an allotment ends or is cut off while many requests wait for tokens. A VM
that does not answer is passed over for some seconds, and the next one by rank is asked.
"""

from collections.abc import Iterable

from carawaybank.routing.allotmentbucket import TOKEN_S, AllotmentBucket
from carawaybank.routing.allotmentowners import SlotOwnership, rank_vms

#: Seconds without an answer after which another VM is asked, and for which one is then passed over.
OWNER_TIMEOUT_S = 0.4
SKIP_S = 3.0
#: Minimum seconds between the first and the last ask without an answer; a single one may be lost.
MIN_UNANSWERED_S = 0.09
#: Minimum seconds between asks of the same VM for requests that wait; asks that overtake each other
#: lose tokens.
MIN_ASK_GAP_S = 0.03
#: Bounds of the seconds without an answer after which a VM is asked again for requests that wait,
#: and the part of the average round trip; responses on busy VMs vary by a few tens of ms.
MIN_REPEAT_S = 0.03
MAX_REPEAT_S = 0.25
REPEAT_ROUND_TRIPS = 1.4
#: Seconds for which a VM must be alive without an answer to count as one of an older build; reports
#: on VMs are valid for 5 s.
SILENT_S = 8.0


class Peer:
    """What a VM remembers of another one that asks it for tokens, or that it asks."""

    def __init__(self) -> None:
        """Starts without asks."""
        #: Times of asks that have no answer yet, by their number.
        self.sent: dict[int, float] = {}
        self.confirmed = 0
        self.accepted = 0
        self.accepted_at = float("-inf")
        self.asked_at = float("-inf")
        self.unanswered_since: float | None = None
        self.skipped_until = float("-inf")
        #: Average seconds from an ask to its answer; a round trip between regions at first.
        self._round_trip_s = 0.08

    @property
    def repeat_after_s(self) -> float:
        """Seconds without an answer after which an ask for requests that wait is repeated."""
        return min(MAX_REPEAT_S, max(MIN_REPEAT_S, REPEAT_ROUND_TRIPS * self._round_trip_s))

    def record_ask(self, number: int, now: float) -> None:
        """Records an ask that is sent."""
        self.sent = {n: at for n, at in self.sent.items() if now - at < TOKEN_S}
        self.sent[number] = now
        # A lost answer to an ask long ago says nothing of whether the VM answers now.
        if self.unanswered_since is None or now - self.asked_at > OWNER_TIMEOUT_S:
            self.unanswered_since = now
        self.asked_at = now

    def accept_ask(self, number: int, now: float) -> bool:
        """Returns whether an ask of this VM is newer than the last one.

        A process of this VM that started with an earlier time of day is accepted again once no
        token of the former one is valid.
        """
        is_newer = number > self.accepted or now - self.accepted_at >= TOKEN_S
        if is_newer:
            self.accepted, self.accepted_at = number, now
        return is_newer

    def ask_delay_s(self, now: float) -> float:
        """Returns the seconds to wait before the next ask for a request that waits."""
        return max(0.0, self.asked_at + MIN_ASK_GAP_S - now)

    def record_answer(self, round_trip_s: float | None) -> None:
        """Records that the VM answered, after some seconds if the ask is known."""
        if round_trip_s is not None:
            self._round_trip_s += (round_trip_s - self._round_trip_s) / 4
        self.unanswered_since = None
        self.skipped_until = float("-inf")

    def is_skipped(self, now: float) -> bool:
        """Returns whether the VM did not answer of late, so that another one is asked."""
        since = self.unanswered_since
        if since is None or now - since <= OWNER_TIMEOUT_S:
            return now < self.skipped_until
        if self.asked_at - since >= MIN_UNANSWERED_S and now - self.asked_at < SKIP_S:
            self.skipped_until = now + SKIP_S
            self.unanswered_since = None
        return now < self.skipped_until


class Slot:
    """A slot that has tenants: whether this VM owns it, the ranking of VMs, and the known owner."""

    def __init__(self) -> None:
        """Starts without an owner."""
        self.ownership = SlotOwnership()
        self.ranking: list[str] = []
        #: The VM that this one took for the owner at the last update.
        self.first = ""
        self._known_owner = ""
        self._known_until = float("-inf")
        self.was_owned = False
        #: VMs that have not answered this VM's claim of the slot yet.
        self.unanswered: set[str] = set()
        self._claim_until = float("-inf")
        self.buckets: dict[str, AllotmentBucket] = {}

    def rank(self, number: int, vms: Iterable[str]) -> None:
        """Ranks the registered VMs."""
        self.ranking = rank_vms(number, vms)

    def claim(self, vms: Iterable[str], *, until: float) -> None:
        """Claims the slot from VMs, each until it answers or a time in monotonic seconds."""
        self.unanswered = set(vms)
        self._claim_until = until

    def claims_due(self, now: float) -> set[str]:
        """Returns the VMs from which the slot is still claimed.

        Claims go on after one of them has confirmed, because another one may own the slot and may
        have missed the claim.
        """
        if now > self._claim_until:
            self.unanswered.clear()
        return self.unanswered

    def outranks(self, vm: str, other: str) -> bool:
        """Returns whether a VM should own the slot rather than another one."""
        return vm in self.ranking and self.ranking.index(vm) < self.ranking.index(other)

    def learn_owner(self, vm: str, until: float) -> None:
        """Records which VM owns the slot, for some time."""
        self._known_owner = vm
        self._known_until = until

    def known_owner(self, now: float) -> str:
        """Returns the VM that is known to own the slot; empty if none is."""
        return self._known_owner if now < self._known_until else ""


class SilentVms:
    """VMs that are alive and never answer, because their build knows no allotments.

    They own no slots, so that VMs of this build do while others are replaced. A VM that is merely
    out of reach is not alive for that long, because reports on VMs expire earlier.
    """

    def __init__(self) -> None:
        """Starts without messages."""
        self._heard: set[str] = set()
        self._sent_at: dict[str, float] = {}

    def record_sent(self, vm: str, *, now: float) -> None:
        """Records that a VM was sent a message that it should answer."""
        self._sent_at.setdefault(vm, now)

    def record_heard(self, vm: str) -> None:
        """Records that a VM sent any message about allotments."""
        self._heard.add(vm)

    def update(self, alive: frozenset[str], *, now: float) -> frozenset[str]:
        """Returns the silent VMs among those that are alive."""
        self._heard &= alive
        self._sent_at = {vm: at for vm, at in self._sent_at.items() if vm in alive}
        return frozenset(
            vm for vm, at in self._sent_at.items() if vm not in self._heard and now - at > SILENT_S
        )
