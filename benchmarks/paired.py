"""Runs the same days with two or more source trees and compares their worth.

Usage:
    paired --bench=PROGRAM --site=FILE --days=NAMES [--seeds=NUMBERS] [--jobs=N] TREE...

The first tree is the baseline. Each tree runs each day with the day's own seed and with every
further seed. The mean difference in worth is printed with its 95% confidence interval over all days
and seeds; an interval that includes zero shows no effect.

Options:
    --bench=PROGRAM  Benchmark program of the users.
    --site=FILE      Site file.
    --days=NAMES     Days of the site file, separated by commas.
    --seeds=NUMBERS  Further seeds, separated by commas [default: ].
    --jobs=N         Number of days that run at a time [default: 3].
"""

import math
import re
import statistics
import subprocess
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

import docopt

_WORTH_LINE = re.compile(r"^worth (-?[\d.]+) =", re.MULTILINE)
_BROKEN_RULES_LINE = re.compile(r"^rules broken: .*$", re.MULTILINE)
#: Quantiles of Student's t distribution for a 95% interval, by the number of differences. The
#: normal distribution is used for more differences.
_STUDENT_T_95 = {2: 12.7, 3: 4.30, 4: 3.18, 5: 2.78, 6: 2.57, 7: 2.45, 8: 2.36, 9: 2.31, 10: 2.26}
_NORMAL_Z_95 = 1.96


class DayRun(NamedTuple):
    """A day to run with a source tree.

    Attributes:
        tree: Root directory of the source tree.
        day: Name of the day.
        seed: Seed; empty for the day's own seed.
    """

    tree: Path
    day: str
    seed: str


class DayResult(NamedTuple):
    """Result of a day.

    Attributes:
        worth: Worth of the day; NaN if the benchmark printed none.
        broken_rules: Lines of the output that report broken rules.
    """

    worth: float
    broken_rules: tuple[str, ...]


def run_day(bench: str, site: str, day_run: DayRun) -> DayResult:
    """Runs a day; the benchmark adds an entry to the journal of the tree."""
    command = [bench, "run", site, day_run.day, "--why", f"paired comparison: {day_run.tree.name}"]
    command += ["--seed", day_run.seed] if day_run.seed else []
    completed = subprocess.run(
        command, cwd=day_run.tree, capture_output=True, text=True, check=False
    )
    worth_match = _WORTH_LINE.search(completed.stdout)
    broken_rules = tuple(line.strip() for line in _BROKEN_RULES_LINE.findall(completed.stdout))
    return DayResult(float(worth_match.group(1)) if worth_match else math.nan, broken_rules)


def compare(before: Sequence[float], after: Sequence[float]) -> tuple[float, float]:
    """Returns the mean difference and half the width of its 95% confidence interval.

    The half width is infinite for fewer than two pairs.

    >>> mean, half = compare([0.5, 0.6, 0.7], [0.6, 0.7, 0.8])
    >>> round(mean, 3), round(half, 3)
    (0.1, 0.0)
    """
    differences = [b - a for a, b in zip(before, after, strict=True)]
    mean = statistics.fmean(differences)
    count = len(differences)
    if count < min(_STUDENT_T_95):
        return mean, math.inf
    standard_error = statistics.stdev(differences) / math.sqrt(count)
    return mean, _STUDENT_T_95.get(count, _NORMAL_Z_95) * standard_error


def main() -> None:
    """Runs all days and prints a line for each tree."""
    options = docopt.docopt(__doc__ or "")
    seeds = ["", *(seed for seed in options["--seeds"].split(",") if seed)]
    trees = [Path(tree).resolve() for tree in options["TREE"]]
    days = options["--days"].split(",")
    jobs = [DayRun(tree, day, seed) for day in days for seed in seeds for tree in trees]
    with ThreadPoolExecutor(max_workers=int(options["--jobs"])) as pool:
        day_results = pool.map(
            lambda job: run_day(options["--bench"], options["--site"], job), jobs
        )
        results = dict(zip(jobs, day_results, strict=True))
    pairs = [(day, seed) for day in days for seed in seeds]
    baseline_worths = [results[DayRun(trees[0], *pair)].worth for pair in pairs]
    for tree in trees:
        worths = [results[DayRun(tree, *pair)].worth for pair in pairs]
        mean_difference, half_width = compare(baseline_worths, worths)
        listed_worths = " ".join(f"{worth:.3f}" for worth in worths)
        sys.stdout.write(
            f"{tree.name:20} {mean_difference:+.4f} +- {half_width:.4f}   {listed_worths}\n"
        )
        for pair in pairs:
            for line in results[DayRun(tree, *pair)].broken_rules:
                sys.stdout.write(f"    {pair}: {line}\n")


if __name__ == "__main__":
    main()
