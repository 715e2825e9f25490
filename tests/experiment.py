"""Plays builds of this project on the same days and seeds, and prints paired
differences.

    experiment.py --bench PROGRAM --site FILE[=DAY,DAY...] ... \\
        [--seeds N] [--jobs N] [--cpu] [--why TEXT] CHECKOUT [CHECKOUT...]

The bench is the users' program; a site is one of their site files, with its
standard days unless some are named ('mix' draws one by the seed). The first
checkout is the one that the others are compared with. Every play leaves its
entry in the journal of its checkout.

Seeds come from the day's name, so a later call plays the same ones. Processor
time is not charged unless --cpu is given: a play then mostly repeats, and a
difference is that of the decisions.
"""
import argparse
import json
import math
import os
import re
import subprocess
import sys
import tempfile
import zlib
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

# A day of the largest sites takes minutes of processor time; more is a hang.
PLAY_TIMEOUT_S = 1800
SEED_STEP = 7919  # keeps the seeds of one day apart; any odd number does


class Play(NamedTuple):
    checkout: str
    site: str
    day: str
    seed: int


class Outcome(NamedTuple):
    worth: float
    on_time: float  # shares of the calls that were owed an answer
    late: float
    refused: float
    failed: float
    broken: str     # rules broken, or the fault; empty: none


def site_days(site):
    """(file, days): the named ones, else the standard days of the file."""
    path, _, names = site.partition("=")
    if names:
        return path, names.split(",")
    with open(path, encoding="utf-8") as f:
        text = f.read()
    return path, re.findall(r'^\[\[day\]\]\s*^name = "([^"]+)"', text, re.M)


def seeds_of(site, day, count):
    first = zlib.crc32(f"{os.path.basename(site)} {day}".encode())
    return [first + i * SEED_STEP for i in range(count)]


def outcome(report):
    total = report["all"]
    owed = max(total["n"] - total["not_owed"], 1)
    broken = " ".join(f"{rule} {n}" for rule, n in report["breaks"].items())
    if report["fault"]:
        broken += f" fault: {report['fault']}"
    return Outcome(report["G"], *(total[k] / owed for k in
                                  ("in_aim", "late", "refused", "failed")),
                   broken.strip())


def play(args, p):
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [args.bench, "run", p.site, p.day, "--seed", str(p.seed),
                   "--report", report.name, "--why", args.why]
        if not args.cpu:
            command.append("--no-cpu")
        done = subprocess.run(command, cwd=p.checkout, text=True, check=False,
                              capture_output=True, timeout=PLAY_TIMEOUT_S)
        try:
            return outcome(json.load(report))
        except ValueError:
            sys.exit(f"no report of {p}:\n{done.stdout}{done.stderr}")


def mean(values):
    return sum(values) / len(values)


def spread(values):
    """Standard error of the mean."""
    if len(values) < 2:
        return float("nan")
    m = mean(values)
    variance = sum((v - m) ** 2 for v in values) / (len(values) - 1)
    return math.sqrt(variance / len(values))


def print_row(name, outcomes, base):
    worths = [o.worth for o in outcomes]
    differences = [o.worth - b.worth for o, b in zip(outcomes, base)]
    parts = " ".join(f"{mean([getattr(o, field) for o in outcomes]):7.3f}"
                     for field in Outcome._fields[1:5])
    line = f"{name:34} {mean(worths):7.3f} {parts}"
    if outcomes is not base:
        line += f"   {mean(differences):+.3f} +- {spread(differences):.3f}"
    print(line)
    for o in outcomes:
        if o.broken:
            print(f"{'':34} BROKEN {o.broken}")


def print_group(args, title, outcomes_of):
    print(f"{title:34} {'worth':>7} {'on time':>7} {'late':>7} "
          f"{'refused':>7} {'failed':>7}   against the first")
    base = outcomes_of(args.checkouts[0])
    for c in args.checkouts:
        name = os.path.basename(os.path.normpath(c))
        print_row("  " + name, base if c == args.checkouts[0]
                  else outcomes_of(c), base)


def parse_arguments():
    p = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    p.add_argument("--bench", required=True)
    p.add_argument("--site", action="append", required=True)
    p.add_argument("--seeds", type=int, default=3)
    p.add_argument("--jobs", type=int, default=4)
    p.add_argument("--cpu", action="store_true")
    p.add_argument("--why", default="experiment")
    p.add_argument("checkouts", nargs="+")
    return p.parse_args()


def main():
    args = parse_arguments()
    sites = [site_days(s) for s in args.site]
    plays = [Play(c, site, day, seed)
             for site, days in sites for day in days
             for seed in seeds_of(site, day, args.seeds)
             for c in args.checkouts]
    for c in args.checkouts:
        subprocess.run([args.bench, "build"], cwd=c, check=True,
                       stdout=subprocess.DEVNULL)
    with ThreadPoolExecutor(args.jobs) as pool:
        outcomes = dict(zip(plays, pool.map(lambda p: play(args, p), plays)))

    def pick(checkout, site, day=None):
        return [o for p, o in outcomes.items() if p.checkout == checkout and
                p.site == site and day in (None, p.day)]

    for site, days in sites:
        print(f"== {os.path.basename(site)}, {args.seeds} seeds a day")
        for day in days:
            print_group(args, day, lambda c, d=day: pick(c, site, d))
        print_group(args, "all of these days", lambda c: pick(c, site))


if __name__ == "__main__":
    main()
