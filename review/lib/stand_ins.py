# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Stand-ins for the platform's store, for instances and for clients.

Each stand-in does what PROTOCOL.md says. Everything listens on loopback
addresses. One event loop runs all of them; the entry hosts are processes of
their own, started with the command of deploy/system.toml.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = ["target/pathcleat", "entry"]


class Record:
    """The file record.txt: one line for each thing sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Reads a head; returns the first line and the fields, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
    return lines[0], fields


def field(fields, name):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return None


async def read_body(reader, fields):
    if (field(fields, "Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(field(fields, "Content-Length") or 0)
    return await reader.readexactly(length) if length else b""


def message(first_line, fields, body=b""):
    head = first_line + "\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields)
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serves HTTP/1.1 with one request at a time on a connection."""

    def __init__(self):
        self.server = None
        self.writers = set()

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=2**20)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                answer = await self.handle(method, target, head[1], body, reader, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, fields, body, reader, writer):
        raise NotImplementedError

    def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(HttpServer):
    """The platform's store: rows, transactions under conditions, a feed."""

    def __init__(self):
        super().__init__()
        self.version = 1
        self.rows = {}  # (table, part, key) -> (value as base64, or None; version)
        self.changed = asyncio.Condition()
        self.silent = False
        self.silences = 0

    def put_now(self, table, key, value, part=""):
        self.version += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, part, key)] = (data, self.version)

    async def put(self, table, key, value):
        async with self.changed:
            self.put_now(table, key, value)
            self.changed.notify_all()

    async def remove(self, table, key):
        async with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = (None, self.version)
            self.changed.notify_all()

    @staticmethod
    def row(place, entry):
        value, version = entry
        row = {"table": place[0], "part": place[1], "TlsKey": place[2], "ver": version}
        if value is None:
            row["gone"] = True
        else:
            row["Value"] = value
        return row

    def answer(self, status, body):
        names = {200: "OK", 404: "Not Found", 412: "Precondition Failed"}
        body = {**body, "ver": self.version, "now": int(time.monotonic() * 1000)}
        return message(f"HTTP/1.1 {status} {names[status]}",
                       [("Content-Type", "application/json")], json.dumps(body).encode())

    def fall_silent(self):
        """Down: calls are taken and never answered, those at hand as well."""
        self.silent = True
        self.silences += 1

    def come_back(self):
        self.silent = False

    async def handle(self, method, target, fields, body, reader, writer):
        silences = self.silences
        await asyncio.sleep(0.004)
        answer = None if self.silent else await self.call(target, body)
        if self.silent or silences != self.silences:
            # An answer is lost: this connection says nothing more.
            await reader.read()
            return None
        return answer

    async def call(self, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/-/rows-get":
            return self.rows_get(query)
        if url.path == "/-/rows-feed":
            return await self.rows_feed(query)
        if url.path == "/-/rows-tx":
            return await self.rows_tx(json.loads(body))
        return self.answer(404, {})

    def rows_get(self, query):
        first, end = query.get("From", ""), query.get("TargetVersion")
        limit = min(500, int(query.get("limit", 500)))
        found = sorted(
            (place, entry) for place, entry in self.rows.items()
            if place[0] == query["table"] and place[1] == query.get("part", "")
            and entry[0] is not None and place[2] >= first
            and (not end or place[2] < end))
        rows = [self.row(place, entry) for place, entry in found[:limit]]
        return self.answer(200, {"Rows": rows, "more": len(found) > limit})

    async def rows_feed(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["WaitMs"]) / 1000

        def news():
            found = [(entry[1], place, entry) for place, entry in self.rows.items()
                     if place[0] == query["table"] and entry[1] > after]
            return [self.row(place, entry) for _, place, entry in sorted(found)]

        async with self.changed:
            while not news() and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            return self.answer(200, {"Rows": news()})

    async def rows_tx(self, transaction):
        async with self.changed:
            places = [(r["table"], r["part"], r["TlsKey"]) for r in transaction["ExpectedRev"]]
            for place, row in zip(places, transaction["ExpectedRev"]):
                value, version = self.rows.get(place, (None, 0))
                if row["ver"] != (0 if value is None else version):
                    present = [self.row(p, self.rows[p]) for p in places if p in self.rows]
                    return self.answer(412, {"Rows": present})
            self.version += 1
            for row in transaction["put"]:
                self.rows[(row["table"], row["part"], row["TlsKey"])] = (
                    row["Value"], self.version)
            for row in transaction["Remove"]:
                self.rows[(row["table"], row["part"], row["TlsKey"])] = (None, self.version)
            self.changed.notify_all()
            return self.answer(200, {})


class Instance(HttpServer):
    """One instance of a service: runs up to `slots` requests at once."""

    def __init__(self, record, name, service, zone, slots, work_s):
        super().__init__()
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.work_s = work_s
        self.slots, self.free = slots, asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.runs = []  # request ids, in the order in which work began
        self.address = ""

    async def start(self, ip, port=0):
        self.address = f"{ip}:{await self.listen(ip, port)}"

    def entry(self):
        return {"Service": self.service, "Address": self.address, "failure_domain": self.zone,
                "Version": "v1", "Slots": self.slots, "State": "ready", "ColdRemaining": 0,
                "Sequence": 1}

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def handle(self, method, target, fields, body, reader, writer):
        if target == "/health":
            return message("HTTP/1.1 200 OK", [("Pathcleat-Instance-Id", self.name),
                                               ("Pathcleat-Server-Load", self.load())])
        request = field(fields, "Pathcleat-Request-Id") or ""
        expected = field(fields, "Pathcleat-Expect-Instance")
        if expected and expected != self.name:
            return message("HTTP/1.1 421 Misdirected Request",
                           [("Pathcleat-Request-Id", request),
                            ("Pathcleat-Instance-Id", self.name)])
        if self.waiting >= 3 * self.slots:
            return message("HTTP/1.1 503 Service Unavailable",
                           [("Pathcleat-Request-Id", request), ("Pathcleat-Not-Executed", "1"),
                            ("Pathcleat-Server-Load", self.load())])
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.runs.append(request)
            self.record.line(f"run {request} at {self.name}: {method} {target}")
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        return message("HTTP/1.1 200 OK", [
            ("Pathcleat-Request-Id", request), ("Pathcleat-Server-Load", self.load()),
            ("Pathcleat-Response-Signature", f"{self.name}.{request}")],
            f"{request} at {self.name}\n".encode())


class Host:
    """One entry host: a process of the project's own program."""

    def __init__(self, settings, folder):
        self.settings = settings
        self.name = settings["host"]
        self.path = os.path.join(folder, self.name + ".jsonc")
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file, indent=1)
        self.log = open(os.path.join(folder, self.name + ".log"), "ab")
        self.process = None

    def start(self):
        self.process = subprocess.Popen(PROGRAM + [self.path], cwd=ROOT, stdout=self.log,
                                        stderr=subprocess.STDOUT)

    @property
    def callers(self):
        ip, _, port = self.settings["listen"]["callers"].rpartition(":")
        return ip, int(port)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def free_port_base(count):
    """A base port from which `count` ports are free on all loopback addresses."""
    first = 21000 + os.getpid() % 500 * 20  # cases side by side take others
    for base in range(first, 32000, count + 11):
        sockets = []
        try:
            for port in range(base, base + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    sockets.append(sock)
                    sock.bind(("0.0.0.0", port))
            return base
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise RuntimeError("no free ports")


ZONES = {"sv-uppsala": "svealand", "sv-vasteras": "svealand", "nl-umea": "norrland",
         "nl-lulea": "norrland", "gl-malmo": "gotaland", "gl-goteborg": "gotaland"}


def host_settings(name, zone, ip, base, store):
    """Settings as deploy/settings.jsonc gives them for the small site."""
    return {
        "host": name, "failure_domain": zone, "region": ZONES[zone],
        "failure_domains": [{"name": z, "region": r} for z, r in ZONES.items()],
        "listen": {"callers": f"{ip}:{base}", "readiness": f"{ip}:{base + 1}",
                   "locate": f"{ip}:{base + 2}", "operators": f"{ip}:{base + 3}",
                   "metrics": f"{ip}:{base + 4}"},
        "peers": {"address": ip, "port": base + 5},
        "link_mbps": 1000.0, "cpu_share": 0.2, "cpu_cores": 1, "max_descriptors": 4100,
        "store": {"address": store},
        "bounds": {"retry_ratio": 0.2, "retry_slack": 58, "cold_slack": 5,
                   "locate_ttl_ms": 2000, "stop_grace_ms": 6000, "config_apply_ms": 2500},
        "gigabyte_costs": {"between_domains": 5000, "between_regions": 10000}}


def site_config(version=1, cert_service="arkiv"):
    """The configuration: routes and services as on the page of examples."""
    route = {"Host": "ficu95.example", "TargetLatency": 500, "MaxAttempts": 2,
             "StickySessions": True, "AllowedRegions": []}
    service = {"HealthPath": "/health", "MaxConns": 330, "Protocol": "h1", "Tls": False,
               "ColdStart": 3.0, "ColdPerS": 14.0}
    return {
        "Version": version,
        "Routes": [
            {**route, "Name": "time-submit", "PathPrefix": "/submit/", "Kind": "unsafe",
             "Timeout": 2000, "Priority": 1, "Service": "resultat"},
            {**route, "Name": "result-lookup", "PathPrefix": "/lookup/", "Kind": "safe",
             "Timeout": 1500, "Priority": 2, "Service": "resultat"},
            {**route, "Name": "cert-issue", "PathPrefix": "/cert/", "Kind": "unsafe",
             "Timeout": 1200, "Priority": 2, "Service": cert_service}],
        "Services": [{**service, "Name": "resultat"}, {**service, "Name": "arkiv"}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": 3000,
                   "IdleTimeout": 15000}}


class Site:
    """A small deployment: the store, instances and entry hosts."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="pathcleat-review-")
        self.store = Store()
        self.instances = []
        self.hosts = []

    async def start(self, hosts_per_zone=1, slots=9, work_s=0.4):
        self.base = free_port_base(6)
        port = await self.store.listen("127.77.0.1", 0)
        self.store.put_now("op", "config", site_config())
        for zone_index, zone in enumerate(ZONES):
            for index, service in enumerate(["resultat", "resultat", "arkiv"]):
                name = f"i-{service}-{zone}-{index}"
                instance = Instance(self.record, name, service, zone, slots, work_s)
                await instance.start(f"127.78.{zone_index}.{index + 1}")
                self.store.put_now("servers", name, instance.entry())
                self.instances.append(instance)
            for index in range(hosts_per_zone):
                self.hosts.append(Host(host_settings(
                    f"frontend-{zone}-{index + 1}", zone, f"127.77.{zone_index + 1}.{index + 1}",
                    self.base, f"127.77.0.1:{port}"), self.folder))
        for host in self.hosts:
            host.start()
        await asyncio.gather(*(self.wait_until_ready(host) for host in self.hosts))

    async def wait_until_ready(self, host):
        ip, port = host.callers
        for _ in range(150):
            try:
                reader, writer = await asyncio.open_connection(ip, port + 1)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and " 200 " in head[0] + " ":
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{host.name} isn't ready")

    def services_of(self, request):
        return [i.service for i in self.instances for run in i.runs if run == request]

    def runs_of(self, request):
        return sum(instance.runs.count(request) for instance in self.instances)

    def stop(self):
        for host in self.hosts:
            host.stop()
        for instance in self.instances:
            instance.stop()
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """One client with a kept connection to an entry host."""

    def __init__(self, record, host, name):
        self.record, self.host, self.name = record, host, name
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.host.callers)

    async def ask(self, method, target, request, fields=(), body=b"", timeout_s=6):
        """Sends a request; returns status, fields and body, or None if the
        connection ended with no answer."""
        head = [("Host", "ficu95.example"), ("Pathcleat-Request-Id", request),
                ("Pathcleat-Deadline-Ms", "3000"), *fields]
        self.record.line(f"{self.name} sends {request} to {self.host.name}: {method} {target}")
        try:
            self.writer.write(message(f"{method} {target} HTTP/1.1", head, body))
            answer = await asyncio.wait_for(self.read_answer(), timeout_s)
        except (ConnectionError, asyncio.IncompleteReadError):
            answer = None
        except asyncio.TimeoutError:
            self.record.line(f"{self.name} has waited {timeout_s} s for {request}")
            answer = None
        what = f"status {answer[0]}" if answer else "no answer, the connection ended"
        self.record.line(f"{self.name} gets for {request}: {what}")
        return answer

    async def read_answer(self):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionResetError
        body = await read_body(self.reader, head[1])
        return int(head[0].split(" ")[1]), head[1], body

    def close(self):
        if self.writer:
            self.writer.close()


def run_case(record_folder, case):
    """Runs a case: a coroutine that takes a site, a record and whether there is
    trouble, and returns whether the rule was broken."""
    record = Record(os.path.join(record_folder, "record.txt"))
    trouble = "--trouble=0" not in sys.argv[1:]
    site = Site(record)
    status = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(play(site, record, trouble, case))
        record.line("the rule was broken" if broken else "the rule held")
        status = 1 if broken else 0
    except Exception as error:  # the case couldn't run
        record.line(f"the case couldn't run: {error!r}")
    finally:
        for host in site.hosts:
            host.stop()
        shutil.rmtree(site.folder, ignore_errors=True)
    print(f"{['held', 'broken', 'could not run'][status]}; see record.txt")
    sys.exit(status)


async def play(site, record, trouble, case):
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    try:
        return await case(site, record, trouble)
    finally:
        site.stop()
