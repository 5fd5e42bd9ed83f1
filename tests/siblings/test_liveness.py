"""Failure detection by heartbeats and reports that VMs send on to each other."""

from carawaybank.siblings.liveness import REPORT_VALIDITY_S, DomainReport, Liveness

#: Seconds between the heartbeats that carry reports, and for which each is under way.
INTERVAL_S = 0.6
TRANSIT_S = 0.1


def test_a_report_that_vms_send_to_each_other_expires():
    """Guards against the report of a reader that is gone, kept alive by its time under way."""
    peers = [Liveness(own=name) for name in "ab"]
    peers[0].apply_report("d2", DomainReport("r", 0.0, ()), now=0.0)
    now = 0.0
    while now <= REPORT_VALIDITY_S + TRANSIT_S:
        for sender, receiver in (peers, peers[::-1]):
            reports = sender.valid_reports(now=now)
            for report in reports.get("d2", ()):
                receiver.apply_report("d2", report, now=now + TRANSIT_S)
        now += INTERVAL_S
    assert not any(peer.has_report("d2", now=now) for peer in peers)


def test_a_newer_report_that_says_the_same_replaces_an_older_one():
    """Guards against reports that expire although their reader makes new ones."""
    liveness = Liveness(own="a")
    for made_at in (0.0, INTERVAL_S, 2 * INTERVAL_S):
        liveness.apply_report("d2", DomainReport("r", 0.0, ()), now=made_at)
    assert liveness.has_report("d2", now=2 * INTERVAL_S + REPORT_VALIDITY_S)
