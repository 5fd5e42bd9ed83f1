"""A key has at most one owner, whatever messages are lost and members die, leave or restart."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from carawaybank.steering.ownership import DeathProof, Ownership

NAMES = ("a", "b", "c", "d")
KEYS = [f"target-{number}" for number in range(12)]
names = st.sampled_from(NAMES)


class Cell(RuleBasedStateMachine):
    """Members that start, exchange messages with losses, leave and die.

    ``registered`` stands for the table in the store, which lists the members that have started.
    """

    def __init__(self):
        super().__init__()
        self.alive: dict[str, Ownership] = {}
        self.incarnations: dict[str, int] = {}
        self.registered: dict[str, int] = {}
        self.starts = 0
        self.ended: set[tuple[str, int]] = set()

    @rule(name=names)
    def start(self, name):
        if name in self.alive:
            return
        self.starts += 1
        incarnation = self.starts
        self.incarnations[name] = incarnation
        self.registered[name] = incarnation
        member = Ownership(vm=name, incarnation=incarnation)
        for other, started in self.registered.items():
            member.observe_member(other, incarnation=started)
        member.end_discovery()
        self.alive[name] = member

    @precondition(lambda self: len(self.alive) > 1)
    @rule(one=names, other=names, request_arrives=st.booleans(), response_arrives=st.booleans())
    def exchange(self, one, other, request_arrives, response_arrives):
        if one == other or one not in self.alive or other not in self.alive or not request_arrives:
            return
        self.deliver(other, one)
        if response_arrives:
            self.deliver(one, other)

    def deliver(self, receiver, sender):
        """Applies what the sender reports about itself and about the receiver."""
        receiving, sending = self.alive[receiver], self.alive[sender]
        incarnation = self.incarnations[sender]
        if sending.is_released:
            receiving.record_death(sender, incarnation=incarnation, proof=DeathProof.ANNOUNCED_STOP)
            return
        receiving.observe_member(sender, incarnation=incarnation)
        holder = sending.holders.get(receiver)
        if holder is not None and holder.incarnation == self.incarnations[receiver]:
            receiving.confirm_recognition(sender, incarnation=incarnation)

    @rule(name=names)
    def leave(self, name):
        if name in self.alive:
            self.alive[name].release_all()

    @rule(name=names)
    def die(self, name):
        if self.alive.pop(name, None) is not None:
            self.ended.add((name, self.incarnations[name]))

    @precondition(lambda self: self.ended)
    @rule(observer=names, index=st.integers(0, 100))
    def prove(self, observer, index):
        if observer not in self.alive:
            return
        name, incarnation = sorted(self.ended)[index % len(self.ended)]
        self.alive[observer].record_death(
            name, incarnation=incarnation, proof=DeathProof.CONNECTION_REFUSED
        )
        if self.registered.get(name) == incarnation:
            del self.registered[name]

    @invariant()
    def one_owner(self):
        for key in KEYS:
            owners = [name for name, member in self.alive.items() if member.owns(key)]
            assert len(owners) <= 1, f"{key} is owned by {owners}"


TestCell = Cell.TestCase
TestCell.settings = settings(max_examples=300, stateful_step_count=40, derandomize=True)


def test_single_member_owns_all_keys():
    """Without other members, no key may stay without an owner."""
    member = Ownership(vm="a", incarnation=1)
    assert all(member.owns(key) for key in KEYS)


def test_two_members_that_recognize_each_other_share_all_keys():
    """Each key has exactly one owner once both members have recognized each other."""
    one, other = Ownership(vm="a", incarnation=1), Ownership(vm="b", incarnation=1)
    one.observe_member("b", incarnation=1)
    other.observe_member("a", incarnation=1)
    one.confirm_recognition("b", incarnation=1)
    other.confirm_recognition("a", incarnation=1)
    owned = [one.owns(key) + other.owns(key) for key in KEYS]
    assert owned == [1] * len(KEYS)


def test_member_keeps_its_keys_until_it_is_proved_dead():
    """A member that cannot be reached may still be using its keys."""
    one = Ownership(vm="a", incarnation=1)
    one.observe_member("b", incarnation=1)
    one.confirm_recognition("b", incarnation=1)
    kept = [key for key in KEYS if not one.owns(key)]
    assert kept
    one.record_death("b", incarnation=1, proof=DeathProof.VM_REMOVED)
    assert all(one.owns(key) for key in kept)


def test_death_proof_of_an_earlier_incarnation_does_not_remove_the_current_one():
    """A late proof about the process before a restart must not remove the restarted process."""
    one = Ownership(vm="a", incarnation=1)
    one.observe_member("b", incarnation=2)
    one.record_death("b", incarnation=1, proof=DeathProof.CONNECTION_REFUSED)
    assert "b" in one.holders
