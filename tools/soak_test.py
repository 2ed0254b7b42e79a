#!/usr/bin/env python3
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Tests of the soak's checks on histories that break each promise."""
import pathlib
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import soak  # noqa: E402
import soak_schedule  # noqa: E402

REPORT = (
    "a: sent 10, answered 8, not-run 1, unknown 0, connection lost 1, tries cut 1, "
    "kept connections ended 2, p50 1 ms\n"
    "b: sent 5, answered 5, not-run 0, unknown 0, connection lost 0, tries cut 0, "
    "kept connections ended 0, p50 1 ms\n"
    "keys run more than once 0, reported not-run but run 0, upstreams over "
    "slots 0, rejected by upstreams 7, corrupt answers 0\n"
)


class SoakChecksTest(unittest.TestCase):
    """Each check notices the history that breaks its promise."""

    def test_arrival_after_the_drain_time_is_late(self):
        statement = {"since": 100.0, "arrivals": [100.0, 102.4, 102.6]}
        self.assertEqual(len(soak.late_arrivals(statement, [])), 1)

    def test_late_arrival_beside_a_restart_is_excused(self):
        statement = {"since": 100.0, "arrivals": [103.0, 109.0]}
        excuses = [soak.Excuse(102.0, 105.0)]
        self.assertEqual(len(soak.late_arrivals(statement, excuses)), 1)

    def test_upstream_that_announced_nothing_has_no_late_arrivals(self):
        self.assertEqual(soak.late_arrivals({"since": 0, "arrivals": []}, []), [])

    def test_arrivals_in_the_time_asked_for_are_counted(self):
        statement = {"since": 100.0, "arrivals": [100.0, 100.4, 100.6, 102.9, 103.1]}
        self.assertEqual(soak.arrivals_in_backoff(statement, 3, []), 2)

    def test_sums_of_a_load_report(self):
        counts = soak.parse_load_report(REPORT)
        self.assertEqual(counts["sent"], 15)
        self.assertEqual(counts["answered"], 13)
        self.assertEqual(counts["tries cut"], 1)
        self.assertEqual(counts["kept connections ended"], 2)

    def test_cut_answers_break_a_promise_in_planned_runs_alone(self):
        report = soak.parse_load_report(REPORT)
        self.assertEqual(soak.broken_promises(report, False), [])
        self.assertEqual(len(soak.broken_promises(report, True)), 1)

    def test_each_count_of_the_audit_breaks_a_promise(self):
        for name in ("keys run more than once", "reported not-run but run",
                     "upstreams over slots", "corrupt answers"):
            report = soak.parse_load_report(REPORT.replace(f"{name} 0", f"{name} 2"))
            self.assertEqual(len(soak.broken_promises(report, False)), 1)

    def test_report_that_cannot_be_read_is_no_success(self):
        self.assertEqual(
            len(soak.broken_promises(soak.parse_load_report("killed"), False)), 4)

    def test_one_seed_gives_one_schedule_and_planned_ones_hold_no_kills(self):
        kinds = soak_schedule.choose_kinds(None, False)
        first = soak.make_schedule(7, 20, 9, 36, kinds)
        self.assertEqual(first, soak.make_schedule(7, 20, 9, 36, kinds))
        self.assertNotEqual(first, soak.make_schedule(8, 20, 9, 36, kinds))
        planned = soak_schedule.choose_kinds(None, True)
        kinds = {f.kind for f in soak.make_schedule(7, 300, 9, 36, planned)}
        self.assertEqual(kinds, set(soak_schedule.PLANNED_KINDS))

    # Guards against seeds of earlier findings that give another schedule now.
    def test_schedules_without_chosen_kinds_stay_the_same(self):
        schedule = soak.make_schedule(7, 8, 9, 36, soak.choose_kinds(None, False))
        self.assertEqual([(f.at, f.kind, f.target, f.value) for f in schedule],
                         [(1.0, "kill", 6, 1.5), (2.5, "stop", 8, 1.5),
                          (2.8, "kill", 0, 3.0)])

    # Guards against chosen kinds that bring unplanned faults into planned runs.
    def test_chosen_kinds_are_drawn_and_planned_runs_hold_planned_ones_alone(self):
        self.assertEqual(soak.choose_kinds("tail,kill", False), ("tail", "kill"))
        self.assertEqual(soak.choose_kinds("tail,kill", True), ("tail",))
        self.assertEqual(set(soak.choose_kinds("all", False)),
                         set(soak_schedule.ALL_KINDS))
        for text in ("tails", "tail,", ""):
            with self.assertRaises(ValueError):
                soak.choose_kinds(text, False)
        with self.assertRaises(ValueError):
            soak.choose_kinds("kill", True)

    def test_missing_programs_are_one_clear_line(self):
        tool = pathlib.Path(soak.__file__)
        done = subprocess.run([sys.executable, tool, "--build", "/nowhere"],
                              capture_output=True, text=True, check=False)
        self.assertEqual(done.returncode, 2)
        self.assertIn("is not built", done.stderr)


class EndsTest(unittest.TestCase):
    """Processes that end by themselves are noticed."""

    def setUp(self):
        self.keep = tempfile.TemporaryDirectory()
        keep = pathlib.Path(self.keep.name)
        self.fleet = soak.Fleet(pathlib.Path("/nowhere"), keep, None)
        self.host = self.fleet.hosts[0]
        self.fleet.hosts = [self.host]
        (keep / f"{self.host}.log").write_text("listen (x): in use\n")

    def tearDown(self):
        self.fleet.end_all()
        self.keep.cleanup()

    def run_host(self, code):
        process = subprocess.Popen([sys.executable, "-c", f"raise SystemExit({code})"])
        process.wait()
        self.fleet.processes[self.host] = process
        self.fleet.start_host = lambda index: self.started.append(index)
        self.started = []
        return process

    # Guards against hosts that end at a start and are started until one succeeds.
    def test_host_that_ends_by_itself_is_told_and_started_again(self):
        for code in (1, 0):
            self.run_host(code)
            self.fleet.check_ends()
            self.assertEqual(self.started, [0])
        self.fleet.report_ends()
        self.assertEqual(len(self.fleet.broken), 1)
        self.assertIn("2 times, codes [0, 1]: listen (x): in use", self.fleet.broken[0])

    def test_end_that_a_fault_caused_is_expected(self):
        self.fleet.expect_end(self.run_host(1))
        self.fleet.check_ends()
        self.fleet.report_ends()
        self.assertEqual((self.started, self.fleet.broken), ([], []))

    # Guards against a planned stop that ends with an error.
    def test_stopped_host_must_end_with_code_0(self):
        self.fleet.check_stopped(self.host, self.run_host(1), 0)
        self.assertEqual(self.fleet.broken, [f"{self.host} ended with code 1"])


if __name__ == "__main__":
    unittest.main()
