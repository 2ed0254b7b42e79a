#!/usr/bin/env python3
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Orders a good and then a bad rollout of a service under load, with the real
programs as separate processes, and checks the rules of rollouts by what the
upstreams received.

    tools/soak_rollouts.py --build DIRECTORY [--seed N] [--rate N]
        [--duration SECONDS] [--bad PERCENT] [--keep DIRECTORY]

Half of the upstreams of each failure domain run version v1, the others v2. The
first order moves the service to v2, which is good; after it the v1 upstreams
become v3, of whose answers --bad in 100 fail, and the second order asks for v3.
Addresses, processes and exit codes are those of tools/soak.py.
"""
import argparse
import json
import pathlib
import shutil
import sys
import tempfile
import time

import soak
import soak_judges
from soak_store_rows import Store

SERVICE = "resultat"
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_SECONDS = 5.0
POLL_SECONDS = 0.05
WARM_UP_SECONDS = 3.0
AFTERWARDS_SECONDS = 3.0


class RolloutStore(Store):
    """The rows about rollouts."""

    def state_of(self, service, version):
        """The state that operators read of a rollout to this version, or ''."""
        row = self.read("status", f"rollout/{service}")
        return row["State"] if row and row["TargetVersion"] == version else ""

    def order(self, service, version, seconds):
        self.write("op", f"rollout/{service}", {
            "Service": service, "TargetVersion": version, "Duration": seconds})

    def set_version(self, upstream, version):
        row = self.read("servers", upstream)
        row["Version"] = version
        self.write("servers", upstream, row)


def arrivals_between(arrivals, upstreams, start, end):
    """How many requests these upstreams received in [start, end)."""
    return sum(start <= at < end for name in upstreams for at in arrivals[name])


def check_completed(arrivals, old, completed_at):
    """What a completed rollout broke: old upstreams may end at once."""
    late = [at - completed_at for name in old for at in arrivals[name]
            if at > completed_at]
    return [f"{len(late)} requests reached the old version up to {max(late):.2f} s "
            "after 'completed'"] if late else []


def check_exposure(arrivals, new, everyone, ordered_at, deadline):
    """What a bad version's rollout broke: its share of the requests."""
    total = arrivals_between(arrivals, everyone, ordered_at, deadline)
    exposed = arrivals_between(arrivals, new, ordered_at, deadline)
    allowed = EXPOSURE_SHARE * total + EXPOSURE_SLACK
    return [f"the bad version received {exposed} of {total} requests, allowed "
            f"{allowed:.0f}"] if exposed > allowed else []


def check_rollback(arrivals, new, rolled_back_at):
    """What a rolled-back version still received, later than Rollback."""
    late = arrivals_between(arrivals, new, rolled_back_at + ROLLBACK_SECONDS, 1e18)
    return [f"{late} requests reached the bad version later than "
            f"{ROLLBACK_SECONDS} s after 'rolled_back'"] if late else []


class Rollouts:
    """Two orders to a running fleet."""

    def __init__(self, fleet, options):
        self.fleet = fleet
        self.options = options
        self.store = RolloutStore(f"{fleet.hosts_network}.0.1:8500")
        self.all = [u for u in fleet.upstreams if u.startswith(SERVICE + "-")]
        self.first = [u for u in self.all if int(u.rsplit("-", 1)[1]) % 2]
        self.second = [u for u in self.all if u not in self.first]

    def arrivals(self):
        return json.loads(self.fleet.control("/arrivals"))

    def await_final(self, version, seconds):
        """The final state and when it was first seen, or None at the deadline."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            state = self.store.state_of(SERVICE, version)
            if state in ("completed", "rolled_back"):
                return state, soak.boot_seconds()
            time.sleep(POLL_SECONDS)
        return "no final state by the deadline", soak.boot_seconds()

    def order(self, version, prepare=lambda: None):
        """Orders a version, then prepares its upstreams."""
        ordered_at = soak.boot_seconds()
        self.store.order(SERVICE, version, self.options.duration)
        prepare()
        state, seen_at = self.await_final(version, self.options.duration)
        return ordered_at, state, seen_at

    def play_good(self):
        ordered_at, state, seen_at = self.order("v2")
        time.sleep(AFTERWARDS_SECONDS)
        print(f"good version: {state} after {seen_at - ordered_at:.1f} s")
        broken = [] if state == "completed" else [f"the good version: {state}"]
        if state == "completed":
            broken += check_completed(self.arrivals(), self.first, seen_at)
        return broken

    def start_bad_version(self):
        for upstream in self.first:
            self.fleet.control(f"/set/{upstream}/failing/{self.options.bad}")
            self.store.set_version(upstream, "v3")

    def play_bad(self):
        ordered_at, state, seen_at = self.order("v3", self.start_bad_version)
        deadline = ordered_at + self.options.duration
        time.sleep(max(AFTERWARDS_SECONDS, deadline - soak.boot_seconds()))
        arrivals = self.arrivals()
        exposed = arrivals_between(arrivals, self.first, ordered_at, deadline)
        total = arrivals_between(arrivals, self.all, ordered_at, deadline)
        print(f"bad version: {state} after {seen_at - ordered_at:.1f} s; it received "
              f"{exposed} of {total} requests")
        broken = [] if state == "rolled_back" else [f"the bad version: {state}"]
        return (broken
                + check_exposure(arrivals, self.first, self.all, ordered_at, deadline)
                + check_rollback(arrivals, self.first, seen_at))


def add_bounds(keep):
    """The settings of all hosts name the bounds of rollouts."""
    bounds = {"rollout_exposure_share": EXPOSURE_SHARE,
              "rollout_exposure_slack": EXPOSURE_SLACK,
              "rollback_ms": ROLLBACK_SECONDS * 1000}
    for path in (keep / "hosts").glob("*.jsonc"):
        text = path.read_text().rstrip()
        end = text.rindex("}")
        path.write_text(f'{text[:end].rstrip()},\n  "bounds": '
                        f'{json.dumps(bounds)}\n}}\n')


class RolloutFleet(soak.Fleet):
    """A fleet whose settings name the bounds of rollouts."""

    def __init__(self, build, keep):
        super().__init__(build, keep, off=None)
        self.hosts_network = ".".join(self.addresses[0].split(".")[:2])

    def start_host(self, index):
        if index == 0:
            add_bounds(self.keep)
        super().start_host(index)


def run(options):
    """Plays both orders. Returns the broken promises."""
    keep = options.keep or pathlib.Path(tempfile.mkdtemp(prefix="soak-rollouts-"))
    keep.mkdir(parents=True, exist_ok=True)
    fleet = RolloutFleet(options.build, keep)
    broken = []
    try:
        fleet.start_all()
        rollouts = Rollouts(fleet, options)
        for upstream in rollouts.all:
            version = "v1" if upstream in rollouts.first else "v2"
            rollouts.store.set_version(upstream, version)
        seconds = int(2 * (options.duration + AFTERWARDS_SECONDS + WARM_UP_SECONDS))
        load = fleet.start_load(seconds, options.rate, options.seed)
        time.sleep(WARM_UP_SECONDS)
        broken += rollouts.play_good()
        if not broken:
            broken += rollouts.play_bad()
        report = soak_judges.parse_load_report(load.communicate()[0])
        broken += soak_judges.broken_promises(report, planned=False)
        fleet.check_memory()
        broken += fleet.broken
        print(f"seed {options.seed}: "
              + ", ".join(f"{name} {count}" for name, count in report.items()))
    finally:
        fleet.end_all()
    for line in broken:
        print(f"seed {options.seed}: BROKEN: {line}")
    if broken:
        print(f"seed {options.seed}: logs: {keep}")
    elif not options.keep:
        shutil.rmtree(keep)
    return broken


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=int, default=300)
    parser.add_argument("--duration", type=float, default=16)
    parser.add_argument("--bad", type=float, default=35)
    parser.add_argument("--keep", type=pathlib.Path)
    options = parser.parse_args()
    try:
        soak.check_programs(options.build)
        return 1 if run(options) else 0
    except (OSError, ValueError, KeyError, RuntimeError) as error:
        print(f"soak: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
