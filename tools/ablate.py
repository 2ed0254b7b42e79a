#!/usr/bin/env python3
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""What each mechanism of the policy is worth, as a table.

    PATHCLEAT_BENCH=PROGRAM tools/ablate.py [--seeds N] [--only NAME,...] SITE...

Plays the sites' standard days with trouble, with every mechanism on, then with
each one off by itself, and prints the change of the mean worth, lowest to
highest seed. Runs on a copy of this checkout; its journal entries come back.
"""
import argparse
import pathlib
import re
import statistics
import sys

import bench_runs


def mechanism_names():
    """Names that the setting policy.off takes."""
    source = bench_runs.ROOT / "src/pathcleat/core/mechanism.cpp"
    return re.findall(r'Named\{Mechanism::\w+, "(\w+)"\}', source.read_text())


def measure(copy, name, sites, seeds):
    """Mean worth by seed of each site, with a mechanism off or none ("")."""
    bench_runs.switch_off(copy, name)
    figures, broken = {}, 0
    for site in sites:
        why = f"ablation: {name or 'nothing'} off"
        plays = bench_runs.play_all(copy, site, seeds, why)
        figures[site] = bench_runs.by_seed(plays)
        broken += sum(p.broken for p in plays)
    return figures, broken


def cell(with_all, without):
    """Change by switching off: median of the seeds and its spread."""
    changes = sorted(b - a for a, b in zip(with_all, without))
    middle = statistics.median(changes)
    return f"{middle:+.3f} ({changes[0]:+.3f} to {changes[-1]:+.3f})"


def main():
    """Prints the table; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("sites", nargs="+", type=pathlib.Path)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    known = mechanism_names()
    names = options.only.split(",") if options.only else known
    unknown = [name for name in names if name not in known]
    if unknown:
        return bench_runs.fail(f"--only: {unknown[0]} is none of {', '.join(known)}")
    seeds = [11 * (i + 1) for i in range(options.seeds)]
    try:
        copy = bench_runs.copy_of(bench_runs.ROOT, "ablation")
        all_on, broken = measure(copy, "", options.sites, seeds)
        stems = [site.stem for site in options.sites]
        print("| off | " + " | ".join(stems) + " | days with a rule broken |")
        print("|---" * (len(stems) + 2) + "|")
        whole = [sum(all_on[s]) / len(seeds) for s in options.sites]
        print("| nothing | " + " | ".join(f"{v:.3f}" for v in whole) + f" | {broken} |")
        for name in names:
            off, broken = measure(copy, name, options.sites, seeds)
            cells = [cell(all_on[s], off[s]) for s in options.sites]
            print(f"| {name} | " + " | ".join(cells) + f" | {broken} |", flush=True)
        bench_runs.keep_journal(copy, bench_runs.ROOT)
    except bench_runs.InputFault as fault:
        return bench_runs.fail(f"ablate: {fault}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
