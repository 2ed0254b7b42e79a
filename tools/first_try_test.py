# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Tests of worth counted from the first attempt; they need no bench."""
import contextlib
import io
import json
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import first_try  # noqa: E402
import lost_worth  # noqa: E402

SITE = """
classes = [
  { name = "lookup", kind = "safe", worth = 1, late_worth = 0.2, aim_ms = 400 },
  { name = "submit", kind = "unsafe", worth = 2, late_worth = 0.4, aim_ms = 500 },
]
"""
KINDS = {
    "lookup": first_try.Kind("lookup", 1, 0.2, 0.4, True),
    "submit": first_try.Kind("submit", 2, 0.2, 0.5, False),
}


def row(name, in_aim, late, worth, refused=0, failed=0):
    """A row of a report."""
    return {
        "name": name, "n": in_aim + late + refused + failed, "in_aim": in_aim,
        "late": late, "refused": refused, "failed": failed, "not_owed": 0,
        "worth": worth,
    }


def report():
    """A day of 100 look-ups and 50 submissions, 200 worths: 10 look-ups and 5
    submissions were late by their whole time and had the mean."""
    day = row("all", 120, 30, 0.88)
    whole = (80 + 20 * 0.2 + 10 * 0.4 + 2 * (40 + 10 * 0.2 + 5 * 0.4)) / 200
    day["worth"] = whole
    value = {"whole day": whole, "worst class": 0.88, "served at all": 1.0,
             "worst zone": 0.88, "worst windows": 0.88}
    parts = [["whole day", 0.3, value["whole day"]],
             ["worst class", 0.2, value["worst class"]],
             ["worst zone", 0.2, value["worst zone"]],
             ["worst windows", 0.2, value["worst windows"]],
             ["served at all", 0.1, 1.0]]
    prices = [["machine-seconds", 10.0, 0.05],
              [first_try.HELD_LATE, 3.0, 0.0015],
              [first_try.HELD_TO_THE_END, 1.0, 0.005],
              [first_try.REFUSED_AGAIN, 0.0, 0.0]]
    return {
        "G": sum(p[1] * p[2] for p in parts) - 0.0565, "parts": parts,
        "prices": prices, "all": day, "breaks": {}, "fault": None,
        "classes": [row("lookup", 80, 20, 0.88), row("submit", 40, 10, 0.88)],
        "zones": [row("north-a", 120, 30, 0.88)],
        "windows": [row("0", 60, 15, 0.88), row("2", 60, 15, 0.88)],
    }


def lines_of(request, at, **told):
    """Log lines of a host for one request, accepted at AT seconds and ended
    HELD_MS later."""
    told = {"status": 200, "held_ms": 0, "caller": "100.64.0.1", "key": "7",
            "target_ms": 400, "left_ms": 2000, "repeatable": True, "sent_ms": None,
            "cut": None, "reason": None, "left": False, "route": "r"} | told
    events = [(0, "request-taken", {
        "caller": told["caller"], "route": told["route"], "service": "s",
        "repeatable": told["repeatable"], "affinity_key": told["key"],
        "target_ms": told["target_ms"], "left_ms": told["left_ms"]})]
    if told["sent_ms"] is not None:
        events.append((told["sent_ms"], "request-sent", {"upstream": "u", "wait_ms": 0}))
    if told["cut"] is not None:
        detail, elapsed = told["cut"]
        events.append((told["held_ms"], "attempt-failed", {
            "upstream": "u", "detail": detail, "elapsed_ms": elapsed}))
    if told["reason"]:
        events.append((told["held_ms"], "request-refused", {"reason": told["reason"]}))
    if told["left"]:
        events.append((told["held_ms"], "caller-left", {}))
    else:
        events.append((told["held_ms"], "request-answered", {
            "status": told["status"], "latency_ms": told["held_ms"]}))
    written = at + told["held_ms"] / 1e3
    # The hosts' clocks differ by minutes; the time before the line is that of
    # the bench's clock.
    clock = 60_000_000 * sum(map(ord, request))
    return [
        f"  {written:.4f} frontend-north-a-1 " + json.dumps({
            "time": f"{clock + int(at * 1e6) + ms * 1000}.0", "name": name,
            "host": "frontend-north-a-1", "request": request, **fields})
        for ms, name, fields in events
    ]


class FirstTryTest(unittest.TestCase):
    """Worth of whole times, held requests and retries."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = pathlib.Path(self.folder.name)

    def read(self, *requests):
        """Reads the requests of a log with these lines."""
        log = self.path / "day.log"
        log.write_text("\n".join(line for lines in requests for line in lines))
        return lost_worth.read_requests(str(log))

    def restated(self, requests=()):
        return first_try.restate(report(), list(requests), KINDS, 2.0).report

    def test_whole_times_take_the_mean_off_each_kind(self):
        rows = {r["name"]: r["worth"] for r in self.restated()["classes"]}
        self.assertAlmostEqual(rows["lookup"], (80 + 20 * 0.2) / 100)
        self.assertAlmostEqual(rows["submit"], (40 + 10 * 0.2) / 50)

    def test_parts_move_by_what_their_rows_lose(self):
        parts = {name: value for name, _weight, value in self.restated()["parts"]}
        for name in ("whole day", "worst class", "worst zone", "worst windows"):
            self.assertAlmostEqual(parts[name], 0.84, msg=name)
        self.assertEqual(parts["served at all"], 1.0)

    def test_account_adds_up_by_both_rules(self):
        requests = self.read(
            lines_of("a", 1, status=503, reason="overloaded"),
            lines_of("b", 1.3, held_ms=200, sent_ms=0, left_ms=1700),
            lines_of("c", 2, status=503, reason="overloaded", held_ms=900, key="8"))
        for seen in ([], requests):
            anew = self.restated(seen)
            chains = [first_try.whole(c) for c in first_try.join(seen)]
            for told, judged in ((report(), seen), (anew, chains)):
                lost = lost_worth.account(told, judged)
                self.assertAlmostEqual(sum(lost.values()), 1 - told["G"], places=9)

    def test_refusal_then_success_is_judged_by_its_whole_time(self):
        late = self.read(lines_of("a", 1, status=503, reason="overloaded"),
                         lines_of("b", 1.3, held_ms=200, sent_ms=0, left_ms=1700))
        quick = self.read(lines_of("a", 1, status=503, reason="overloaded"),
                          lines_of("b", 1.1, held_ms=200, sent_ms=0, left_ms=1900))
        for requests, outcome in ((late, "late"), (quick, "")):
            chains = first_try.join(requests)
            self.assertEqual([len(c) for c in chains], [2])
            self.assertEqual(first_try.whole(chains[0]).outcome, outcome)
            self.assertEqual(first_try.earned_mean(chains[0]), outcome == "late")

    def test_only_a_return_of_the_same_request_is_joined(self):
        first = dict(status=503, reason="overloaded", repeatable=False)
        again = dict(held_ms=100, sent_ms=0, repeatable=False)
        for other in (dict(key="8"), dict(caller="100.64.0.2"), dict(route="q")):
            requests = self.read(lines_of("a", 1, **first),
                                 lines_of("b", 1.2, **again | other))
            self.assertEqual(len(first_try.join(requests)), 2, other)
        beyond = self.read(lines_of("a", 1, **first), lines_of("b", 3.2, **again))
        self.assertEqual(len(first_try.join(beyond)), 2)
        failed = self.read(lines_of("a", 1, **first | {"status": 502, "reason": None}),
                           lines_of("b", 1.2, **again))
        self.assertEqual(len(first_try.join(failed)), 2)

    def test_holding_costs_steadily_more(self):
        told = dict(status=503, reason="overloaded")
        for held_ms, share in ((50, 0), (775, 0.5), (1500, 1), (1900, 1)):
            request = self.read(lines_of("a", 1, held_ms=held_ms, **told))[0]
            self.assertTrue(first_try.untried(request))
            self.assertAlmostEqual(first_try.share_held(request), share, places=3)

    def test_what_was_offered_costs_nothing_to_hold(self):
        told = dict(status=502, held_ms=1500)
        cases = (
            (dict(sent_ms=10, cut=("the connection ended with no answer", 900)), False),
            (dict(sent_ms=500, cut=("the connection ended with no answer", 900)), True),
            (dict(sent_ms=10, cut=("the connection ended with no answer", 90)), True),
            (dict(sent_ms=10, cut=("no connection in time", 600)), True),
        )
        for case, is_untried in cases:
            request = self.read(lines_of("a", 1, **told | case))[0]
            self.assertEqual(first_try.untried(request), is_untried, case)

    def test_a_caller_that_gave_up_costs_all_unless_it_left_early(self):
        late = self.read(lines_of("a", 1, held_ms=600, left=True))[0]
        early = self.read(lines_of("a", 1, held_ms=200, left=True))[0]
        self.assertTrue(first_try.untried(late))
        self.assertEqual(first_try.share_held(late), 1)
        self.assertFalse(first_try.untried(early))

    def test_price_of_holding_replaces_the_earlier_ones(self):
        requests = self.read(
            lines_of("a", 1, status=503, reason="too_late", held_ms=775))
        prices = {name: (amount, price)
                  for name, amount, price in self.restated(requests)["prices"]}
        self.assertNotIn(first_try.HELD_LATE, prices)
        self.assertNotIn(first_try.HELD_TO_THE_END, prices)
        # Of a worth of 200, 0.5 was held and 1 was logged by no host.
        self.assertAlmostEqual(prices[first_try.HELD][0], 1.5, places=3)
        self.assertAlmostEqual(prices[first_try.HELD][1], 1.5 / 200, places=5)

    def test_a_failed_return_costs_as_much_as_a_second_refusal(self):
        first = lines_of("a", 1, status=503, reason="overloaded")
        again = dict(held_ms=300, sent_ms=0, left_ms=1700)
        cases = (
            (dict(status=504, cut=("no answer in time", 300)), 1.0),
            (dict(status=502, cut=("the connection ended with no answer", 300)), 0.0),
            (dict(status=500), 0.0),
            (dict(status=200), 0.0),
        )
        for case, amount in cases:
            requests = self.read(first, lines_of("b", 1.3, **again | case))
            prices = {p[0]: p[1:] for p in self.restated(requests)["prices"]}
            self.assertEqual(prices[first_try.FAILED_AGAIN][0], amount, case)
            self.assertAlmostEqual(prices[first_try.FAILED_AGAIN][1], 0.3 * amount / 200)

    def test_the_command_prints_both_accounts(self):
        for name, text in (("r.json", json.dumps(report())), ("s.toml", SITE)):
            (self.path / name).write_text(text)
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = lost_worth.main(
                [str(self.path / "r.json"), "--site", str(self.path / "s.toml")])
        self.assertEqual(code, 0)
        self.assertIn("counted from the first attempt", output.getvalue())

    def test_bad_input_is_named(self):
        (self.path / "r.json").write_text(json.dumps(report()))
        texts = {"none.toml": None, "bad.toml": "classes = [", "empty.toml": "",
                 "other.toml": SITE.replace("lookup", "else"),
                 "list.json": "[]", "torn.log.gz": "no archive"}
        for name, text in texts.items():
            if text is not None:
                (self.path / name).write_text(text)
            site = ["--site", str(self.path / name)]
            good = str(self.path / "r.json")
            arguments = [good] + site
            if name.endswith("json"):
                arguments = [str(self.path / name)]
            if name.endswith("gz"):
                arguments = [good, str(self.path / name)]
            errors = io.StringIO()
            with contextlib.redirect_stderr(errors):
                self.assertEqual(lost_worth.main(arguments), 2, name)
            told = "lookup" if name == "other.toml" else name
            self.assertIn(told, errors.getvalue())


if __name__ == "__main__":
    unittest.main()
