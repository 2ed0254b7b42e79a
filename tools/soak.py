#!/usr/bin/env python3
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Runs the real programs as separate processes, injects faults from outside, and
checks the promises by what callers and upstreams saw.

    tools/soak.py --build DIRECTORY [--seed N] [--seconds N] [--rate N]
        [--planned] [--kinds NAME,...] [--hosts-factor N] [--schedule FILE]
        [--off NAME] [--keep DIRECTORY]

One seed gives one schedule of faults; it is written to the --keep directory, and
--schedule plays it again. --off switches one mechanism of the hosts off, to see
that a check notices. --planned leaves out what may cost callers an answer:
kills and freezes. Hosts and stand-ins listen on 127.0.0.0/8 at the addresses of
examples/race_results. Only processes that this program started are ended.

Exit codes: 0 all promises kept, 1 a promise was broken, 2 wrong usage or the
programs did not start.
"""
import argparse
import dataclasses
import json
import os
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

import soak_deployment
import soak_faults
import soak_pages
from soak_judges import (BACKOFF_GRACE_SECONDS, Excuse, arrivals_in_backoff,
                         broken_promises, late_arrivals, parse_load_report)
from soak_schedule import (ALL_KINDS, FREEZE_SECONDS, UNPLANNED_KINDS, Fault,
                           choose_kinds, make_schedule)

ROOT = pathlib.Path(__file__).resolve().parent.parent
FIRST_CONTROL_PORT = 8600
# A host may send twice within a time that an upstream asked for.
MAX_IN_BACKOFF_PER_HOST = 2
# A host that starts or wakes up learns within this time what upstreams stated.
EXCUSED_SECONDS = 1.0
# A stopped process ends by itself before its supervisor kills it.
MAX_STOP_SECONDS = 8.0
START_SECONDS = 30.0
# A program is loaded, and has begun to handle signals, this long after its start.
MAX_LOAD_SECONDS = 0.5
MAX_HOST_MEGABYTES = 64
# Share of the requests that callers must have answered once faults have ended.
MIN_ANSWERED_AFTERWARDS = 0.95


def boot_seconds():
    """Seconds on the clock by which the stand-ins tell their arrivals."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Fleet:
    """The processes of a run: hosts, stand-ins and the load."""

    def __init__(self, build, keep, off, hosts_factor=1):
        self.off = off
        self.pathcleat = build / "pathcleat"
        self.lab = build / "pathcleat-lab"
        self.keep = keep
        self.deployment = keep / "deployment.jsonc"
        # Runs at the same time use different addresses.
        self.network = 2 + os.getpid() % 90
        self.control_port = FIRST_CONTROL_PORT + self.network
        example = ROOT / "examples/race_results/deployment.jsonc"
        self.deployment.write_text(soak_deployment.multiply_hosts(
            example.read_text(), hosts_factor).replace('"127.1.',
                                                       f'"127.{self.network}.'))
        self.start_seconds = START_SECONDS * max(1.0, hosts_factor / 2)
        self.processes = {}
        self.logs = {}
        self.excuses = []
        self.broken = []
        self.retired = []
        self.started_at = {}
        self.expected_ends = set()
        self.claimed = set()
        self.own_ends = {}
        self.store_silent_until = 0.0
        self.unplanned_until = 0.0
        self.faults = None  # set in runs of kinds that need it
        text = self.deployment.read_text()
        self.host_header = re.search(r'"name": "([^"]+)"', text).group(1) + ".example"
        self.hosts = re.findall(r'\{"name": "([^"]+)".*?caller_port', text)
        soak_deployment.check_fits(len(self.hosts), MAX_HOST_MEGABYTES)
        self.addresses = re.findall(r'"address": "([^"]+)", "caller_port"', text)
        self.upstreams = [
            f"{name}-{number}"
            for name, count in re.findall(
                r'\{"name": "([^"]+)", "service".*?"count": (\d+)', text
            )
            for number in range(1, int(count) + 1)
        ]

    def start(self, name, *command):
        """Starts a process whose output goes to a file of its own."""
        if name not in self.logs:
            self.logs[name] = open(self.keep / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(part) for part in command],
            stdout=self.logs[name],
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
        return self.processes[name]

    def start_host(self, index):
        name = self.hosts[index]
        if name in self.processes and self.processes[name].poll() is None:
            self.retired.append(self.processes[name])
        self.started_at[name] = time.monotonic()
        self.start(name, self.pathcleat, "entry", self.keep / f"hosts/{name}.jsonc")

    def start_all(self):
        subprocess.run(
            [self.lab, "settings", self.deployment, self.keep / "hosts"], check=True
        )
        if self.off:
            self.switch_off()
        farm = self.deployment
        if self.faults:
            self.faults.prepare()
            farm = self.keep / "farm.jsonc"
            farm.write_text(soak_deployment.add_spares(
                self.deployment.read_text(), self.network))
        self.start("upstreams", self.lab, "upstreams", farm,
                   f"--control={self.control_port}")
        self.start("platform", self.lab, "platform", self.deployment)
        for index in range(len(self.hosts)):
            self.start_host(index)
        until = time.monotonic() + self.start_seconds
        while not all(self.is_ready(i) for i in range(len(self.hosts))):
            ended = [n for n, p in self.processes.items() if p.poll() is not None]
            if ended or time.monotonic() > until:
                raise RuntimeError(f"not ready within {self.start_seconds} s, "
                                   f"ended: {ended}; logs in {self.keep}")
            time.sleep(0.1)

    def switch_off(self):
        """Switches a mechanism of the hosts off, to see that a check notices."""
        for path in (self.keep / "hosts").glob("*.jsonc"):
            text = path.read_text().rstrip()
            end = text.rindex("}")
            path.write_text(f'{text[:end].rstrip()},\n'
                            f'  "policy": {{"off": ["{self.off}"]}}\n}}\n')

    def is_ready(self, index):
        """Whether a host serves callers: its answer to a request is no refusal."""
        request = urllib.request.Request(
            f"http://{self.addresses[index]}:8080/resultat/lookup/item",
            headers={"Host": "race_results.example", "X-Run-Id": "ready"},
        )
        try:
            with urllib.request.urlopen(request, timeout=1) as answer:
                return answer.status == 200
        except (urllib.error.URLError, OSError):
            return False

    def listen_address(self, host, name):
        settings = (self.keep / f"hosts/{host}.jsonc").read_text()
        return soak_pages.listen_address(settings, name)

    def says_ready(self, host):
        url = f"http://{self.listen_address(host, 'readiness')}/v1/ready"
        return soak_pages.fetch(url) is not None

    def state_of(self, host):
        """Configuration in force and number of upstreams, or None."""
        page = self.metrics_page(host)
        return soak_pages.parse_state(page) if page else None

    def metrics_page(self, host):
        return soak_pages.fetch(f"http://{self.listen_address(host, 'metrics')}/metrics")

    def control(self, target):
        """Asks the control port of the upstreams."""
        url = f"http://127.0.0.1:{self.control_port}{target}"
        with urllib.request.urlopen(url, timeout=10) as answer:
            return answer.read().decode()

    def start_load(self, seconds, rate, seed):
        return subprocess.Popen(
            [str(self.lab), "load", str(self.deployment),
             f"--control={self.control_port}", f"--seconds={seconds}",
             f"--rate={rate}", f"--seed={seed}"],
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
        )

    def excuse(self):
        """A host that starts or wakes now may not know what upstreams stated."""
        now = boot_seconds()
        self.excuses.append(Excuse(now, now + EXCUSED_SECONDS))

    def apply(self, fault):
        """Applies one fault; what it undoes later is returned as (when, step)."""
        if fault.kind not in UNPLANNED_KINDS:
            return self.faults.apply(fault)
        host = self.hosts[fault.target % len(self.hosts)]
        process = self.processes[host]
        if fault.kind == "stop":
            return self.stop(host, process)
        if fault.kind == "kill":
            self.expect_end(process)
            process.kill()
            process.wait()
            self.note_unplanned(fault.value + EXCUSED_SECONDS)
            return [(fault.value, lambda: self.restart(host))]
        if fault.kind == "freeze":
            process.send_signal(signal.SIGSTOP)
            self.note_unplanned(FREEZE_SECONDS + EXCUSED_SECONDS)
            return [(FREEZE_SECONDS, lambda: self.wake(process))]
        if fault.kind == "store_silent":
            store = self.processes["platform"]
            store.send_signal(signal.SIGSTOP)
            self.store_silent_until = max(self.store_silent_until,
                                          time.monotonic() + fault.value)
            return [(fault.value, lambda: store.send_signal(signal.SIGCONT))]
        if fault.kind == "reload":
            if self.handles_signals(host):
                process.send_signal(signal.SIGHUP)
            return []
        upstream = self.upstreams[fault.target % len(self.upstreams)]
        if fault.kind == "leave":
            self.control(f"/set/{upstream}/leaving/1")
            return []
        # All upstreams of one service in one failure domain.
        group = [u for u in self.upstreams
                 if u.rsplit("-", 1)[0] == upstream.rsplit("-", 1)[0]]
        for member in group:
            self.control(f"/set/{member}/retry-after/{fault.value}")
        return [(fault.value + BACKOFF_GRACE_SECONDS,
                 lambda: self.end_backoffs(group, fault.value))]

    def stop(self, host, process):
        """A planned stop: the process must end by itself within its grace."""
        if host in self.claimed or not self.handles_signals(host):
            return []
        began = time.monotonic()
        self.expect_end(process)
        process.send_signal(signal.SIGTERM)

        def check():
            self.check_stopped(host, process, began)
            self.restart(host)

        return [(MAX_STOP_SECONDS, check)]

    def check_stopped(self, host, process, stopped_at):
        """Checks that a stopped process has ended by itself."""
        # A process that another fault froze meanwhile ends once it runs.
        self.wake(process)
        try:
            code = process.wait(MAX_STOP_SECONDS)
            if code not in (0, -signal.SIGKILL):
                self.broken.append(f"{host} ended with code {code}")
        except subprocess.TimeoutExpired:
            took = time.monotonic() - stopped_at
            self.broken.append(f"{host} had not stopped after {took:.1f} s")
            process.kill()
            process.wait()

    def expect_end(self, process):
        """The process ends because this program told it to."""
        self.expected_ends.add(process.pid)

    def claim_host(self, target):
        """A running host that no other fault is restarting, or None; kills and
        freezes may still hit it."""
        names = self.hosts
        for offset in range(len(names)):
            host = names[(target + offset) % len(names)]
            process = self.processes[host]
            if (host not in self.claimed and self.handles_signals(host)
                    and process.pid not in self.expected_ends):
                self.claimed.add(host)
                return host
        return None

    def handles_signals(self, host):
        """Whether a host runs and is no longer so young that signals end it."""
        return (self.processes[host].poll() is None
                and time.monotonic() > self.started_at[host] + MAX_LOAD_SECONDS)

    def release_host(self, host):
        self.claimed.discard(host)

    def note_unplanned(self, seconds):
        self.unplanned_until = max(self.unplanned_until, time.monotonic() + seconds)

    def was_disturbed(self, since):
        """Whether a kill or freeze had an effect on any host later than this."""
        return self.unplanned_until > since

    def hosts_up_since(self, since):
        """The hosts that have run since before this and are not stopping."""
        return [host for host in self.hosts
                if self.started_at[host] < since
                and self.processes[host].pid not in self.expected_ends]

    def check_ends(self):
        """Notes hosts that ended by themselves and starts them again, as a
        supervisor does."""
        for host in self.hosts:
            process = self.processes[host]
            code = process.poll()
            if code is None or process.pid in self.expected_ends:
                continue
            codes = self.own_ends.setdefault(host, [])
            codes.append(code)
            self.start_again(host)

    def report_ends(self):
        for host, codes in self.own_ends.items():
            self.broken.append(f"{host} ended by itself {len(codes)} times, codes "
                               f"{sorted(set(codes))}: "
                               + soak_pages.last_line(self.keep / f"{host}.log"))

    def restart(self, host):
        if self.processes[host].poll() is not None:
            self.start_again(host)

    def start_again(self, host):
        self.excuse()
        self.start_host(self.hosts.index(host))

    def wake(self, process):
        self.excuse()
        process.send_signal(signal.SIGCONT)

    def end_backoffs(self, group, seconds):
        statements = json.loads(self.control("/statements"))
        for upstream in group:
            count = arrivals_in_backoff(statements[upstream]["retry_after"], seconds,
                                        self.excuses)
            if count > MAX_IN_BACKOFF_PER_HOST * len(self.hosts):
                self.broken.append(f"{upstream} asked for {seconds} s without "
                                   f"requests and got {count}")
            self.control(f"/set/{upstream}/retry-after/")

    def check_leaving(self):
        """Looks for arrivals at upstreams that had announced leaving."""
        for upstream, statement in json.loads(self.control("/statements")).items():
            late = late_arrivals(statement["leaving"], self.excuses)
            if late:
                self.broken.append(f"{upstream} announced leaving and got {len(late)} "
                                   f"requests up to {max(late):.1f} s later")

    def check_memory(self):
        for host in self.hosts:
            status = pathlib.Path(f"/proc/{self.processes[host].pid}/status")
            if not status.exists():
                continue
            found = re.search(r"VmRSS:\s+(\d+) kB", status.read_text())
            megabytes = int(found.group(1)) / 1024 if found else 0
            if megabytes > MAX_HOST_MEGABYTES:
                self.broken.append(f"{host} uses {megabytes:.0f} MB")

    def end_all(self):
        processes = [*self.processes.values(), *self.retired]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        if self.faults:
            self.faults.close()
        for log in self.logs.values():
            log.close()


def play(fleet, faults, load):
    """Applies the faults at their times until the load has ended and all that
    they undo later is undone."""
    start = time.monotonic()
    steps = [(fault.at, number, fault) for number, fault in enumerate(faults)]
    number = len(steps)
    while steps or load.poll() is None:
        fleet.check_ends()
        steps.sort(key=lambda step: step[:2])
        now = time.monotonic() - start
        if not steps or steps[0][0] > now:
            time.sleep(0.02)
            continue
        action = steps.pop(0)[2]
        undo = fleet.apply(action) if isinstance(action, Fault) else action() or []
        for wait, step in undo:
            number += 1
            steps.append((time.monotonic() - start + wait, number, step))


def check_recovery(fleet, options):
    """All hosts serve again, and callers are answered."""
    until = time.monotonic() + fleet.start_seconds
    while not all(fleet.is_ready(i) for i in range(len(fleet.hosts))):
        if time.monotonic() > until:
            behind = [h for i, h in enumerate(fleet.hosts) if not fleet.is_ready(i)]
            fleet.broken.append(f"not serving {fleet.start_seconds} s after: {behind}")
            return
        time.sleep(0.2)
    load = fleet.start_load(3, options.rate, options.seed + 1_000_000)
    report = parse_load_report(load.communicate()[0])
    if report["answered"] < MIN_ANSWERED_AFTERWARDS * report["sent"]:
        fleet.broken.append(f"after the faults {report['answered']} of "
                            f"{report['sent']} were answered")


def run(options):
    """Plays one schedule. Returns the broken promises."""
    keep = options.keep or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    keep.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(options.build, keep, options.off, options.hosts_factor)
    faults = options.faults or make_schedule(
        options.seed, options.seconds, len(fleet.hosts), len(fleet.upstreams),
        choose_kinds(options.kinds, options.planned))
    if {fault.kind for fault in faults} - set(UNPLANNED_KINDS):
        fleet.faults = soak_faults.Faults(fleet, options.seed)
    try:
        fleet.start_all()
        (keep / "schedule.json").write_text(
            json.dumps([dataclasses.asdict(fault) for fault in faults], indent=1))
        load = fleet.start_load(options.seconds, options.rate, options.seed)
        play(fleet, faults, load)
        text = load.communicate()[0]
        fleet.report_ends()
        if fleet.faults:
            fleet.faults.check_stops()
            fleet.faults.check_uploads()
            print(f"seed {options.seed}: "
                  + ", ".join(f"{name} {count}"
                              for name, count in fleet.faults.counts.items()))
        report = parse_load_report(text)
        fleet.broken += broken_promises(report, options.planned)
        fleet.check_leaving()
        fleet.check_memory()
        check_recovery(fleet, options)
        print(f"seed {options.seed}: {len(faults)} faults, "
              + ", ".join(f"{name} {count}" for name, count in report.items()))
    finally:
        fleet.end_all()
    for line in fleet.broken:
        print(f"seed {options.seed}: BROKEN: {line}")
    if fleet.broken:
        print(f"seed {options.seed}: schedule and logs: {keep}")
    elif not options.keep:
        shutil.rmtree(keep)
    return fleet.broken


def check_programs(build):
    """Raises RuntimeError if a program that a run starts is not built."""
    for program in ("pathcleat", "pathcleat-lab"):
        if not os.access(build / program, os.X_OK):
            raise RuntimeError(f"{build / program} is not built")


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--rate", type=int, default=100)
    parser.add_argument("--planned", action="store_true")
    parser.add_argument("--kinds", help="kinds of faults, separated by commas, or "
                        f"all; there are {', '.join(ALL_KINDS)}")
    parser.add_argument("--hosts-factor", type=int, default=1,
                        help="so many times the hosts of the example")
    parser.add_argument("--schedule", type=pathlib.Path)
    parser.add_argument("--off", help="a mechanism of policy.off")
    parser.add_argument("--keep", type=pathlib.Path)
    options = parser.parse_args()
    options.faults = None
    try:
        if options.schedule:
            options.faults = [
                Fault(**fault) for fault in json.loads(options.schedule.read_text())]
        check_programs(options.build)
        return 1 if run(options) else 0
    except (OSError, ValueError, TypeError, RuntimeError) as error:
        print(f"soak: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
