# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""The rows of the platform's stand-in, as operators and upstreams write them."""
import base64
import json
import urllib.parse
import urllib.request

CALL_SECONDS = 10


class Store:
    """The rows of the platform's stand-in."""

    def __init__(self, address):
        self.address = address

    def call(self, target, body=None):
        request = urllib.request.Request(f"http://{self.address}{target}", data=body)
        with urllib.request.urlopen(request, timeout=CALL_SECONDS) as answer:
            return json.loads(answer.read())

    def read(self, table, key):
        """The row's value, or None."""
        query = urllib.parse.urlencode({"table": table, "From": key, "limit": 1})
        rows = self.call(f"/-/rows-get?{query}")["Rows"]
        if not rows or rows[0]["TlsKey"] != key:
            return None
        return json.loads(base64.b64decode(rows[0]["Value"]))

    def write(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.change([{"table": table, "part": "", "TlsKey": key, "Value": text}], [])

    def remove(self, table, key):
        self.change([], [{"table": table, "part": "", "TlsKey": key}])

    def change(self, put, removed):
        """Writes and removes rows in one call, whatever their versions."""
        body = {"ExpectedRev": [], "put": put, "Remove": removed}
        self.call("/-/rows-tx", json.dumps(body).encode())
