#!/usr/bin/env python3
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Lets the store fall silent around changes of the configuration, under load and
beside signals and restarts of hosts, and checks that each later change is in
force at all hosts in time.

    tools/soak_store.py --build DIRECTORY [--seed N] [--seconds N] [--rate N]
        [--keep DIRECTORY]

Exit codes: 0 all promises kept, 1 a promise was broken, 2 wrong usage or the
programs did not start.
"""
import argparse
import dataclasses
import pathlib
import random
import re
import shutil
import signal
import sys
import tempfile
import time
import urllib.error
import urllib.request

import soak
import soak_judges

# Defaults of the settings `contact_ms` and `config_apply_ms`.
CONTACT_SECONDS = 3.0
APPLY_SECONDS = 3.0
POLL_SECONDS = 0.05


@dataclasses.dataclass
class Round:
    """One silence of the store: seconds, and the host that is disturbed in it."""

    silent_after_change: float
    silence: float
    is_repeated: bool
    disturbance: str
    host: int


def make_rounds(seed, hosts):
    """Draws rounds without end."""
    draw = random.Random(seed)
    while True:
        yield Round(
            silent_after_change=draw.choice((0.0, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.5)),
            silence=draw.choice((0.4, 1.1, 1.1, 3.0)),
            is_repeated=draw.random() < 0.3,
            disturbance=draw.choice(("none", "reload", "stop")),
            host=draw.randrange(hosts))


def config_version(text):
    """The configuration in force, as told by a host's metrics page."""
    found = re.search(r"^pathcleat_config_version (\d+)$", text, re.MULTILINE)
    return int(found.group(1)) if found else None


def late_hosts(versions, expected):
    """The hosts that have another configuration in force than the expected."""
    return sorted(host for host, version in versions.items() if version != expected)


class StoreSoak:
    """The rounds of a run on a fleet."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.version = 1
        self.rounds = 0
        self.longest_delay = 0.0

    def signal_store(self, number):
        self.fleet.processes["platform"].send_signal(number)

    def change(self):
        self.version += 1
        self.signal_store(signal.SIGUSR2)

    def versions(self):
        """The configuration in force at each host; None if it does not tell."""
        versions = {}
        for name in self.fleet.hosts:
            settings = (self.fleet.keep / f"hosts/{name}.jsonc").read_text()
            address = re.search(r'"metrics": "([^"]+)"', settings).group(1)
            try:
                with urllib.request.urlopen(f"http://{address}/metrics", timeout=1) as page:
                    versions[name] = config_version(page.read().decode())
            except (urllib.error.URLError, OSError):
                versions[name] = None
        return versions

    def disturb(self, planned):
        """Sends a signal to a host; returns the step that undoes it."""
        host = self.fleet.hosts[planned.host]
        process = self.fleet.processes[host]
        if planned.disturbance == "reload":
            process.send_signal(signal.SIGHUP)
        elif planned.disturbance == "stop":
            return self.stop(host, process)
        return lambda: None

    def stop(self, host, process):
        """Stops a host; returns the step that starts it again."""
        steps = self.fleet.stop(host, process)
        if not steps:
            self.fleet.broken.append(f"round {self.rounds}: {host} could not be stopped, "
                                     f"exit code {process.poll()}")
            return lambda: None
        return steps[0][1]

    def await_signal_handlers(self, host):
        """Waits while a host is so young that signals would end it. A host that has
        ended is noticed by what follows."""
        until = time.monotonic() + soak.START_SECONDS
        process = self.fleet.processes[host]
        while (process.poll() is None and not self.fleet.handles_signals(host)
               and time.monotonic() < until):
            time.sleep(POLL_SECONDS)

    def play(self, planned):
        self.rounds += 1
        if planned.disturbance != "none":
            self.await_signal_handlers(self.fleet.hosts[planned.host])
        self.change()
        time.sleep(planned.silent_after_change)
        self.signal_store(signal.SIGUSR1)
        undo = self.disturb(planned)
        time.sleep(planned.silence)
        self.signal_store(signal.SIGUSR1)
        if planned.is_repeated:
            time.sleep(0.4)
            self.signal_store(signal.SIGUSR1)
            time.sleep(planned.silence)
            self.signal_store(signal.SIGUSR1)
        answers_since = time.monotonic()
        undo()
        if planned.disturbance == "stop":
            self.await_ready(planned.host)
            answers_since = time.monotonic()
        time.sleep(max(0.0, answers_since + CONTACT_SECONDS - time.monotonic()))
        self.change()
        self.check_applied(planned)

    def await_ready(self, host):
        until = time.monotonic() + soak.START_SECONDS
        while not self.fleet.is_ready(host) and time.monotonic() < until:
            time.sleep(POLL_SECONDS)

    def check_applied(self, planned):
        changed_at = time.monotonic()
        while True:
            late = late_hosts(self.versions(), self.version)
            waited = time.monotonic() - changed_at
            if not late:
                self.longest_delay = max(self.longest_delay, waited)
                return
            if waited > APPLY_SECONDS:
                self.fleet.broken.append(
                    f"round {self.rounds}: configuration {self.version} not in force "
                    f"after {waited:.1f} s at {late}; {planned}")
                return
            time.sleep(POLL_SECONDS)


def run(options):
    """Plays rounds until the time is over. Returns the broken promises."""
    keep = options.keep or pathlib.Path(tempfile.mkdtemp(prefix="soak-store-"))
    keep.mkdir(parents=True, exist_ok=True)
    fleet = soak.Fleet(options.build, keep, None)
    try:
        fleet.start_all()
        load = fleet.start_load(options.seconds, options.rate, options.seed)
        store_soak = StoreSoak(fleet)
        for planned in make_rounds(options.seed, len(fleet.hosts)):
            store_soak.play(planned)
            if load.poll() is not None:
                break
        report = soak_judges.parse_load_report(load.communicate()[0])
        fleet.broken += soak_judges.broken_promises(report, False)
        fleet.check_memory()
        soak.check_recovery(fleet, options)
        print(f"seed {options.seed}: {store_soak.rounds} rounds, the latest "
              f"configuration after {store_soak.longest_delay:.2f} s, "
              + ", ".join(f"{name} {count}" for name, count in report.items()))
    finally:
        fleet.end_all()
    for line in fleet.broken:
        print(f"seed {options.seed}: BROKEN: {line}")
    if fleet.broken:
        print(f"seed {options.seed}: logs: {keep}")
    elif not options.keep:
        shutil.rmtree(keep)
    return fleet.broken


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--rate", type=int, default=100)
    parser.add_argument("--keep", type=pathlib.Path)
    options = parser.parse_args()
    try:
        soak.check_programs(options.build)
        return 1 if run(options) else 0
    except (OSError, ValueError, TypeError, RuntimeError) as error:
        print(f"soak: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
