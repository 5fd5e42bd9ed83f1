"""Runs a deployment as processes with load and faults, and judges what callers and targets saw.

Usage: standins.soak [options]

Options:
  --deployment NAME   Deployment, a file in deploy/soak [default: campoverde].
  --seed N            Seed of faults and load [default: 1].
  --seconds S         Duration of the load in seconds [default: 24].
  --load-share SHARE  Share of the deployment's rate [default: 0.2].
  --faults MIX        Faults, separated by commas: none, stops, starved, late_stops, stop_pairs,
                      odd_stops, boot, kills, signals, configs, starts, freezes, leaves,
                      evacuations, store, herd, busy_hosts, odd_configs, settings, give_up,
                      retry_abuse, burst, shift, garble, crashes, slow_targets, release,
                      slow_store, lost_answers, links, endless, endless_callers,
                      endless_store, all
                      [default: stops].
  --links             Delay what passes over links, as the deployment's file says.
  --store-limits      Give the store the times and rates of the deployment's file.
  --busy N            Processes that keep cores busy during the load [default: 0].
  --blocked-signals   Start VMs with SIGTERM, SIGHUP and SIGINT blocked.
  --loaders N         Processes that send load [default: 2].
  --hosts N           Processes that host targets [default: 2].
  --source DIR        Directory that contains the package for the VMs to run [default: src].
  --out DIR           Directory for settings, logs and records [default: soak-run].

Exits with 1 if a promise was broken, and with 2 if the run could not start.
"""

import asyncio
import shlex
import shutil
import sys
from pathlib import Path

from docopt import DocoptExit, docopt

from standins.soak import checks
from standins.soak.layout import choose_network
from standins.soak.options import OptionError, read_command
from standins.soak.runner import Runner, StartError


def main() -> None:
    """Runs the command."""
    try:
        command = read_command(docopt(__doc__), network=choose_network())
    except DocoptExit:
        print(f"unknown or incomplete options: {shlex.join(sys.argv[1:])}", file=sys.stderr)
        sys.exit(2)
    except OptionError as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    directory = command.options.directory
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    print(f"run again: python -m standins.soak {shlex.join(sys.argv[1:])}", flush=True)
    try:
        asyncio.run(Runner(plan=command.plan, options=command.options).run())
    except StartError as error:
        print(f"could not run: {error}", file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if _report(directory) else 0)


def _report(directory: Path) -> bool:
    """Prints counts and violations, and returns whether there are any."""
    history = checks.load_history(directory)
    print(checks.summarize(history))
    slack_s = history.bounds.lossSlackMs / 1000
    for request in history.requests:
        sent_at = request.last_byte_at
        if not sent_at or request.outcome not in {"reset", "closed"}:
            continue
        if request.ended_at - sent_at <= slack_s and not history.runs_of(request.id):
            print(f"unanswered within {slack_s:g} s: {request.vm} {request.describe()}")
    return bool(checks.find_violations(history))


if __name__ == "__main__":
    main()
