# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Tests of the tools that play and keep days; a script replaces the bench."""
import os
import pathlib
import stat
import sys
import tempfile
import unittest
from unittest import mock

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import ablate  # noqa: E402
import bench_runs  # noqa: E402


class KeptPlaysTest(unittest.TestCase):
    """How the tools that play days handle kept plays and bad input."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = pathlib.Path(self.folder.name)

    def bench(self, text):
        """Creates a program that replaces the bench."""
        program = self.path / "bench"
        program.write_text("#!/bin/sh\n" + text)
        program.chmod(program.stat().st_mode | stat.S_IXUSR)
        return mock.patch.dict(os.environ, {"PATHCLEAT_BENCH": str(program)})

    def test_a_play_without_a_report_is_named(self):
        with self.bench("echo it broke\n"):
            with self.assertRaisesRegex(bench_runs.InputFault, "day-1 .*it broke"):
                bench_runs.play(self.path, "s.toml", "day-1", 7, "w", self.path / "p")

    def test_a_kept_report_that_cannot_be_read_is_named(self):
        (self.path / "p.json").write_text("{")
        with self.assertRaisesRegex(bench_runs.InputFault, "p.json"):
            bench_runs.read_play("s.toml", "day-1", 7, self.path / "p")

    def test_kept_plays_are_not_played_again(self):
        (self.path / "p.json").write_text("{}")
        with self.bench("exit 9\n"):
            bench_runs.play(self.path, "s.toml", "day-1", 7, "w", self.path / "p")
        self.assertFalse((self.path / "p.log.gz").exists())

    def test_plays_of_other_code_are_a_fault(self):
        source = self.path / "src" / "a.cpp"
        source.parent.mkdir()
        (self.path / "CMakeLists.txt").write_text("")
        source.write_text("1")
        keep = self.path / "keep"
        bench_runs.claim(keep, self.path)
        bench_runs.claim(keep, self.path)
        source.write_text("2")
        with self.assertRaisesRegex(bench_runs.InputFault, "other code"):
            bench_runs.claim(keep, self.path)

    def test_days_at_once_are_checked(self):
        for told in ("0", "-1", "many", ""):
            with mock.patch.dict(os.environ, {"PATHCLEAT_JOBS": told}):
                with self.assertRaisesRegex(bench_runs.InputFault, "PATHCLEAT_JOBS"):
                    bench_runs.jobs()
        with mock.patch.dict(os.environ, {"PATHCLEAT_JOBS": "3"}):
            self.assertEqual(bench_runs.jobs(), 3)

    def test_every_request_is_logged_with_a_mechanism_off(self):
        copy = self.path / "copy"
        (copy / "deploy").mkdir(parents=True)
        for mechanism in ("", "patience"):
            bench_runs.switch_off(copy, mechanism)
            text = bench_runs.settings_of(copy).read_text()
            self.assertEqual(text.count(bench_runs.LOG_ALL), 1)
            self.assertEqual(text.count('"off": ["patience"]'), int(bool(mechanism)))


def play_of(day, seed, worth):
    """A play of a day."""
    return bench_runs.Play("s", day, seed, worth, False, worth - 0.1)


class AblationTest(unittest.TestCase):
    """What the table shows for days with plays and for days without."""

    whole = [play_of("a", 1, 0.8), play_of("b", 1, 0.4),
             play_of("a", 2, 0.6), play_of("b", 2, 0.2)]

    def test_changes_are_of_the_same_days(self):
        off = [play_of("a", 1, 0.7), play_of("a", 2, 0.6)]
        told = ablate.change(self.whole, off, bench_runs.worths)
        self.assertEqual(told, "-0.050 (-0.100 to +0.000, 2 of 4)")

    def test_one_seed_shows_the_spread_of_its_days(self):
        off = [play_of("a", 1, 0.7), play_of("b", 1, 0.6)]
        told = ablate.change(self.whole[:2], off, bench_runs.worths)
        self.assertEqual(told, "+0.050 (days -0.100 to +0.200)")

    def test_both_rules_stand_side_by_side(self):
        off = [play_of(p.day, p.seed, p.worth + 0.05) for p in self.whole]
        off[0].first_try -= 0.2
        plays = {"s": off}
        cell = lambda s, rule: ablate.change(self.whole, plays[s], rule)
        self.assertEqual(
            ablate.row_of("patience", plays, cell),
            "| patience | +0.050 (+0.050 to +0.050) / +0.000 (-0.050 to +0.050) | 0 |")

    def test_what_was_not_played_is_said(self):
        self.assertEqual(ablate.change(self.whole, [], bench_runs.worths), "not played")
        self.assertEqual(ablate.mean([], bench_runs.worths), "not played")


if __name__ == "__main__":
    unittest.main()
