#!/usr/bin/env python3
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Tests of the checks of the soak with a silent store."""
import itertools
import pathlib
import sys
import unittest
import unittest.mock

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import soak_store  # noqa: E402


class FakeProcess:
    """A process that runs until it has a code, and notes the signals it gets."""

    def __init__(self, code=None):
        self.code = code
        self.signals = []

    def poll(self):
        return self.code

    def send_signal(self, number):
        self.signals.append(number)


class FakeFleet:
    """One host, which handles signals from its third question on."""

    QUESTIONS_WHILE_YOUNG = 2

    def __init__(self, code=None):
        self.hosts = ["host"]
        self.processes = {"host": FakeProcess(code), "platform": FakeProcess()}
        self.broken = []
        self.questions = 0
        self.steps = []

    def handles_signals(self, host):
        self.questions += 1
        return (self.processes[host].poll() is None
                and self.questions > self.QUESTIONS_WHILE_YOUNG)

    def stop(self, host, _):
        if not self.handles_signals(host):
            return []
        self.steps.append("stopped")
        return [(0, lambda: self.steps.append("started again"))]

    def is_ready(self, _):
        return True


def play_stop(fleet):
    """Plays one round that stops the host, with a configuration in force at once."""
    store_soak = soak_store.StoreSoak(fleet)
    store_soak.versions = lambda: {"host": store_soak.version}
    with unittest.mock.patch.object(soak_store, "CONTACT_SECONDS", 0):
        store_soak.play(soak_store.Round(0, 0, False, "stop", 0))


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

    # Guards against a run that ends with an exception, as a host that has just
    # started declines to be stopped.
    def test_young_host_is_stopped_once_it_handles_signals(self):
        fleet = FakeFleet()
        play_stop(fleet)
        self.assertEqual(fleet.steps, ["stopped", "started again"])
        self.assertEqual(fleet.broken, [])

    def test_host_that_has_ended_is_a_broken_promise(self):
        fleet = FakeFleet(code=1)
        play_stop(fleet)
        self.assertEqual(fleet.steps, [])
        self.assertEqual(len(fleet.broken), 1)
        self.assertIn("exit code 1", fleet.broken[0])


if __name__ == "__main__":
    unittest.main()
