"""What a registration is worth of a VM that is lost, frozen, restarted or cut off."""

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from carawaybank.siblings.absences import CONFIRM_S, DENIAL_S, PRESENT_S, RECENT_S, REMOVAL_S
from carawaybank.siblings.allotments import _ROUNDS_PER_UPDATE, ROUND_S
from carawaybank.siblings.liveness import REPORT_VALIDITY_S
from carawaybank.siblings.lostvms import READ_INTERVAL_S
from tests.siblings.lost_site import LostSite

#: Two regions, of which one has a failure domain of a single VM.
DOMAINS = ("a1", "a1", "a2", "a2", "a2", "b1", "b2")
ALL = frozenset(f"vm-{number}" for number in range(len(DOMAINS)))
#: Seconds within which a site has settled after its start.
SETTLED_S = 8.0
#: The users' limits: seconds after which requests are served again, and after which look-ups name
#: no VM that is gone.
RECOVER_S = 15.0
DELISTED_S = 6.0
RETURNED_S = 8.0
ROUNDING = 1e-9


def start(domains=DOMAINS):
    site = LostSite(domains=domains)
    site.run(SETTLED_S)
    assert site.leaders == set(site.running)
    assert not site.notices()
    return site


def test_the_times_of_notices_keep_two_majorities_apart():
    """Guards against a side that is declared absent before it has noticed that it may be."""
    round_s = ROUND_S * _ROUNDS_PER_UPDATE
    assert RECENT_S + DENIAL_S + round_s < CONFIRM_S
    assert READ_INTERVAL_S < RECENT_S
    # A report may be made before its VM misses one, and a VM that hears nobody does not wait.
    assert PRESENT_S + round_s < CONFIRM_S
    assert REPORT_VALIDITY_S < PRESENT_S


def test_a_calm_site_writes_no_notices():
    """Guards against store calls on a calm day."""
    site = start()
    written, read = len(site.store.transactions), site.store.reads
    site.run(60.0)
    assert (len(site.store.transactions), site.store.reads) == (written, read)


def test_the_vms_that_are_left_become_a_majority_after_a_restart():
    """Guards against allotments without an owner once most VMs are lost for good."""
    site = start()
    site.lose(["vm-0", "vm-2", "vm-3", "vm-5"])
    site.run(9.0)
    site.restart(["vm-1", "vm-4", "vm-6"])
    site.run(RECOVER_S - 2.5)
    assert site.leaders == {"vm-1", "vm-4", "vm-6"}


def test_the_last_vm_becomes_a_majority():
    """Guards against allotments without an owner while a single VM is left."""
    site = start()
    site.lose(sorted(ALL - {"vm-4"}))
    site.restart(["vm-4"])
    site.run(RECOVER_S - 2.5)
    assert site.leaders == {"vm-4"}
    site.run(60.0)
    assert site.share(["vm-4"]) == 1.0


def test_new_vms_in_place_of_all_others_become_a_majority():
    """Guards against registrations of replaced VMs that outvote those in their place."""
    site = start()
    site.lose(sorted(ALL))
    for number, domain in enumerate(DOMAINS, start=10):
        site.start(f"vm-{number}", domain)
    site.run(RECOVER_S - 2.5)
    assert site.leaders == set(site.running)


def test_a_lost_vm_costs_a_few_transactions_and_its_rows_are_removed():
    """Guards against a table of registrations that grows with each VM that is replaced."""
    site = start()
    written = len(site.store.transactions)
    site.lose(["vm-3"])
    site.run(60.0)
    assert site.notices() == {"vm-3"}
    assert site.registered() == ALL
    site.run(REMOVAL_S)
    assert not site.notices()
    assert site.registered() == ALL - {"vm-3"}
    # Two readers may make the same change at once.
    assert 3 <= len(site.store.transactions) - written <= 6


def test_vms_that_were_frozen_count_and_are_listed_again():
    """Guards against VMs that stay excluded after they were only suspended."""
    site = start(("a1", "a2", "b1"))
    frozen = ["vm-1", "vm-2"]
    for name in frozen:
        site.running[name].is_frozen = True
    site.run(20.0)
    assert site.leaders == {"vm-0"}
    site.thaw(frozen)
    site.run(RETURNED_S)
    assert site.leaders == {"vm-0", "vm-1", "vm-2"}
    assert not site.notices()
    for vm in site.running.values():
        listed = vm.vms.select_for_caller("", "", now=site.now)
        assert {record.vm for record in listed} == set(site.running)


def test_vms_that_restart_count_again():
    """Guards against a confirmed absence that outlives the process that was missed."""
    site = start()
    site.lose(["vm-0", "vm-1"])
    site.run(25.0)
    assert site.notices() == {"vm-0", "vm-1"}
    for name in ("vm-0", "vm-1"):
        site.start(name, "a1")
    site.run(RETURNED_S)
    assert site.leaders == ALL
    assert not site.notices()


def test_a_removed_vm_that_was_only_cut_off_registers_again():
    """Guards against a VM that stays unknown after its registration was removed."""
    site = start()
    site.cut(["vm-6"])
    site.running["vm-6"].has_store = False
    site.run(REMOVAL_S + 30.0)
    assert "vm-6" not in site.registered()
    assert site.leaders == ALL - {"vm-6"}
    site.cuts.clear()
    site.running["vm-6"].has_store = True
    site.run(RETURNED_S)
    assert site.registered() == ALL
    assert site.leaders == ALL


def test_both_sides_of_a_long_cut_deny_their_absence():
    """Guards against a side that is declared absent although it reaches the store."""
    site = start()
    written = len(site.store.transactions)
    site.cut(["vm-0", "vm-1", "vm-2"])
    site.run(600.0)
    assert site.confirmed_at is None
    assert site.leaders == {"vm-3", "vm-4", "vm-5", "vm-6"}
    # At most eight notices on each VM in ten minutes, each of which is denied.
    assert len(site.store.transactions) - written <= 2 * 8 * len(ALL)


def test_a_store_that_is_away_for_minutes_ends_no_majority():
    """Guards against allotments without an owner while only the store fails."""
    site = start()
    for vm in site.running.values():
        vm.has_store = False
    site.run(300.0)
    assert site.leaders == ALL
    for vm in site.running.values():
        vm.has_store = True
    site.run(1.0)
    assert site.leaders == ALL


def test_a_lost_vm_costs_a_part_of_the_allotments_while_the_store_is_away():
    """Guards against allotments without an owner when a VM is lost while the store is away."""
    site = start()
    for vm in site.running.values():
        vm.has_store = False
    site.lose(["vm-3"])
    site.run(40.0)
    assert site.leaders == ALL - {"vm-3"}
    assert site.share(ALL) == 6 / 7


def test_a_majority_without_the_store_shares_with_the_other_side():
    """Guards against two owners: one that cannot know that it was declared absent."""
    site = start()
    few = {"vm-5", "vm-6"}
    site.cut(few)
    for name in ALL - few:
        site.running[name].has_store = False
    shares = []

    def check():
        if site.confirmed_at is not None:
            shares.append((site.share(ALL - few), site.share(few)))

    site.run(90.0, check=check)
    assert all(sum(each) <= 1.0 + ROUNDING for each in shares)
    assert (5 / 7, 2 / 7) in shares
    assert max(most for most, _ in shares) == 5 / 7
    assert shares[-1] == (0.0, 1.0)


@settings(max_examples=40, phases=[Phase.explicit, Phase.generate])
@given(
    side=st.sets(st.sampled_from(sorted(ALL)), min_size=1, max_size=6),
    without_store=st.sampled_from(["none", "side", "rest"]),
    lost=st.sets(st.sampled_from(sorted(ALL)), max_size=3),
    cut_s=st.sampled_from([1.0, 4.0, 12.0, 40.0, 75.0]),
    restarted_after_s=st.sampled_from([None, 0.0, 5.0, 12.0]),
)
def test_two_sides_of_a_cut_together_grant_an_allotment_once(
    side, without_store, lost, cut_s, restarted_after_s
):
    """Guards against two owners of an allotment once any absence is confirmed."""
    site = start()
    site.cut(side)
    groups = {"none": (), "side": side, "rest": ALL - side}
    for name in groups[without_store]:
        site.running[name].has_store = False
    site.lose(sorted(lost))

    def check():
        if site.confirmed_at is not None:
            assert site.share(side) + site.share(ALL - side) <= 1.0 + ROUNDING

    if restarted_after_s is not None:
        site.run(restarted_after_s, check=check)
        has_store = {name: vm.has_store for name, vm in site.running.items()}
        site.restart([name for name in site.running if name in side and has_store[name]])
    site.run(cut_s, check=check)
    site.cuts.clear()
    for vm in site.running.values():
        vm.has_store = True
    site.run(30.0)
    assert site.leaders == set(site.running)
    assert not site.notices() & site.running.keys()
