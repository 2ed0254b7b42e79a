#!/usr/bin/env python3
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""What each mechanism of the policy is worth, as a table.

    PATHCLEAT_BENCH=PROGRAM tools/ablate.py [--seeds N] [--only NAME,...]
        [--keep DIRECTORY] SITE...

Plays the sites' standard days with trouble, first with every mechanism on, then
with each mechanism switched off by itself, and prints the change of the mean
worth, lowest to highest over the seeds, or over the days if there is one seed:
first by the earlier rule, then counted from the callers' first attempts
(tools/first_try.py). The days run on a copy of this checkout; the journal
entries of the copy are copied back. Days whose results are already in the
--keep directory are not played again, so an interrupted table can be resumed.
--no-play prints the table from the results in the --keep directory alone. Days
are compared in pairs; a cell gives the number of pairs if some are missing.
PATHCLEAT_JOBS is the number of days played in parallel.
"""
import argparse
import pathlib
import re
import statistics
import sys

import bench_runs


def mechanism_names():
    """Names that the setting policy.off accepts."""
    source = bench_runs.ROOT / "src/pathcleat/core/mechanism.cpp"
    return re.findall(r'NamedMechanism\{Mechanism::\w+, "(\w+)"\}', source.read_text())


def measure(copy, name, options, seeds):
    """Plays of each site with one mechanism switched off, or none for ""."""
    if copy:
        bench_runs.switch_off(copy, name)
    plays = {}
    for site in options.sites:
        why = f"ablation: {name or 'nothing'} off"
        folder = None
        if options.keep:
            folder = options.keep / (name or "nothing")
            folder.mkdir(parents=True, exist_ok=True)
        plays[site] = bench_runs.play_all(copy, site, seeds, why, keep=folder)
    return plays


def in_pairs(with_all, without):
    """Plays that both sides have for the same day and seed, as two lists."""
    off = {(p.day, p.seed): p for p in without}
    both = [p for p in with_all if (p.day, p.seed) in off]
    return both, [off[p.day, p.seed] for p in both]


def change(with_all, without, rule):
    """Change of the worth when a mechanism is switched off: median over the
    seeds and its range, which is over the days if there is one seed."""
    both, off = in_pairs(with_all, without)
    if not both:
        return "not played"
    pairs = zip(bench_runs.by_seed(both, rule), bench_runs.by_seed(off, rule))
    changes = sorted(after - before for before, after in pairs)
    middle, told = statistics.median(changes), ""
    if len(changes) == 1:
        pairs = zip(rule(both), rule(off))
        changes = sorted(after - before for before, after in pairs)
        told = "days "
    part = "" if len(both) == len(with_all) else f", {len(both)} of {len(with_all)}"
    return f"{middle:+.3f} ({told}{changes[0]:+.3f} to {changes[-1]:+.3f}{part})"


def mean(plays, rule):
    """Mean worth of a site."""
    return f"{statistics.mean(rule(plays)):.3f}" if plays else "not played"


def row_of(name, plays, cell):
    """A row of the table: the figures by both rules for each site."""
    rules = (bench_runs.worths, bench_runs.first_tries)
    cells = [" / ".join(cell(site, rule) for rule in rules) for site in plays]
    broken = sum(p.broken for site in plays.values() for p in site)
    return f"| {name} | " + " | ".join(cells) + f" | {broken} |"


def print_table(copy, names, options, seeds):
    """Plays the days and prints the table row by row."""
    stems = [site.stem for site in options.sites]
    print("| off | " + " | ".join(stems) + " | days with a rule broken |")
    print("|---" * (len(stems) + 2) + "|")
    whole = measure(copy, "", options, seeds)
    print(row_of("nothing", whole, lambda s, rule: mean(whole[s], rule)), flush=True)
    for name in names:
        off = measure(copy, name, options, seeds)
        cell = lambda s, rule: change(whole[s], off[s], rule)
        print(row_of(name, off, cell), flush=True)


def main():
    """Prints the table; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("sites", nargs="+", type=pathlib.Path)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--only", default="")
    parser.add_argument("--keep", type=pathlib.Path)
    parser.add_argument("--no-play", action="store_true")
    options = parser.parse_args()
    known = mechanism_names()
    names = options.only.split(",") if options.only else known
    unknown = [name for name in names if name not in known]
    if unknown:
        return bench_runs.fail(f"--only: {unknown[0]} is none of {', '.join(known)}")
    if options.no_play and not options.keep:
        return bench_runs.fail("--no-play: needs --keep DIRECTORY")
    seeds = [11 * (i + 1) for i in range(options.seeds)]
    try:
        if options.no_play:
            print_table(None, names, options, seeds)
            return 0
        if options.keep:
            bench_runs.claim(options.keep, bench_runs.ROOT)
        copy = bench_runs.copy_of(bench_runs.ROOT, "ablation")
        try:
            print_table(copy, names, options, seeds)
        finally:
            bench_runs.keep_journal(copy, bench_runs.ROOT)
    except (OSError, bench_runs.InputFault) as fault:
        return bench_runs.fail(f"ablate: {fault}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
