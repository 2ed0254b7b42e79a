# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""A proxy before the platform's stand-in that answers in odd shapes and adds odd
rows, as a faulty store or another writer may."""
import asyncio
import base64
import json
import re
import urllib.parse

from soak_background import read_message

STORE_PORT = 8500
CLOSE_SECONDS = 0.1
DIGITS_400 = b"9" * 400
DEEP = 100_000


def _field(name, value):
    """Replaces a field of the answer."""
    def change(body):
        return json.dumps(dict(json.loads(body), **{name: value})).encode()
    return change


def _each_row(name, value):
    """Replaces a field of each row."""
    def change(body):
        answer = json.loads(body)
        answer["Rows"] = [dict(row, **{name: value}) for row in answer.get("Rows", [])]
        return json.dumps(answer).encode()
    return change


def _number(text):
    """Replaces the store's version by a text that json.dumps does not write."""
    return lambda body: re.sub(rb'"ver":\d+', b'"ver":' + text, body)


def _constant(body):
    return lambda _: body


# By name, what becomes of an answer's body.
ODD_BODIES = {
    "empty": _constant(b""),
    "list": _constant(b"[]"),
    "text": _constant(b'"x"'),
    "null": _constant(b"null"),
    "number": _constant(b"7"),
    "empty-object": _constant(b"{}"),
    "no-json": _constant(b"\xff\xfe{{"),
    "truncated": lambda body: body[:len(body) // 2],
    "deep": _constant(b'{"Rows":' + b"[" * DEEP + b"]" * DEEP + b',"ver":5}'),
    "deep-open": _constant(b'{"Rows":' + b"[" * DEEP),
    "ver-text": _field("ver", "5x"),
    "ver-list": _field("ver", []),
    "ver-missing": lambda body: re.sub(rb',?"ver":\d+', b"", body),
    "ver-negative": _field("ver", -5),
    "ver-fraction": _field("ver", 3.7),
    "ver-1e300": _number(b"1e300"),
    "ver-1e999": _number(b"1e999"),
    "ver-400-digits": _number(DIGITS_400),
    "rows-null": _field("Rows", None),
    "rows-object": _field("Rows", {"a": 1}),
    "rows-empty": _field("Rows", []),
    "rows-odd": _field("Rows", ["x", 3, None, []]),
    "rows-surrogate": lambda body: body.replace(
        b'"TlsKey":"', b'"TlsKey":"\\ud800'),
    "row-ver-text": _each_row("ver", "x"),
    "row-ver-null": _each_row("ver", None),
    "row-value-number": _each_row("Value", 5),
    "row-value-no-base64": _each_row("Value", "%%%"),
    "row-key-number": _each_row("TlsKey", 5),
    "row-table-list": _each_row("table", []),
    "row-gone-text": _each_row("gone", "no"),
    "more-text": _field("more", "yes"),
    "content-type": lambda body: body,
}
ODD_SHAPES = tuple(sorted(ODD_BODIES))


def odd_answer(shape, head, body):
    """An answer of the store in an odd shape; head and body as read."""
    try:
        odd = ODD_BODIES[shape](body)
    except (ValueError, TypeError, AttributeError):
        odd = body  # no rows in it, such as the answer to an unknown call
    if shape == "content-type":
        head = re.sub(rb"(?i)\r\ncontent-type:[^\r]*", b"\r\nContent-Type: image/png", head)
    return with_length(head, odd), odd


def with_length(head, body):
    return re.sub(rb"(?i)content-length: *\d+", b"Content-Length: %d" % len(body), head)


def _row(key, value=b'{"Service":"other"}', version=b"VER"):
    """The text of a row; TABLE and VER stand for its table and version."""
    encoded = base64.b64encode(value)
    return (b'{"table":"TABLE","part":"","TlsKey":' + key + b',"Value":"' + encoded
            + b'","ver":' + version + b"}")


def _upstream(name, text):
    """A row of an upstream of a service that has no route, one field of which has
    this text as its value."""
    fields = {"Service": b'"other"', "Address": b'"127.0.0.1:1"', "Slots": b"1",
              "failure_domain": b'"svealand-1"', "Version": b'"v1"', "born": b"1",
              "State": b'"ready"', "ColdRemaining": b'"0ms"'}
    fields[name] = text
    value = b",".join(b'"%s":%s' % (key.encode(), value)
                      for key, value in fields.items())
    return _row(b'"odd"', b"{" + value + b"}")


# Rows of another writer, as the store writes them.
ODD_ROWS = {
    "name-surrogate": _row(b'"\\ud800"'),
    "name-surrogate-low": _row(b'"a\\udc00b"'),
    "name-empty": _row(b'""'),
    "name-number": _row(b"17"),
    "name-zero-byte": _row(b'"a\\u0000b"'),
    "name-long": _row(b'"' + b"n" * 100_000 + b'"'),
    "value-no-json": _row(b'"odd"', b"\xff\xfe"),
    "value-list": _row(b'"odd"', b"[]"),
    "value-deep": _row(b'"odd"', b"[" * DEEP),
    "value-deep-closed": _row(b'"odd"', b"[" * DEEP + b"]" * DEEP),
    "service-number": _upstream("Service", b"5"),
    "service-surrogate": _upstream("Service", b'"\\ud800"'),
    "service-empty": _upstream("Service", b'""'),
    "address-odd": _upstream("Address", b'"nowhere"'),
    "address-port-range": _upstream("Address", b'"127.0.0.1:99999"'),
    "domain-unknown": _upstream("failure_domain", b'"none"'),
    "slots-1e300": _upstream("Slots", b"1e300"),
    "slots-negative": _upstream("Slots", b"-4"),
    "slots-over-31-bits": _upstream("Slots", b"3000000000"),
    "slots-400-digits": _upstream("Slots", DIGITS_400),
    "born-1e300": _upstream("born", b"1e300"),
    "cold-huge": _upstream("ColdRemaining", b'"1e300s"'),
    "cold-list": _upstream("ColdRemaining", b"[]"),
    "version-text": _row(b'"odd"', version=b'"x"'),
    "version-400-digits": _row(b'"odd"', version=DIGITS_400),
    "version-negative": _row(b'"odd"', version=b"-3"),
}
# The tables whose changes hosts follow: operators' orders and upstreams.
TABLES = ("servers", "op")
ODD_ROW_NAMES = tuple(sorted(ODD_ROWS))


def removed(row):
    """The row that tells of this row's removal."""
    return row[:-1] + b',"gone":true}'


def is_about(target, call, table):
    """Whether a call of the store is this one, for this table."""
    url = urllib.parse.urlsplit(target)
    tables = urllib.parse.parse_qs(url.query).get("table")
    return url.path == f"/-/{call}" and tables == [table]


def add_rows(target, body, table, rows):
    """Adds rows to an answer about a table: to each list, and to each feed that
    tells of a change."""
    is_asked = is_about(target, "rows-get", table) or is_about(target, "rows-feed", table)
    has_rows = b'"Rows":[' in body and b'"Rows":[]' not in body
    if not rows or not is_asked or not has_rows:
        return body
    number = re.findall(rb'"ver":(\d+)', body)[-1]
    text = b",".join(row.replace(b'"ver":VER', b'"ver":' + number)
                     .replace(b'"TABLE"', b'"' + table.encode() + b'"') for row in rows)
    return body.replace(b'"Rows":[', b'"Rows":[' + text + b",", 1)


class StoreProxy:
    """Passes calls on to the stand-in, and its answers back as told."""

    def __init__(self, listen_address, store_address):
        self.listen_address = listen_address
        self.store_address = store_address
        self.shape = None
        self.rows = {}  # by table and name
        self.removals = {}
        self.server = None
        self.tasks = set()  # the event loop itself holds no reference to a task

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, self.listen_address, STORE_PORT)

    async def close(self):
        """Takes no more connections; those of ended processes close."""
        if self.server:
            self.server.close()
            await asyncio.sleep(CLOSE_SECONDS)

    def change(self, target, head, body):
        """What the host is answered."""
        if not head.startswith(b"HTTP/1.1 200"):
            return head, body
        if self.shape:
            return odd_answer(self.shape, head, body)
        added = dict(self.rows)
        if target.startswith("/-/rows-feed"):
            added.update(self.removals)
        for table in TABLES:
            rows = [row for (place, _), row in added.items() if place == table]
            body = add_rows(target, body, table, rows)
        return with_length(head, body), body

    async def serve(self, reader, writer):
        store_writer = None
        self.tasks.add(asyncio.current_task())
        try:
            store_reader, store_writer = await asyncio.open_connection(
                self.store_address, STORE_PORT, limit=1 << 24)
            while True:
                head, body = await read_message(reader)
                store_writer.write(head + body)
                answer = await read_message(store_reader)
                target = head.split()[1].decode("latin1")
                writer.write(b"".join(self.change(target, *answer)))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()
            if store_writer:
                store_writer.close()
