# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Tests of the account of lost worth; they need no bench."""
import contextlib
import io
import json
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import lost_worth  # noqa: E402
import vary_sites  # noqa: E402

ROW = {"n": 10, "late": 2, "refused": 1, "failed": 1, "worth": 0.64}


def report():
    """A report of the bench, with the fields that the account reads."""
    row = lambda name: dict(ROW, name=name)
    return {
        "G": 0.5 * 0.64 + 0.3 * 0.64 + 0.2 * 0.8 - 0.05,
        "parts": [["whole day", 0.5, 0.64], ["worst zone", 0.3, 0.64],
                  ["served at all", 0.2, 0.8]],
        "prices": [["machine-seconds", 100.0, 0.05], ["probes", 0.0, 0.0]],
        "all": row("all"),
        "classes": [row("lookup")],
        "zones": [row("north-a")],
        "windows": [row("0"), row("2")],
    }


def event(name, at_ms, request, **fields):
    """A line of a host's log with the prefix that the bench adds."""
    fields.update(name=name, request=request, host="frontend-north-a-1",
                  time=f"{1_000_000 + at_ms * 1_000}.0")
    return "  0.5 frontend-north-a-1 " + json.dumps(
        {"time": fields.pop("time"), **fields})


def log():
    """One late first visit, one late cold run elsewhere, one refusal."""
    taken = {"service": "s", "affinity_key": "7", "target_ms": 100}
    lines = []
    for request, upstream, at in (("a", "u1", 0), ("b", "u2", 500)):
        lines.append(event("request-taken", at, request, **taken))
        lines.append(event("request-sent", at, request, upstream=upstream, wait_ms=0))
        lines.append(event("request-answered", at + 300, request, status=200,
                           latency_ms=300))
    lines.append(event("request-taken", 900, "c", **taken))
    lines.append(event("request-refused", 900, "c", reason="overloaded"))
    lines.append(event("request-answered", 900, "c", status=503, latency_ms=0))
    lines.append('{"time":"cut short')
    return "\n".join(lines)


class LostWorthTest(unittest.TestCase):
    """Figures of the account, and how bad input is handled."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.report = pathlib.Path(self.folder.name) / "report.json"
        self.log = pathlib.Path(self.folder.name) / "day.log"
        self.report.write_text(json.dumps(report()))
        self.log.write_text(log())

    def test_account_adds_up_without_and_with_the_log(self):
        for requests in ([], lost_worth.read_requests(str(self.log))):
            lost = lost_worth.account(report(), requests)
            self.assertAlmostEqual(sum(lost.values()), 1 - report()["G"], places=9)

    def test_causes_are_told_apart(self):
        causes = [r.cause for r in lost_worth.read_requests(str(self.log))]
        self.assertEqual(causes, [lost_worth.FIRST_VISIT,
                                  "late: cold key, warm elsewhere",
                                  "refused: overloaded"])

    def test_bad_input_is_named(self):
        self.log.write_text("nothing of interest\n")
        wrong = pathlib.Path(self.folder.name) / "wrong.json"
        wrong.write_text("{}")
        for arguments in ([], [str(wrong)], ["/nowhere.json"],
                          [str(self.report), str(self.log)]):
            errors = io.StringIO()
            with contextlib.redirect_stderr(errors):
                self.assertEqual(lost_worth.main(arguments), 2)
            if arguments:
                self.assertIn(arguments[-1], errors.getvalue())


class VarySitesTest(unittest.TestCase):
    """A varied site file is another deployment; equal seeds, equal files."""

    def test_variation_is_seeded(self):
        import random

        text = ("things = 79, warm_gain = 0.7, skew = 0.2, at_home = true\n"
                "count = 3, slots = 5\ncross_region_ms = 20.0\nper_s = 92.6\n"
                "[[day]]\nname = \"a\"\ncount = 3\nper_s = 57.4\n")
        once = vary_sites.vary(text, random.Random("x"))
        self.assertEqual(once, vary_sites.vary(text, random.Random("x")))
        self.assertNotEqual(once, vary_sites.vary(text, random.Random("y")))
        self.assertIn("[[day]]\nname = \"a\"\ncount = 3\n", once)


if __name__ == "__main__":
    unittest.main()
