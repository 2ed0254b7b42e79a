#!/usr/bin/env python3
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Figures on deployments that nobody has tuned for.

    PATHCLEAT_BENCH=PROGRAM tools/vary_sites.py [--count N] [--base CHECKOUT] SITE...

Varies site files by a seed (hosts, upstreams, slots, run times, keys, warmth,
skew, prices, links, load, whether keys keep to a region), plays a day of each
on this checkout and, with --base, on another one, and prints both figures: by the
earlier rule, then counted from the callers' first attempts.
"""
import argparse
import pathlib
import random
import re
import shutil
import statistics
import sys
import tempfile

import bench_runs


def scale(text, key, factor, whole=False, least=1):
    """Multiplies every number of a key by one factor."""

    def changed(match):
        value = float(match.group(2)) * factor
        number = str(max(least, round(value))) if whole else f"{value:.3f}"
        return match.group(1) + number

    return re.sub(rf"(\b{key} = )([0-9.]+)", changed, text)


def vary_each(text, key, rng, low, high):
    """Multiplies each number of a key by a factor of its own; the results are
    whole numbers of at least 1."""

    def changed(match):
        value = round(float(match.group(2)) * rng.uniform(low, high))
        return match.group(1) + str(max(1, value))

    return re.sub(rf"(\b{key} = )([0-9]+)\b", changed, text)


def vary(text, rng):
    """Text of a site file, varied into that of another deployment."""
    head, *rest = re.split(r"(?=^\[\[day\]\])", text, maxsplit=1, flags=re.M)
    head = vary_each(head, "count", rng, 0.7, 1.5)
    head = vary_each(head, "things", rng, 0.4, 1.8)
    head = vary_each(head, "warm_keeps", rng, 0.7, 1.5)
    head = vary_each(head, "slots", rng, 0.8, 1.5)
    head = scale(head, "cross_region_ms", rng.uniform(0.4, 1.8))
    head = scale(head, "cross_region_gb", rng.uniform(0.3, 1.5))
    head = scale(head, "cross_zone_gb", rng.uniform(0.3, 1.5))
    head = scale(head, "handshake", rng.uniform(0.5, 3))
    head = re.sub(r"\bskew = [0-9.]+", f"skew = {rng.uniform(0.0, 0.9):.2f}", head)
    head = re.sub(
        r"\bwarm_gain = [0-9.]+", f"warm_gain = {rng.uniform(0.4, 0.8):.2f}", head
    )
    if rng.random() < 0.4:
        head = head.replace("at_home = true", "at_home = false")
    load = rng.uniform(0.6, 1.1)
    days = "".join(rest)
    return scale(head, "per_s", load) + scale(days, "per_s", load)


def write_site(site, seed, folder):
    """Writes a varied site file beside copies of the files it refers to."""
    rng = random.Random(f"{site.stem}-{seed}")
    path = folder / f"{site.stem}-{seed}.toml"
    path.write_text(vary(site.read_text(encoding="utf-8"), rng), encoding="utf-8")
    for beside in ("wire.json", "CUT"):
        if (site.parent / beside).exists():
            shutil.copy(site.parent / beside, folder / beside)
    return path


def play_row(copies, varied, day):
    """Means by both rules for each copy, and the days with a broken rule."""
    plays = [
        bench_runs.play_all(copy, varied, [0, 7], "varied deployment", [day])
        for copy in copies
    ]
    figures = [
        statistics.mean(rule(of_copy))
        for of_copy in plays
        for rule in (bench_runs.worths, bench_runs.first_tries)
    ]
    return figures, sum(p.broken for p in plays[-1])


def cells(figures):
    """The figures by both rules for each copy."""
    told = [f"{value:.3f}" for value in figures]
    return " | ".join(" / ".join(pair) for pair in zip(told[::2], told[1::2]))


def built_copies(base):
    """Builds copies of the base, if any, and of this checkout that log every
    request."""
    copies = [bench_runs.copy_of(base, "base")] if base else []
    copies.append(bench_runs.copy_of(bench_runs.ROOT, "now"))
    for copy in copies:
        settings = bench_runs.settings_of(copy)
        text = bench_runs.log_every_request(settings.read_text(encoding="utf-8"))
        settings.write_text(text, encoding="utf-8")
    return copies


def print_table(copies, options, folder):
    """Plays the days and prints the table row by row."""
    print("| deployment | day | " + " | ".join(["before", "now"][-len(copies):])
          + " | days with a rule broken |")
    print("|---" * (len(copies) + 3) + "|")
    rows = []
    for i in range(options.count):
        site = options.sites[i % len(options.sites)]
        varied = write_site(site, i + 1, folder)
        days = bench_runs.trouble_days(varied)
        day = days[i // len(options.sites) % len(days)]
        figures, broken = play_row(copies, varied, day)
        rows.append(figures)
        print(f"| {varied.stem} | {day} | {cells(figures)} | {broken} |", flush=True)
    means = [statistics.mean(column) for column in zip(*rows)]
    print(f"| mean | | {cells(means)} | |")


def main():
    """Prints one row for each deployment; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("sites", nargs="+", type=pathlib.Path)
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--base", type=pathlib.Path)
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="pathcleat-sites-"))
    try:
        copies = built_copies(options.base)
        try:
            print_table(copies, options, folder)
        finally:
            for copy in copies:
                bench_runs.keep_journal(copy, bench_runs.ROOT)
    except (OSError, bench_runs.InputFault) as fault:
        return bench_runs.fail(f"vary_sites: {fault}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
