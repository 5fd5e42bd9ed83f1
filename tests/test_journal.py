"""Rate limit and non-blocking writes of the journal."""

import json

from carawaybank.journal import BURST_LINES, Journal


def make_journal(write, clock):
    return Journal(vm="vm-1", write=write, clock=clock, lines_per_s=10.0)


def test_lines_above_the_rate_limit_are_dropped_and_counted():
    lines, now = [], [0.0]
    journal = make_journal(lines.append, lambda: now[0])
    for _ in range(int(BURST_LINES) + 50):
        journal.log("request", "answered")
    assert len(lines) == BURST_LINES
    now[0] = 1.0
    journal.log("request", "answered", id="x")
    assert json.loads(lines[-1])["dropped_lines"] == 50
    assert journal.dropped == 0


def test_a_line_is_dropped_and_counted_if_the_write_would_block():
    """Guards against a log reader that does not read its pipe and blocks or fails the daemon.

    The write raises ``BlockingIOError`` then; the next line must report the dropped one.
    """
    lines = []

    def write(line):
        if not lines:
            lines.append(b"full")
            raise BlockingIOError
        lines.append(line)

    journal = make_journal(write, lambda: 0.0)
    journal.log("daemon", "started")
    assert journal.dropped == 1
    journal.log("daemon", "stopping")
    assert json.loads(lines[-1])["dropped_lines"] == 1


def test_lines_are_written_after_the_clock_was_set_back():
    """Guards against a log that is silent for as long as the clock was set back."""
    lines, now = [], [10_000.0]
    journal = make_journal(lines.append, lambda: now[0])
    journal.log("daemon", "started")
    now[0] = 0.0
    for _ in range(100):
        journal.log("request", "answered")
    assert len(lines) == 101


def test_a_line_that_cannot_be_encoded_does_not_end_its_caller():
    """Guards against an end, or a background task, that fails on the text of another program."""
    lines = []
    journal = make_journal(lines.append, lambda: 0.0)
    journal.log("store", "odd", version=10**30, key="\ud800", sibling=object())
    journal.log("store", "next")
    odd, following = (json.loads(line) for line in lines)
    assert (odd["event"], following["event"]) == ("odd", "next")
    assert odd["version"] == 10**30
    assert odd["key"] == ascii("\ud800")
