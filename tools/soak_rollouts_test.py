#!/usr/bin/env python3
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Tests of the checks of rollouts on histories that break each rule."""
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import soak_rollouts  # noqa: E402


class RolloutChecksTest(unittest.TestCase):
    """Each check notices the history that breaks its rule, and no other."""

    def test_arrival_at_an_old_upstream_after_completion_is_noticed(self):
        arrivals = {"old": [1.0, 9.9, 10.1], "new": [11.0]}
        broken = soak_rollouts.check_completed(arrivals, ["old"], 10.0)
        self.assertEqual(len(broken), 1)
        self.assertTrue(broken[0].startswith("1 requests"))
        self.assertEqual(soak_rollouts.check_completed(arrivals, ["old"], 10.2), [])

    def test_exposure_beyond_share_and_slack_is_noticed(self):
        arrivals = {"old": [5.0] * 400, "new": [5.0] * 100 + [50.0] * 900}
        def check():
            return soak_rollouts.check_exposure(
                arrivals, ["new"], ["old", "new"], 1.0, 20.0)
        self.assertEqual(check(), [])
        arrivals["new"].insert(0, 6.0)
        self.assertEqual(len(check()), 1)

    def test_arrival_later_than_the_rollback_time_is_noticed(self):
        arrivals = {"new": [9.0, 14.9]}
        self.assertEqual(soak_rollouts.check_rollback(arrivals, ["new"], 10.0), [])
        arrivals["new"].append(15.1)
        self.assertEqual(len(soak_rollouts.check_rollback(arrivals, ["new"], 10.0)), 1)


if __name__ == "__main__":
    unittest.main()
