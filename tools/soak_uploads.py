# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Callers that upload to hosts, and the judgement of the answers that they get."""
import asyncio
import dataclasses
import random

from soak_background import read_message

# Below `max_body_bytes` of the route, and above what an instance's machine takes
# while nobody reads it.
UPLOAD_BYTES = 900_000
PADDING_BYTES = 2_000
# Requests with different keys are spread over all instances, new ones included.
AFFINITY_HEADER = "Pathcleat-Affinity-Key"
MAX_WAIT_SECONDS = 15.0
PAUSE_SECONDS = 0.02


@dataclasses.dataclass
class Counts:
    """What became of the uploads; by status, or "closed" without a whole answer."""

    sent: int = 0
    outcomes: dict = dataclasses.field(default_factory=dict)

    def add(self, outcome):
        self.sent += 1
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


def expected_answer(run_id, target, body):
    """The body with which a sound instance answers."""
    return (f"run {run_id} of {target}\n".encode() + body + b"\n"
            + run_id[-1].encode() * PADDING_BYTES + f"\nend {run_id}\n".encode())


def judge(status, received, expected):
    """What is wrong with an answer, or None."""
    if not 200 <= int(status) <= 599:
        return f"an answer with status {status}"
    if int(status) < 300 and received != expected:
        return (f"a success with {len(received)} of {len(expected)} bytes, "
                f"beginning with {received[:40]!r}")
    return None


class Uploads:
    """So many callers that upload to hosts one after the other until stop()."""

    def __init__(self, addresses, host_header, seed, callers):
        self.addresses = addresses
        self.host_header = host_header
        self.seed = seed
        self.callers = callers
        self.counts = Counts()
        self.broken = []
        self.is_running = True

    def stop(self):
        self.is_running = False

    async def run(self):
        await asyncio.gather(*(self.call(number) for number in range(self.callers)))

    async def call(self, caller):
        draw = random.Random(f"{self.seed}-{caller}")
        number = 0
        while self.is_running:
            number += 1
            await self.upload(f"upload-{self.seed}-{caller}-{number}",
                              draw.choice(self.addresses))
            await asyncio.sleep(PAUSE_SECONDS)

    async def upload(self, run_id, address):
        """Sends one upload to a host and judges its answer."""
        target = f"/resultat/submit/{run_id}"
        body = b"u" * UPLOAD_BYTES
        writer = None
        try:
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write((f"POST {target} HTTP/1.1\r\nHost: {self.host_header}\r\n"
                          f"X-Run-Id: {run_id}\r\n{AFFINITY_HEADER}: {run_id}\r\n"
                          f"Content-Length: {len(body)}\r\n"
                          "Connection: close\r\n\r\n").encode() + body)
            head, received = await asyncio.wait_for(read_message(reader),
                                                    MAX_WAIT_SECONDS)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.TimeoutError):
            self.counts.add("closed")
            return
        finally:
            if writer:
                writer.close()
        status = head.split()[1].decode("latin1")
        self.counts.add(status)
        wrong = judge(status, received, expected_answer(run_id, target, body))
        if wrong:
            self.broken.append(f"{run_id} got {wrong}")
