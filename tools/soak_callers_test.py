#!/usr/bin/env python3
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Tests of the judgement of requests to a host that stops."""
import asyncio
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import soak_callers  # noqa: E402
from soak_background import Background  # noqa: E402

GRACE = 6.0
STOPPED_AT = 100.0


def sent(outcome, at, took, kind="submit", **more):
    """A request of the id r, sent so long after SIGTERM."""
    return soak_callers.Sent("r", kind, STOPPED_AT + at, STOPPED_AT + at + took,
                             outcome, **more)


def lost(request, runs=None):
    runs = {"r": 1} if runs is None else runs
    return soak_callers.lost_requests([request], runs, STOPPED_AT, GRACE) != []


class LostRequestsTest(unittest.TestCase):
    """What was passed to an upstream gets its answer."""

    # Guards against requests begun late in the grace and ended with the host.
    def test_late_request_that_the_host_ends_is_lost(self):
        for outcome in ("504", "502", "closed"):
            self.assertTrue(lost(sent(outcome, 3.8, 1.2)))

    def test_request_that_reached_no_upstream_is_not_lost(self):
        self.assertFalse(lost(sent("closed", 3.8, 1.2), runs={}))

    def test_answers_and_refusals_are_not_lost(self):
        self.assertFalse(lost(sent("200", 3.8, 1.2)))
        self.assertFalse(lost(sent("503", 3.8, 0.1)))
        self.assertFalse(lost(sent("504", 3.8, 1.2, is_answer=True)))

    def test_time_out_of_the_route_is_no_loss(self):
        self.assertFalse(lost(sent("504", 2.9, 3.0)))
        self.assertFalse(lost(sent("504", 3.5, 2.0, kind="lookup")))
        self.assertTrue(lost(sent("504", 3.5, 2.0, kind="submit")))

    def test_early_request_may_be_ended_in_the_last_part_of_the_grace_alone(self):
        self.assertFalse(lost(sent("504", 2.9, 2.1)))
        self.assertTrue(lost(sent("504", 2.9, 1.9)))
        self.assertTrue(lost(sent("504", 3.1, 1.9)))

    # Guards against a host that closes what it began before SIGTERM.
    def test_request_from_before_the_stop_counts_if_it_ends_in_it(self):
        self.assertTrue(lost(sent("closed", -0.2, 0.4)))
        self.assertFalse(lost(sent("502", -0.6, 0.4)))


class RefusalsTest(unittest.TestCase):
    """Refusals are true and come at once."""

    # Guards against requests that wait although the host cannot serve them.
    def test_refusal_after_a_wait_is_late(self):
        late = [sent("503", 4, 0.3, is_stop_refusal=True)]
        soon = [sent("503", 4, 0.2, is_stop_refusal=True)]
        self.assertEqual(soak_callers.late_refusals(late + soon), late)

    def test_refused_request_that_ran_is_a_false_refusal(self):
        refused = [sent("503", 4, 0.1)]
        self.assertEqual(soak_callers.false_refusals(refused, {"r": 1}), refused)
        self.assertEqual(soak_callers.false_refusals(refused, {}), [])

    def test_each_broken_promise_is_told_with_its_times(self):
        records = [sent("504", 3.8, 1.2), sent("503", 4, 0.3, is_stop_refusal=True)]
        told = soak_callers.broken_in_stop("h", records, {"r": 1}, STOPPED_AT, GRACE)
        self.assertEqual(len(told), 3)
        self.assertIn("submit 504 3.80-5.00 s", told[0])


class StayingCallersTest(unittest.TestCase):
    """Callers note what a host does to them."""

    def play(self, answer):
        """The records of callers whose host sends these bytes and closes."""
        background = Background()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            writer.close()

        async def play():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            callers = soak_callers.StayingCallers(f"127.0.0.1:{port}", "x", 1, 200)
            running = asyncio.ensure_future(callers.run())
            while len(callers.records) < 5:
                await asyncio.sleep(0.01)
            callers.stop()
            await running
            server.close()
            return callers.records

        try:
            return background.run(play())
        finally:
            background.close()

    def test_refusal_of_a_stopping_host_is_known(self):
        body = b"not run: host_stops\n"
        records = self.play(b"HTTP/1.1 503 x\r\nConnection: close\r\n"
                            b"Content-Length: %d\r\n\r\n" % len(body) + body)
        self.assertTrue(all(r.outcome == "503" and r.is_stop_refusal for r in records))

    # Guards against a cut answer that is taken for a whole one.
    def test_half_an_answer_is_a_closed_connection(self):
        records = self.play(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        self.assertEqual({r.outcome for r in records}, {"closed"})


if __name__ == "__main__":
    unittest.main()
