# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Stand-ins for the platform's store, the instances and the clients, and the
start of the project's own program, for the cases of the second review.

Everything runs on loopback addresses, on free ports, in one event loop. The
hosts are separate processes, started with the command of the deploy file.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "pathcleat")
HOST_NAME = "ficu95.example"
ZONES = {"sv-uppsala": "svealand", "nl-umea": "norrland", "gl-malmo": "gotaland"}
# As in the site file lopres-pathcleat.
BOUNDS = {"retry_ratio": 0.2, "retry_slack": 58, "cold_slack": 5,
          "locate_ttl_ms": 2000, "stop_grace_ms": 6000, "contact_ms": 4000,
          "config_apply_ms": 2500}

_START = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - _START


class Record:
    """record.txt: what was sent, answered and run, one JSON object a line."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def note(self, what, **fields):
        self.file.write(json.dumps({"t": round(now(), 4), "what": what, **fields}) + "\n")

    def close(self):
        self.file.close()


_chosen_ports = set()


def free_port(address, kinds=(socket.SOCK_STREAM,)):
    for _ in range(200):
        with socket.socket(socket.AF_INET, kinds[0]) as first:
            first.bind((address, 0))
            port = first.getsockname()[1]
            if port in _chosen_ports:
                continue
            _chosen_ports.add(port)
            try:
                for kind in kinds[1:]:
                    with socket.socket(socket.AF_INET, kind) as other:
                        other.bind((address, port))
                return port
            except OSError:
                continue
    raise OSError("no free port at " + address)


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    """Returns (first line, [(name, value)]) or None at the end."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = block.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers.append((name.strip(), value.strip()))
    return lines[0], headers


def header(headers, name, otherwise=None):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return otherwise


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    length = int(header(headers, "Content-Length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return line, headers, body


def answer_bytes(status, headers, body=b""):
    lines = ["HTTP/1.1 %d Status" % status]
    lines += ["%s: %s" % (name, value) for name, value in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request_bytes(method, path, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, path)]
    lines += ["%s: %s" % (name, value) for name, value in headers]
    if body or method in ("POST", "PUT"):
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# ---------------------------------------------------------------- the store

class Store:
    """Rows, transactions and feeds of PROTOCOL.md; 4 ms an answer."""

    def __init__(self, record):
        self.record = record
        self.tables = {}   # table -> {key: (value in base64, ver)}
        self.changes = {}  # table -> [(ver, key)]
        self.ver = 1
        self.changed = asyncio.Event()
        self.server = None
        self.address = None
        # A case may set these: what to do with a call. The hook gets the path
        # and the body and returns None (as usual) or a coroutine's answer.
        self.hook = None

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % (ip, self.server.sockets[0].getsockname()[1])

    def put(self, table, key, value):
        """Writes a row of the operator or of an instance."""
        self.ver += 1
        self._set(table, key, base64.b64encode(json.dumps(value).encode()).decode())
        self._wake()

    def remove(self, table, key):
        self.ver += 1
        self._set(table, key, None)
        self._wake()

    def get(self, table, key):
        row = self.tables.get(table, {}).get(key)
        return json.loads(base64.b64decode(row[0])) if row else None

    def _set(self, table, key, value):
        rows = self.tables.setdefault(table, {})
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = (value, self.ver)
        self.changes.setdefault(table, []).append((self.ver, key))

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, table, key):
        row = self.tables.get(table, {}).get(key)
        if row is None:
            return None
        return {"table": table, "part": "", "TlsKey": key, "Value": row[0], "ver": row[1]}

    def _stamp(self):
        return {"ver": self.ver, "now": int(now() * 1000)}

    def rows_get(self, query):
        table = query.get("table", "")
        start, end = query.get("From", ""), query.get("TargetVersion")
        limit = min(int(query.get("limit", "500")), 500)
        keys = sorted(k for k in self.tables.get(table, {})
                      if k >= start and (not end or k < end))
        rows = [self._row(table, key) for key in keys[:limit]]
        return 200, {"Rows": rows, "more": len(keys) > limit, **self._stamp()}

    async def rows_feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", "0"))
        until = now() + min(int(query.get("WaitMs", "0")), 30000) / 1000
        while True:
            newest = {}
            for ver, key in self.changes.get(table, []):
                if ver > after:
                    newest[key] = ver
            if newest:
                rows = []
                for key, ver in sorted(newest.items(), key=lambda item: item[1]):
                    rows.append(self._row(table, key) or
                                {"table": table, "part": "", "TlsKey": key,
                                 "gone": True, "ver": ver})
                return 200, {"Rows": rows, **self._stamp()}
            left = until - now()
            if left <= 0:
                return 200, {"Rows": [], **self._stamp()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def rows_tx(self, body):
        wanted = json.loads(body)
        for row in wanted.get("ExpectedRev", []):
            have = self.tables.get(row["table"], {}).get(row["TlsKey"])
            if (have[1] if have else 0) != row["ver"]:
                rows = [self._row(r["table"], r["TlsKey"]) for r in wanted["ExpectedRev"]]
                return 412, {"Rows": [r for r in rows if r], **self._stamp()}
        if any(r["table"] == "servers" for r in wanted.get("put", []) + wanted.get("Remove", [])):
            return 403, self._stamp()
        self.ver += 1
        for row in wanted.get("put", []):
            self._set(row["table"], row["TlsKey"], row["Value"])
        for row in wanted.get("Remove", []):
            self._set(row["table"], row["TlsKey"], None)
        self._wake()
        return 200, self._stamp()

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, _, body = message
                method, target, _ = line.split(" ", 2)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                await asyncio.sleep(0.004)
                if self.hook:
                    done = await self.hook(self, parts.path, query, body, writer)
                    if done == "silent":
                        await asyncio.sleep(3600)
                    if done == "close":
                        return
                if parts.path == "/-/rows-get":
                    status, answer = self.rows_get(query)
                elif parts.path == "/-/rows-feed":
                    status, answer = await self.rows_feed(query)
                elif parts.path == "/-/rows-tx" and method == "POST":
                    status, answer = self.rows_tx(body)
                else:
                    status, answer = 404, {}
                writer.write(answer_bytes(status, [("Content-Type", "application/json")],
                                          json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------- instances

class Instance:
    """A sound instance; `serve_one` may be replaced by a case."""

    def __init__(self, record, store, name, service, zone, slots=9, work=0.08):
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work = slots, work
        self.running = 0
        self.server = None
        self.address = None
        self.writers = set()
        self.extra = None  # what a faulty instance sends in the place of an answer

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % (ip, self.server.sockets[0].getsockname()[1])

    def entry(self, state="ready"):
        return {"Service": self.service, "Address": self.address, "failure_domain": self.zone,
                "Version": "v1", "Slots": self.slots, "State": state, "ColdRemaining": 0,
                "Sequence": 1}

    def announce(self, state="ready"):
        self.store.put("servers", self.name, self.entry(state))

    def load(self):
        return "%d,%d,%d" % (self.running, max(0, self.running - self.slots), self.slots)

    def body_of(self, request_id):
        return ("answer to %s by %s\n" % (request_id, self.name)).encode()

    def answer(self, request_id, status=200):
        return answer_bytes(status, [
            ("Pathcleat-Request-Id", request_id),
            ("Pathcleat-Response-Signature", "sig.%s.%s" % (self.name, request_id)),
            ("Pathcleat-Server-Load", self.load())], self.body_of(request_id))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        connection = {"answered": 0, "last": None}
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, path, _ = line.split(" ", 2)
                if path == "/health":
                    writer.write(answer_bytes(200, [("Pathcleat-Instance-Id", self.name),
                                                    ("Pathcleat-Server-Load", self.load())]))
                    await writer.drain()
                    continue
                expected = header(headers, "Pathcleat-Expect-Instance")
                request_id = header(headers, "Pathcleat-Request-Id", "")
                if expected and expected != self.name:
                    writer.write(answer_bytes(421, [("Pathcleat-Request-Id", request_id),
                                                    ("Pathcleat-Instance-Id", self.name)]))
                    await writer.drain()
                    continue
                await self.run(method, path, request_id, body, writer, connection)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, method, path, request_id, body, writer, connection):
        self.running += 1
        self.record.note("run", id=request_id, instance=self.name, method=method, path=path)
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        if self.extra:
            surplus = self.extra(self, connection, request_id)
            if surplus:
                writer.write(surplus)
                await writer.drain()
                # The bytes arrive by themselves, as a late answer's do.
                await asyncio.sleep(0.01)
        writer.write(self.answer(request_id))
        connection["answered"] += 1
        connection["last"] = request_id
        await writer.drain()


# ---------------------------------------------------------------- hosts

class Fleet:
    """The project's entry hosts, as processes of their own."""

    def __init__(self, record, store_address, zones=("sv-uppsala", "nl-umea", "gl-malmo")):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="pathcleat-review-")
        self.hosts = {}
        for number, zone in enumerate(zones):
            ip = "127.0.%d.%d" % (10 + number, os.getpid() % 200 + 20)
            name = "frontend-%s-%d" % (zone, number + 1)
            ports = {use: free_port(ip) for use in
                     ("callers", "readiness", "locate", "operators", "metrics")}
            listen = {use: "%s:%d" % (ip, port) for use, port in ports.items()}
            peer = free_port(ip, (socket.SOCK_STREAM, socket.SOCK_DGRAM))
            settings = {
                "host": name, "failure_domain": zone, "region": ZONES[zone],
                "failure_domains": [{"name": z, "region": r} for z, r in ZONES.items()],
                "listen": listen, "peers": {"address": ip, "port": peer},
                "link_mbps": 1000.0, "cpu_share": 0.2, "cpu_cores": 1,
                "max_descriptors": 4100, "memory_mb": 260,
                "store": {"address": store_address}, "bounds": BOUNDS,
                "gigabyte_costs": {"between_domains": 5000, "between_regions": 10000}}
            path = os.path.join(self.folder, name + ".jsonc")
            with open(path, "w") as file:
                json.dump(settings, file)
            self.hosts[name] = {"settings": path, "zone": zone, "ip": ip, **listen,
                                "process": None}

    async def start(self, name):
        host = self.hosts[name]
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        host["process"] = await asyncio.create_subprocess_exec(
            PROGRAM, "entry", host["settings"], stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.record.note("host-started", host=name)

    async def start_all(self):
        for name in self.hosts:
            await self.start(name)

    async def wait_ready(self, seconds=20):
        until = now() + seconds
        for host in self.hosts.values():
            while True:
                if now() > until:
                    return False
                if await self.is_ready(host):
                    break
                await asyncio.sleep(0.1)
        return True

    async def is_ready(self, host):
        ip, port = host["readiness"].split(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(request_bytes("GET", "/v1/ready", [("Host", host["readiness"])]))
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and " 200 " in message[0]
        except (OSError, asyncio.TimeoutError):
            return False

    def send(self, name, number):
        self.record.note("signal", host=name, signal=signal.Signals(number).name)
        self.hosts[name]["process"].send_signal(number)

    async def stop_all(self):
        for host in self.hosts.values():
            process = host["process"]
            if process is not None and process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


# ---------------------------------------------------------------- a client

class Client:
    """One connection of a client; sends one request at a time."""

    numbers = 0

    def __init__(self, record, address, name):
        self.record, self.name = record, name
        self.ip, self.port = address.split(":")
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.ip, int(self.port))

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, method, path, deadline_ms, body=b""):
        """Sends a request and waits for its answer until the deadline."""
        Client.numbers += 1
        request_id = "%08x%08x" % (os.getpid(), Client.numbers)
        result = {"id": request_id, "sent": now(), "answered": None, "status": None,
                  "body": None, "headers": None}
        try:
            if self.writer is None:
                await asyncio.wait_for(self.connect(), 1)
            self.record.note("sent", id=request_id, client=self.name, method=method, path=path)
            result["sent"] = now()
            self.writer.write(request_bytes(method, path, [
                ("Host", HOST_NAME), ("Pathcleat-Request-Id", request_id),
                ("Pathcleat-Affinity-Key", str(Client.numbers % 40)),
                ("Pathcleat-Deadline-Ms", str(deadline_ms))], body))
            message = await asyncio.wait_for(read_message(self.reader), deadline_ms / 1000)
            if message is None:
                result["status"] = "closed"
                self.close()
            else:
                line, headers, result["body"] = message
                result["status"] = int(line.split(" ")[1])
                result["headers"] = headers
                if header(headers, "Connection", "").lower() == "close":
                    self.close()
            result["answered"] = now()
        except asyncio.TimeoutError:
            result["status"] = "deadline"
            self.close()
        except OSError as error:
            result["status"] = "no connection: " + str(error)
            self.close()
        self.record.note("answered" if result["answered"] else "unanswered", id=request_id,
                         client=self.name, status=result["status"],
                         body=(result["body"] or b"").decode("latin-1")[:80])
        return result


def config(version=1, routes=None, services=("resultat",)):
    return {"Version": version, "Routes": routes or [
        {"Name": "r-safe", "Host": HOST_NAME, "PathPrefix": "/lohu930/", "Kind": "safe",
         "Timeout": 1500, "TargetLatency": 400, "Priority": 2, "Service": "resultat",
         "MaxAttempts": 2, "StickySessions": False, "AllowedRegions": []},
        {"Name": "r-unsafe", "Host": HOST_NAME, "PathPrefix": "/pufi791/", "Kind": "unsafe",
         "Timeout": 2000, "TargetLatency": 500, "Priority": 1, "Service": "resultat",
         "MaxAttempts": 2, "StickySessions": False, "AllowedRegions": []}],
        "Services": [{"Name": name, "HealthPath": "/health", "MaxConns": 330, "Protocol": "h1",
                      "Tls": False, "ColdStart": 3.0, "ColdPerS": 14.0} for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": 3000,
                   "IdleTimeout": 15000}}


class Deployment:
    """Store, instances and hosts together."""

    def __init__(self, folder, zones=("sv-uppsala", "nl-umea", "gl-malmo"), per_zone=2):
        self.record = Record(folder)
        self.zones, self.per_zone = zones, per_zone
        self.store = self.fleet = None
        self.instances = []

    async def start(self):
        self.store = Store(self.record)
        await self.store.start()
        number = 0
        for zone in self.zones:
            for _ in range(self.per_zone):
                number += 1
                instance = Instance(self.record, self.store, "i-%08x" % (0x7f3a0000 + number),
                                    "resultat", zone)
                await instance.start("127.0.%d.%d" % (30 + number, os.getpid() % 200 + 20))
                self.instances.append(instance)
                instance.announce()
        self.store.put("op", "config", config())
        self.fleet = Fleet(self.record, self.store.address, self.zones)
        await self.fleet.start_all()
        if not await self.fleet.wait_ready():
            return False
        await asyncio.sleep(4)  # in touch: Contact without a start
        return True

    async def stop(self):
        if self.fleet is not None:
            await self.fleet.stop_all()
        self.record.close()


def main(case):
    """Runs `case(trouble, folder)`; exits with 1, 0, or 2 if it couldn't run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(PROGRAM):
        print("no program at " + PROGRAM + ": build the deploy file first")
        sys.exit(2)
    try:
        code = asyncio.run(asyncio.wait_for(case(trouble, folder), 115))
    except Exception as error:  # the case couldn't run
        print("could not run:", type(error).__name__, error)
        code = 2
    sys.exit(code)
