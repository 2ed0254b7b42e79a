# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Callers that go on to one host while it stops, and the judgement of what became
of their requests.

They ask no locator, and use kept and new connections until the host's process
has gone. The rules are those of a planned stop: what was passed to an upstream
gets that upstream's answer, and what is refused is refused at once.
"""
import asyncio
import dataclasses
import random
import time

from soak_background import read_message

# A request that was sent at most this long after SIGTERM may be ended in the last
# part of the grace, if its upstream is still at work then.
EARLY_SECONDS = 3.0
LAST_PART_OF_GRACE = 1 / 6
# The longest time from a request to its refusal.
MAX_REFUSAL_SECONDS = 0.25
# Time-outs of the routes in examples/race_results/deployment.jsonc.
TIMEOUT_SECONDS = {"submit": 3.0, "lookup": 2.0}
# Host and caller read the clock at different moments.
CLOCK_SLACK_SECONDS = 0.05
MAX_WAIT_SECONDS = 15.0
KEPT_SHARE = 0.5
SUBMIT_SHARE = 0.5
SUBMIT_BYTES = 50


@dataclasses.dataclass
class Sent:
    """One request: times on time.monotonic(), and its outcome: a status, "closed"
    (no or half an answer) or "not sent"."""

    run_id: str
    kind: str
    sent_at: float
    ended_at: float = 0
    outcome: str = ""
    is_answer: bool = False  # an upstream's, by the header that tells so
    is_stop_refusal: bool = False


def lost_requests(records, runs_by_id, stopped_at, grace):
    """The requests that were passed to an upstream and did not get its answer,
    although neither their time-out nor the end of the grace allows that."""
    lost = []
    for sent in records:
        if sent.outcome not in ("502", "504", "closed") or sent.is_answer:
            continue
        if not runs_by_id.get(sent.run_id) or sent.ended_at < stopped_at:
            continue
        timeout = TIMEOUT_SECONDS[sent.kind] - CLOCK_SLACK_SECONDS
        if sent.ended_at - sent.sent_at >= timeout:
            continue
        last_part_at = stopped_at + grace * (1 - LAST_PART_OF_GRACE)
        is_early = sent.sent_at <= stopped_at + EARLY_SECONDS
        if is_early and sent.ended_at >= last_part_at - CLOCK_SLACK_SECONDS:
            continue
        lost.append(sent)
    return lost


def late_refusals(records):
    """The requests that waited for being refused because the host stops."""
    return [sent for sent in records if sent.is_stop_refusal
            and sent.ended_at - sent.sent_at > MAX_REFUSAL_SECONDS]


def false_refusals(records, runs_by_id):
    """The requests that were refused as not run although an upstream ran them."""
    return [sent for sent in records
            if sent.outcome == "503" and runs_by_id.get(sent.run_id)]


def broken_in_stop(host, records, runs_by_id, stopped_at, grace):
    """The promises of a planned stop that these requests show as broken."""
    broken = []
    lost = lost_requests(records, runs_by_id, stopped_at, grace)
    if lost:
        broken.append(f"{host}: {len(lost)} requests lost that were passed on in the "
                      f"stop: {describe(lost, stopped_at)}")
    late = late_refusals(records)
    if late:
        longest = max(sent.ended_at - sent.sent_at for sent in late)
        broken.append(f"{host}: {len(late)} refusals in the stop came after up to "
                      f"{longest:.2f} s")
    false = false_refusals(records, runs_by_id)
    if false:
        broken.append(f"{host}: {len(false)} requests refused as not run were run: "
                      f"{describe(false, stopped_at)}")
    return broken


def describe(records, stopped_at):
    """Kind, outcome, and when sent and ended, in seconds from SIGTERM."""
    return ", ".join(
        f"{sent.kind} {sent.outcome} {sent.sent_at - stopped_at:.2f}-"
        f"{sent.ended_at - stopped_at:.2f} s" for sent in records[:8])


class StayingCallers:
    """Requests to one host at a steady rate, until stop() is called."""

    def __init__(self, address, host_header, seed, rate):
        self.address = address
        self.host_header = host_header
        self.seed = seed
        self.rate = rate
        self.draw = random.Random(seed)
        self.records = []
        self.kept = []
        self.is_running = True

    def stop(self):
        self.is_running = False

    async def run(self):
        """Sends until stop() is called; ends when all requests have ended."""
        tasks = []
        next_at = time.monotonic()
        while self.is_running:
            tasks.append(asyncio.ensure_future(self.request(len(tasks))))
            next_at += self.draw.expovariate(self.rate)
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
        await asyncio.gather(*tasks)
        for _, writer in self.kept:
            writer.close()

    async def request(self, number):
        kind = "submit" if self.draw.random() < SUBMIT_SHARE else "lookup"
        keeps = self.draw.random() < KEPT_SHARE
        sent = Sent(f"stay-{self.seed}-{number}", kind, time.monotonic())
        self.records.append(sent)
        connection = None
        try:
            connection = await self.connect(keeps)
        except OSError:
            sent.outcome = "not sent"
            sent.ended_at = time.monotonic()
            return
        try:
            connection[1].write(self.request_text(sent, keeps))
            closes = await asyncio.wait_for(
                self.read_answer(sent, connection[0]), MAX_WAIT_SECONDS)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.TimeoutError):
            sent.outcome = "closed"
            closes = True
        sent.ended_at = time.monotonic()
        if keeps and not closes:
            self.kept.append(connection)
        else:
            connection[1].close()

    async def connect(self, keeps):
        if keeps and self.kept:
            return self.kept.pop(0)
        address, port = self.address.split(":")
        return await asyncio.open_connection(address, int(port))

    def request_text(self, sent, keeps):
        body = b"b" * SUBMIT_BYTES if sent.kind == "submit" else b""
        method = "POST" if body else "GET"
        lines = [f"{method} /resultat/{sent.kind}/{sent.run_id} HTTP/1.1",
                 f"Host: {self.host_header}", f"X-Run-Id: {sent.run_id}",
                 f"Content-Length: {len(body)}"]
        if not keeps:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def read_answer(self, sent, reader):
        """Notes the outcome; returns whether the host closes the connection."""
        head, body = await read_message(reader)
        text = head.decode("latin1").lower()
        sent.outcome = text.split()[1]
        sent.is_answer = "pathcleat-outcome: answered" in text
        sent.is_stop_refusal = b"host_stops" in body
        return "connection: close" in text
