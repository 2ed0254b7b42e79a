#!/usr/bin/env python3
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Tests of the uploads of a soak and of how their answers are judged."""
import asyncio
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import soak_uploads  # noqa: E402

EXPECTED = soak_uploads.expected_answer("r7", "/resultat/submit/r7", b"body")


class JudgementTest(unittest.TestCase):
    """Successes are whole, and statuses are some."""

    def test_expected_answer_repeats_the_request(self):
        self.assertTrue(EXPECTED.startswith(b"run r7 of /resultat/submit/r7\nbody\n77"))
        self.assertTrue(EXPECTED.endswith(b"7\nend r7\n"))

    def test_whole_answer_and_failures_are_right(self):
        self.assertIsNone(soak_uploads.judge("200", EXPECTED, EXPECTED))
        self.assertIsNone(soak_uploads.judge("502", b"unknown", EXPECTED))

    def test_part_of_an_answer_or_another_one_is_wrong(self):
        for received in (b"", EXPECTED[:-1], b"broken-answer", EXPECTED + b"x"):
            self.assertIsNotNone(soak_uploads.judge("200", received, EXPECTED))

    def test_status_that_is_none_is_wrong(self):
        for status in ("000", "099", "600", "999"):
            self.assertIsNotNone(soak_uploads.judge(status, b"", EXPECTED))


class UploadsTest(unittest.TestCase):
    """Uploads are counted, and what is wrong with their answers is kept."""

    @staticmethod
    def upload_to(answer):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(soak_uploads.UPLOAD_BYTES)
            writer.write(answer)
            writer.close()

        async def run():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            uploads = soak_uploads.Uploads([f"127.0.0.1:{port}"], "x.example", 1, 1)
            await uploads.upload("r1", uploads.addresses[0])
            server.close()
            return uploads

        return asyncio.run(run())

    def test_success_with_another_body_is_kept_as_broken(self):
        uploads = self.upload_to(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart")
        self.assertEqual(uploads.counts.outcomes, {"200": 1})
        self.assertEqual(len(uploads.broken), 1)

    def test_closed_connection_is_no_broken_answer(self):
        uploads = self.upload_to(b"")
        self.assertEqual(uploads.counts.outcomes, {"closed": 1})
        self.assertEqual(uploads.broken, [])


if __name__ == "__main__":
    unittest.main()
