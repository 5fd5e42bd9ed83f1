"""The slots of allotments at one VM: which it takes over, claims, hands over and gives up.

Load pattern: VMs that own allotments end, freeze, restart together or are cut off from each other
while callers use the allotments up. A VM claims the slots that it should own from the next VMs by
rank, until each has answered, and gives up those that a VM of higher rank claims.
"""

from collections.abc import Callable, Iterable, Mapping

from carawaybank.routing.allotmentmessages import Claim, Handover, Message
from carawaybank.routing.allotmentowners import TRANSITION_S
from carawaybank.routing.allotmentpeers import SilentVms, Slot
from carawaybank.routing.electorate import Electorate
from carawaybank.routing.limitshares import VmLocality

#: Seconds for which a VM counts as the owner after it answered or was named by another VM.
ANSWERED_OWNER_S = 2.0
#: Seconds between claims of a slot that another VM has not handed over.
CLAIM_INTERVAL_S = 0.2
#: VMs next in rank that a slot is claimed from; one of them owned it if the claimant was not alive.
CLAIMED_VMS = 4
#: Seconds for which a VM that announced its stop does not count as alive.
LEFT_S = 10.0
#: Seconds between calls of ``tick`` from which this VM was suspended, and others may have taken
#: over what it owned.
SUSPENDED_S = 0.8


class SlotTable:
    """The slots that have tenants, and the VMs that may own them.

    Attributes:
        slots: The slots by number.
        vms: The registered VMs with their localities.
        silent: Notes VMs that are alive and never answer.
    """

    def __init__(
        self,
        *,
        vm: str,
        locality: VmLocality,
        send: Callable[[str, Message, float], None],
        on_change: Callable[[int, bool], None],
    ) -> None:
        """Starts without slots; nothing is owned before :meth:`start`.

        Args:
            vm: Name of this VM.
            locality: Its locality.
            send: Sends a message to a VM at a time.
            on_change: Called with a slot, and whether this VM grants its tokens from now on.
        """
        self.slots: dict[int, Slot] = {}
        self.vms: Mapping[str, VmLocality] = {vm: locality}
        self.silent = SilentVms()
        self._vm = vm
        self._send = send
        self._on_change = on_change
        self._alive: frozenset[str] = frozenset({vm})
        self._electorate: Electorate | None = None
        self._silent_names: frozenset[str] = frozenset()
        self._left_at: dict[str, float] = {}
        #: Time of the last claim of each VM, which shows that it is alive.
        self._claimed_by: dict[str, float] = {}
        self._is_started = False
        self._is_stopping = False
        self._ticked_at = float("-inf")
        self._claimed_at = float("-inf")

    def start(self, *, now: float) -> None:
        """Starts to own slots, once the registrations are known."""
        self._is_started = True
        self._ticked_at = max(self._ticked_at, now)

    def update_slots(self, used: Iterable[int], *, now: float) -> None:
        """Replaces the slots that have tenants."""
        numbers = set(used)
        for number in [n for n in self.slots if n not in numbers]:
            self._release(number, now)
            del self.slots[number]
        for number in numbers - self.slots.keys():
            self.slots[number] = Slot()
            self.slots[number].rank(number, self.vms)

    @property
    def is_contending(self) -> bool:
        """Whether this VM owns a slot, or would own it if it heard more than half of all VMs."""
        return any(slot.first == self._vm for slot in self.slots.values())

    def update_vms(
        self,
        vms: Mapping[str, VmLocality],
        alive: frozenset[str],
        *,
        now: float,
        electorate: Electorate | None = None,
    ) -> bool:
        """Replaces the registered and the living VMs; returns whether the former changed.

        Args:
            vms: The registered VMs with their localities.
            alive: Those that are alive.
            now: Current time in monotonic seconds.
            electorate: Those that count towards a majority; None for all that are registered.
        """
        self._electorate = electorate
        self._alive = alive | {self._vm}
        self._silent_names = self.silent.update(self._alive, now=now)
        self._left_at = {vm: at for vm, at in self._left_at.items() if now - at < LEFT_S}
        if vms == self.vms:
            return False
        self.vms = vms
        for number, slot in self.slots.items():
            slot.rank(number, vms)
        return True

    def first_alive(self, slot: Slot) -> str:
        """Returns the first VM by rank that may own a slot; empty if there is none."""
        return next((vm for vm in slot.ranking if self.may_own(vm)), "")

    def may_own(self, vm: str) -> bool:
        """Returns whether a VM is alive, goes on and is of a build that knows allotments."""
        if vm == self._vm:
            return not self._is_stopping
        is_alive = vm in self._alive or vm in self._claimed_by
        return is_alive and vm not in self._silent_names and vm not in self._left_at

    def region_of(self, vm: str) -> str:
        """Returns the region of a registered VM; empty if it is not known."""
        locality = self.vms.get(vm)
        return locality.region if locality is not None else ""

    def granted_share(self, *, now: float) -> float:
        """Returns the part of each allotment that owners may grant; 0 without a majority."""
        electorate = self._electorate or Electorate(frozenset(self.vms), len(self.vms))
        return electorate.share(self._alive, vm=self._vm, now=now)

    def is_suspension(self, *, now: float) -> bool:
        """Returns whether this process was suspended since the last tick."""
        is_running = self._is_started and not self._is_stopping
        return is_running and now - self._ticked_at > SUSPENDED_S

    def tick(self, *, now: float) -> None:
        """Takes over and gives up slots; to be called every 0.1 s or so."""
        if not self._is_started or self._is_stopping:
            return
        self._ticked_at = now
        self._claimed_by = {
            vm: at for vm, at in self._claimed_by.items() if now - at < TRANSITION_S
        }
        has_majority = self.granted_share(now=now) > 0.0
        for number, slot in self.slots.items():
            first = self.first_alive(slot)
            is_first = first == self._vm and has_majority
            lost = slot.first if slot.first not in ("", self._vm, *self._left_at) else ""
            slot.ownership.update(is_first=is_first, predecessor=lost, now=now)
            slot.first = first
            if not is_first:
                slot.unanswered.clear()
            if slot.ownership.is_pending(now=now) and not slot.unanswered:
                others = [vm for vm in slot.ranking if vm != self._vm and self.may_own(vm)]
                slot.claim(others[:CLAIMED_VMS], until=now + TRANSITION_S)
                if not others:
                    slot.ownership.confirm("", now=now)
            self._note_owned(number, slot, now)
        if now - self._claimed_at >= CLAIM_INTERVAL_S:
            self._send_claims(now)

    def _send_claims(self, now: float) -> None:
        """Claims slots from the VMs that have not answered an earlier claim."""
        self._claimed_at = now
        claims: dict[str, list[int]] = {}
        for number, slot in self.slots.items():
            for vm in sorted(slot.claims_due(now)):
                claims.setdefault(vm, []).append(number)
        for vm, slots in claims.items():
            self.silent.record_sent(vm, now=now)
            self._send(vm, Claim(slots), now)

    def release_all(self, *, now: float) -> None:
        """Gives up all slots after a suspension, in which others took over."""
        for number, slot in self.slots.items():
            slot.first = ""
            self._release(number, now)

    def stop(self, *, now: float) -> None:
        """Gives up all slots because this VM stops, so that others can own them at once."""
        if self._alive == {self._vm}:
            return
        self._is_stopping = True
        handovers: dict[str, list[int]] = {}
        for number, slot in self.slots.items():
            is_owned = slot.ownership.is_granting(now=now)
            self._release(number, now)
            successor = self.first_alive(slot)
            if is_owned and successor:
                handovers.setdefault(successor, []).append(number)
        for vm, slots in handovers.items():
            self._send(vm, Handover(slots, is_stopping=True), now)

    def _release(self, number: int, now: float) -> None:
        slot = self.slots[number]
        slot.ownership.release()
        slot.unanswered.clear()
        self._note_owned(number, slot, now)

    def _note_owned(self, number: int, slot: Slot, now: float) -> None:
        is_owned = slot.ownership.is_granting(now=now)
        if is_owned != slot.was_owned:
            slot.was_owned = is_owned
            slot.buckets.clear()
            self._on_change(number, is_owned)

    def receive_claim(self, vm: str, claim: Claim, now: float) -> None:
        """Gives up slots that a VM of higher rank takes over, and confirms those without owner.

        A VM that would take another one for the owner does not confirm the claim.
        """
        self._left_at.pop(vm, None)
        self._claimed_by[vm] = now
        handed_over = []
        for number in claim.slots:
            slot = self.slots.get(number)
            if slot is None or not slot.outranks(vm, self._vm):
                continue
            if slot.ownership.is_granting(now=now):
                self._release(number, now)
                slot.learn_owner(vm, now + ANSWERED_OWNER_S)
                handed_over.append(number)
            elif slot.known_owner(now) in ("", vm) and self.first_alive(slot) in (vm, self._vm):
                handed_over.append(number)
        self._send(vm, Handover(handed_over), now)

    def receive_handover(self, vm: str, handover: Handover, now: float) -> None:
        """Takes over slots that another VM gave up, or that it knows of no owner of."""
        if handover.is_stopping:
            self._left_at[vm] = now
        for number in handover.slots:
            slot = self.slots.get(number)
            if slot is None:
                continue
            slot.unanswered.discard(vm)
            if handover.is_stopping and self.first_alive(slot) == self._vm:
                slot.first = ""
                has_majority = self.granted_share(now=now) > 0.0
                slot.ownership.update(is_first=has_majority, predecessor="", now=now)
            slot.ownership.confirm(vm, now=now)
            if slot.ownership.is_granting(now=now):
                slot.learn_owner(self._vm, now)
            self._note_owned(number, slot, now)
