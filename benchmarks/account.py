"""Counts failed and late requests in structured logs, by service, VM or time and by reason.

Usage:
    account [--by=FIELD] [--every=SECONDS] [FILE...]

Reads the log lines of all entry VMs, from files or standard input; text before the JSON of a line
is skipped. Each request is counted once for each response of an entry VM: a request that is retried
after a refusal counts again, and a request that failed before an entry VM read it does not count.

Options:
    --by=FIELD       Grouping of the rows: service, vm, place (the VM's name without its number)
                     or time [default: service].
    --every=SECONDS  Interval of the rows with --by=time [default: 2].
"""

import fileinput
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from typing import Any

import docopt
import msgspec

_IN_TIME = "in time"
#: Warmth (the probability that the target knows the object) below which a cold run was expected.
_MIN_WARM_PROBABILITY = 0.9
#: Share of the objective above which the expected wait counts as the cause of lateness.
_LONG_WAIT_SHARE = 0.25


def read_requests(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the fields of responses with an objective; skips other and damaged lines."""
    for line in lines:
        start = line.find("{")
        if start < 0 or '"answered"' not in line:
            continue
        try:
            fields = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            continue
        if fields.get("objective_ms"):
            yield fields


def classify(fields: dict[str, Any]) -> str:
    """Returns the reason why a request failed or was late, or ``in time``.

    >>> classify({"status": 200, "ms": 10, "objective_ms": 300})
    'in time'
    >>> classify({"status": 503, "reason": "no-capacity", "ms": 1, "objective_ms": 300})
    'no-capacity'
    >>> classify({"status": 200, "ms": 400, "objective_ms": 300, "attempts": 2})
    'late: sent again'
    """
    if fields["status"] >= 500:
        return str(fields.get("reason", f"target's {fields['status']}"))
    if fields["ms"] <= fields["objective_ms"]:
        return _IN_TIME
    if fields["attempts"] > 1:
        return "late: sent again"
    if fields["wait_ms"] > _LONG_WAIT_SHARE * fields["objective_ms"]:
        return "late: a wait was expected"
    if fields["warmth"] < _MIN_WARM_PROBABILITY:
        return "late: cold, as expected"
    running, waiting, slots = fields.get("load") or (0, 0, 1)
    if running + waiting >= slots:
        return "late: the target was full"
    return "late: cold or slow"


def row_name(fields: dict[str, Any], by: str, every_s: float) -> str:
    """Returns the name of the row in which a request is counted.

    >>> row_name({"vm": "edge-sask-1", "at": 1005.0}, "place", 2.0)
    'edge-sask'
    >>> row_name({"at": 1005.0}, "time", 2.0)
    '1004'
    """
    if by == "time":
        return f"{fields['at'] // every_s * every_s:.0f}"
    if by == "place":
        return str(fields["vm"]).rpartition("-")[0]
    return str(fields[by])


def count_by_row(
    requests: Iterable[dict[str, Any]], by: str, every_s: float
) -> dict[str, Counter[str]]:
    """Returns the number of requests by row and reason."""
    rows: dict[str, Counter[str]] = defaultdict(Counter)
    for fields in requests:
        rows[row_name(fields, by, every_s)][classify(fields)] += 1
    return rows


def main() -> None:
    """Prints a line for each row and one for all requests."""
    options = docopt.docopt(__doc__ or "")
    with fileinput.input(options["FILE"]) as lines:
        rows = count_by_row(read_requests(lines), options["--by"], float(options["--every"]))
    total: Counter[str] = sum(rows.values(), Counter())
    for name, counts in [*sorted(rows.items()), ("all", total)]:
        request_count = counts.total()
        reasons = [
            f"{reason} {count}" for reason, count in counts.most_common() if reason != _IN_TIME
        ]
        sys.stdout.write(
            f"{name}: {request_count} asked, {counts[_IN_TIME]} in time; {', '.join(reasons)}\n"
        )


if __name__ == "__main__":
    main()
