#!/usr/bin/env python3
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Tests of the checks of the soak with a silent store."""
import itertools
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import soak_store  # noqa: E402


class StoreSoakTest(unittest.TestCase):
    """The checks notice hosts that are late, and rounds repeat by their seed."""

    def test_version_is_read_from_the_metrics_page(self):
        page = "# TYPE pathcleat_config_version gauge\npathcleat_config_version 12\n"
        self.assertEqual(soak_store.config_version(page), 12)
        self.assertIsNone(soak_store.config_version("pathcleat_hosts_alive 9\n"))

    def test_hosts_with_an_old_version_or_none_are_late(self):
        versions = {"a": 3, "b": 2, "c": None}
        self.assertEqual(soak_store.late_hosts(versions, 3), ["b", "c"])

    def test_one_seed_gives_one_series_of_rounds(self):
        def rounds(seed):
            return list(itertools.islice(soak_store.make_rounds(seed, 9), 20))
        self.assertEqual(rounds(3), rounds(3))
        self.assertNotEqual(rounds(3), rounds(4))


if __name__ == "__main__":
    unittest.main()
