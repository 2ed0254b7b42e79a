# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Faults of a soak beyond signals: stops under a load that stays, starts onto
ports that are taken, and a store that tells odd things.

Each method plays one fault and returns what follows later, as a list of
(seconds, step) pairs.
"""
import dataclasses
import json
import signal
import socket
import time

import soak_callers
import soak_odd
import soak_pages
import soak_uploads
from soak_deployment import SPARE_NAME, SPARE_UPSTREAMS
from soak_background import Background
from soak_store_rows import Store

STOP_GRACE_MS = 6000
STOP_GRACE_SECONDS = STOP_GRACE_MS / 1000
# A host ends itself before its supervisor kills it.
MAX_STOP_SECONDS = 8.0
# Callers use a host so long before it stops.
BEFORE_STOP_SECONDS = 1.0
STAYING_RATE = 60
POLL_SECONDS = 0.05
# Share of the requests, and their time at the upstreams in ms: below the time-outs
# of the routes, which end a request whatever the host does.
TAILS = ((0.1, 1800), (0.1, 1300), (0.3, 1700), (0.05, 1950), (0.2, 900))
MAX_SERVE_SECONDS = 2.0
PORT_HELD_SECONDS = 1.0
# Other hosts no longer send to a killed host after this.
KILL_EFFECT_SECONDS = 1.0
SUCCESSOR_AFTER_SECONDS = 0.5
# From the store's return to the next change (`contact_ms`), and from a change
# until it is in force (`config_apply_ms`).
CONTACT_SECONDS = 3.0
APPLY_SECONDS = 3.0
# Callers that upload while instances answer in broken ways.
UPLOADING_CALLERS = 6
BROKEN_PORT = 8001
MAX_CHANGE_ATTEMPTS = 4
MAX_WRITE_SECONDS = 5.0


def hosts_behind(states, version, upstream):
    """The hosts that lack this configuration or upstream; None tells nothing."""
    return sorted(host for host, state in states.items() if state is None
                  or state.version < version or upstream not in state.upstreams)


def add_bounds(text, bounds):
    """A settings file with these bounds."""
    end = text.rstrip().rindex("}")
    return f'{text[:end].rstrip()},\n  "bounds": {json.dumps(bounds)}\n}}\n'


@dataclasses.dataclass
class Stop:
    """A stop under load: its callers, the time of SIGTERM, and whether nothing
    else disturbed the hosts."""

    host: str
    callers: soak_callers.StayingCallers
    stopped_at: float
    is_judged: bool = False


class Faults:
    """Plays these faults on a fleet."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.seed = seed
        self.background = Background()
        self.store = Store(f"127.{fleet.network}.0.1:{soak_odd.STORE_PORT}")
        self.proxy = soak_odd.StoreProxy(f"127.{fleet.network}.0.2",
                                         f"127.{fleet.network}.0.1")
        self.spares = 0
        self.stops = []
        self.groups_of_callers = 0
        self.uploads = None  # from the first broken instance on
        self.uploads_ended = None
        self.broken_instances = 0
        self.odd_until = 0.0
        self.counts = {"stops judged": 0, "stay sent": 0, "stay answered": 0, "stay refused": 0,
                       "stay lost": 0, "changes in force": 0, "served again": 0}

    def prepare(self):
        """Changes the settings before the hosts start."""
        self.background.run(self.proxy.listen())
        for path in (self.fleet.keep / "hosts").glob("*.jsonc"):
            text = path.read_text().replace(f"127.{self.fleet.network}.0.1:",
                                            f"127.{self.fleet.network}.0.2:")
            path.write_text(add_bounds(text, {"stop_grace_ms": STOP_GRACE_MS}))

    def close(self):
        self.background.run(self.proxy.close())
        self.background.close()

    def apply(self, fault):
        return getattr(self, fault.kind)(fault)

    # Slow tails.

    def tail(self, fault):
        """All upstreams of one service in one failure domain get a slow tail."""
        upstream = self.fleet.upstreams[fault.target % len(self.fleet.upstreams)]
        group = [u for u in self.fleet.upstreams
                 if u.rsplit("-", 1)[0] == upstream.rsplit("-", 1)[0]]
        self.set_tail(group, TAILS[fault.variant % len(TAILS)])
        return [(fault.value, lambda: self.set_tail(group, (0, 0)))]

    def set_tail(self, upstreams, tail):
        for upstream in upstreams:
            self.fleet.control(f"/set/{upstream}/tail/{tail[0]}:{tail[1]}")

    # Stops under a load that stays.

    def stop_under_load(self, fault):
        """A planned stop while callers go on to the host, and its upstreams have
        a slow tail, from before the stop or from its moment on."""
        host = self.fleet.claim_host(fault.target)
        if host is None:
            return []
        tail = TAILS[fault.variant % len(TAILS)]
        tail_begins_at_stop = fault.variant // len(TAILS) % 2 == 1
        index = self.fleet.hosts.index(host)
        callers = soak_callers.StayingCallers(
            f"{self.fleet.addresses[index]}:8080", self.fleet.host_header,
            self.seed * 1_000 + self.groups_of_callers, STAYING_RATE)
        self.groups_of_callers += 1
        ended = self.background.start(callers.run())
        group = [u for u in self.fleet.upstreams if u.startswith("resultat-")]
        if not tail_begins_at_stop:
            self.set_tail(group, tail)

        def begin():
            process = self.fleet.processes[host]
            stop = Stop(host, callers, time.monotonic())
            self.stops.append(stop)
            self.fleet.expect_end(process)
            process.send_signal(signal.SIGTERM)
            if tail_begins_at_stop:
                self.set_tail(group, tail)
            return [(MAX_STOP_SECONDS, lambda: finish(process, stop))]

        def finish(process, stop):
            self.set_tail(group, (0, 0))
            callers.stop()
            ended.result(2 * soak_callers.MAX_WAIT_SECONDS)
            stop.is_judged = not self.fleet.was_disturbed(
                stop.stopped_at - BEFORE_STOP_SECONDS)
            self.fleet.check_stopped(host, process, stop.stopped_at)
            self.fleet.release_host(host)
            self.fleet.restart(host)

        return [(BEFORE_STOP_SECONDS, begin)]

    def check_stops(self):
        """Judges all stops by the upstreams' ledger."""
        if not self.stops:
            return
        runs = json.loads(self.fleet.control("/ledger"))["runs_by_id"]
        for stop in self.stops:
            records = [sent for sent in stop.callers.records
                       if sent.sent_at >= stop.stopped_at]
            self.counts["stay sent"] += len(records)
            self.counts["stay answered"] += sum(s.outcome == "200" for s in records)
            self.counts["stay refused"] += sum(s.outcome == "503" for s in records)
            if not stop.is_judged:
                continue
            self.counts["stops judged"] += 1
            self.counts["stay lost"] += len(soak_callers.lost_requests(
                stop.callers.records, runs, stop.stopped_at, STOP_GRACE_SECONDS))
            self.fleet.broken += soak_callers.broken_in_stop(
                stop.host, stop.callers.records, runs, stop.stopped_at,
                STOP_GRACE_SECONDS)

    # Starts onto taken ports.

    def successor(self, fault):
        """A host's successor starts while the host is in its grace."""
        host = self.fleet.claim_host(fault.target)
        if host is None:
            return []
        predecessor = self.fleet.processes[host]
        stopped_at = time.monotonic()
        predecessor.send_signal(signal.SIGTERM)
        self.fleet.expect_end(predecessor)

        def start():
            self.fleet.start_again(host)
            return [(POLL_SECONDS, watch)]

        def watch():
            ended = predecessor.poll() is not None
            if not ended and time.monotonic() < stopped_at + MAX_STOP_SECONDS:
                return [(POLL_SECONDS, watch)]
            self.fleet.check_stopped(host, predecessor, stopped_at)
            return self.await_served(host, time.monotonic())

        return [(SUCCESSOR_AFTER_SECONDS, start)]

    def port_taken(self, fault):
        """Another process listens at one of a host's ports while it starts."""
        host = self.fleet.claim_host(fault.target)
        if host is None:
            return []
        process = self.fleet.processes[host]
        stopped_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        self.fleet.expect_end(process)
        names = ("callers", "readiness", "locate", "operators", "metrics", "peers")
        name = names[fault.variant % len(names)]

        def watch():
            if (process.poll() is None
                    and time.monotonic() < stopped_at + MAX_STOP_SECONDS):
                return [(POLL_SECONDS, watch)]
            self.fleet.check_stopped(host, process, stopped_at)
            try:
                listener = hold_port(self.fleet.listen_address(host, name))
            except OSError:
                # Another connection has got the port, which is a case as well.
                listener = socket.socket()
            self.fleet.start_again(host)
            return [(PORT_HELD_SECONDS, lambda: free(listener))]

        def free(listener):
            listener.close()
            return self.await_served(host, time.monotonic())

        return [(POLL_SECONDS, watch)]

    def await_served(self, host, free_at):
        """Waits until a host serves whose ports are free since then."""
        process = self.fleet.processes[host]

        def watch():
            waited = time.monotonic() - free_at
            if self.fleet.says_ready(host):
                self.counts["served again"] += 1
            elif waited < MAX_SERVE_SECONDS:
                return [(POLL_SECONDS, watch)]
            elif (not self.fleet.was_disturbed(free_at - CONTACT_SECONDS)
                  and self.store_disturbed_until() < free_at - CONTACT_SECONDS):
                ended = " and ended" if process.poll() is not None else ""
                self.fleet.broken.append(
                    f"{host} did not serve{ended} {waited:.1f} s after its ports "
                    "were free")
            self.fleet.release_host(host)
            return []

        return watch()

    # Odd answers and rows of the store.

    def store_odd(self, fault):
        """The store answers in an odd shape for a time."""
        began = time.monotonic()
        shape = odd_shape(fault)
        self.proxy.shape = shape
        self.disturb_store(fault.value)
        return [(fault.value, lambda: self.end_odd(shape, began))]

    def store_odd_start(self, fault):
        """A host starts while the store answers in an odd shape."""
        host = self.fleet.claim_host(fault.target)
        if host is None:
            return []
        process = self.fleet.processes[host]
        self.fleet.expect_end(process)
        self.fleet.note_unplanned(KILL_EFFECT_SECONDS)
        process.kill()
        process.wait()
        self.proxy.shape = odd_shape(fault)
        self.fleet.start_again(host)
        return (self.store_odd(fault)
                + [(fault.value, lambda: self.fleet.release_host(host))])

    def end_odd(self, shape, began):
        if self.proxy.shape == shape:
            self.proxy.shape = None
        self.disturb_store(0)
        sound_at = time.monotonic()
        return [(MAX_SERVE_SECONDS, lambda: self.check_serving(shape, began, sound_at)),
                (CONTACT_SECONDS, lambda: self.begin_change(f"answers of shape {shape}"))]

    def check_serving(self, shape, began, sound_at):
        if self.odd_until > sound_at or self.fleet.was_disturbed(sound_at):
            return
        for host in self.fleet.hosts_up_since(began):
            if not self.fleet.says_ready(host):
                self.fleet.broken.append(
                    f"{host} does not serve {MAX_SERVE_SECONDS} s after answers of "
                    f"shape {shape}")

    def row_odd(self, fault):
        """Another writer adds an odd row; later it goes."""
        names = soak_odd.ODD_ROW_NAMES
        name = names[fault.variant % len(names)]
        place = (soak_odd.TABLES[fault.variant // len(names) % 2], name)
        self.proxy.removals.pop(place, None)
        self.proxy.rows[place] = soak_odd.ODD_ROWS[name]

        def remove():
            row = self.proxy.rows.pop(place, None)
            if row:
                self.proxy.removals[place] = soak_odd.removed(row)
            return self.begin_change(f"removed row {name} in {place[0]}")

        return (self.begin_change(f"row {name} in {place[0]}")
                + [(fault.value + APPLY_SECONDS, remove)])

    # Broken answers of instances.

    def answer_broken(self, fault):
        """An instance each of whose answers is broken joins a service for a time,
        while callers upload to all hosts."""
        self.start_uploads()
        self.broken_instances += 1
        name = f"broken-{self.broken_instances}"
        address = f"127.{self.fleet.network}.200.{self.broken_instances}:{BROKEN_PORT}"
        self.fleet.start(name, self.fleet.lab, "broken", address,
                         f"--seed={self.seed * 1_000 + fault.variant}")
        sound = self.fleet.upstreams[fault.target % len(self.fleet.upstreams)]

        def join():
            row = self.store.read("servers", sound) or {}
            row.update(Address=address, Service="resultat")
            self.store.write("servers", name, row)
            return [(fault.value, lambda: self.once_store_answers(leave))]

        def leave():
            self.store.remove("servers", name)

        return self.once_store_answers(join)

    def once_store_answers(self, step):
        """A stopped store would keep this program from letting it go on, which is a
        step of its own at the end of the silence."""
        wait = self.fleet.store_silent_until + POLL_SECONDS - time.monotonic()
        if wait <= 0:
            return step() or []
        return [(wait, lambda: self.once_store_answers(step))]

    def start_uploads(self):
        if self.uploads is None:
            addresses = [f"{address}:8080" for address in self.fleet.addresses]
            self.uploads = soak_uploads.Uploads(addresses, self.fleet.host_header,
                                                self.seed, UPLOADING_CALLERS)
            self.uploads_ended = self.background.start(self.uploads.run())

    def check_uploads(self):
        """Ends the uploads and judges what they were answered."""
        if self.uploads is None:
            return
        self.uploads.stop()
        self.uploads_ended.result(2 * soak_uploads.MAX_WAIT_SECONDS)
        self.fleet.broken += self.uploads.broken
        self.counts["uploads"] = self.uploads.counts.sent
        for outcome, count in sorted(self.uploads.counts.outcomes.items()):
            self.counts[f"uploads {outcome}"] = count
        for host in self.fleet.hosts:
            page = self.fleet.metrics_page(host)
            for reason, count in soak_pages.broken_answers(page or "").items():
                name = f"answers {reason}"
                self.counts[name] = self.counts.get(name, 0) + count

    def disturb_store(self, seconds):
        self.odd_until = max(self.odd_until, time.monotonic() + seconds)

    def store_disturbed_until(self):
        return max(self.odd_until, self.fleet.store_silent_until)

    def begin_change(self, beside, attempt=0):
        """Writes a configuration and an upstream, which all hosts must have in
        time. Beside a disturbed store it is done once that is over."""
        now = time.monotonic()
        if attempt >= MAX_CHANGE_ATTEMPTS:
            return []
        wait = self.store_disturbed_until() + CONTACT_SECONDS - now
        if wait > 0:
            return [(wait, lambda: self.begin_change(beside, attempt + 1))]
        version = self.write_config()
        if self.spares < SPARE_UPSTREAMS:
            self.spares += 1
            self.add_upstream(self.spares)
        expected = (version, f"{SPARE_NAME}-{self.spares}")
        began = time.monotonic()
        return [(APPLY_SECONDS,
                 lambda: self.check_change(beside, expected, began, attempt))]

    def write_config(self):
        """Writes the next configuration; returns its version."""
        before = self.store.read("op", "config")["Version"]
        self.fleet.processes["platform"].send_signal(signal.SIGUSR2)
        until = time.monotonic() + MAX_WRITE_SECONDS
        while time.monotonic() < until:
            version = self.store.read("op", "config")["Version"]
            if version > before:
                return version
            time.sleep(POLL_SECONDS)
        raise RuntimeError("the stand-in of the store takes no configuration")

    def add_upstream(self, number):
        row = self.store.read("servers", self.fleet.upstreams[0])
        row["Address"] = f"127.{self.fleet.network}.1.110:{8000 + number}"
        self.store.write("servers", f"{SPARE_NAME}-{number}", row)

    def check_change(self, beside, expected, began, attempt):
        if self.store_disturbed_until() > began:
            return self.begin_change(beside, attempt + 1)
        # A host that has just started or woken up still catches up.
        if self.fleet.was_disturbed(began - CONTACT_SECONDS):
            return []
        states = {host: self.fleet.state_of(host)
                  for host in self.fleet.hosts_up_since(began - CONTACT_SECONDS)}
        behind = hosts_behind(states, *expected)
        if not behind:
            self.counts["changes in force"] += 1
            return []
        self.fleet.broken.append(
            f"configuration {expected[0]} and upstream {expected[1]} are not in force "
            f"{APPLY_SECONDS} s after they were written beside {beside}: "
            f"{len(behind)} of {len(states)} hosts, such as {behind[0]}, "
            f"{describe_state(states[behind[0]], expected[1])}")
        return []


def describe_state(state, upstream):
    if state is None:
        return "which does not answer"
    has = "with" if upstream in state.upstreams else "without"
    return f"which has configuration {state.version}, {has} the upstream"


def odd_shape(fault):
    return soak_odd.ODD_SHAPES[fault.variant % len(soak_odd.ODD_SHAPES)]


def hold_port(address):
    """Listens at a host's port, as another process may."""
    host, port = address.split(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen()
    return listener
