#!/usr/bin/env python3
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Tests of the odd store and of the judgement of starts and changes."""
import json
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import soak_deployment  # noqa: E402
import soak_faults  # noqa: E402
import soak_odd  # noqa: E402
import soak_pages  # noqa: E402

HEAD = (b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"Content-Length: 999\r\n\r\n")
LIST = "/-/rows-get?table=servers&From=&limit=500"
FEED = "/-/rows-feed?after=4&table=servers&WaitMs=100"
ROWS = (b'{"Rows":[{"TlsKey":"u-1","Value":"e30=","gone":false,"part":"",'
        b'"table":"servers","ver":3}],"more":false,"ver":7}')
EXAMPLE = (pathlib.Path(__file__).resolve().parent.parent
           / "examples/race_results/deployment.jsonc")


class OddAnswersTest(unittest.TestCase):
    """Each shape is odd, and each answer is whole as HTTP has it."""

    # Guards against a shape that no longer changes anything.
    def test_each_shape_changes_the_answer(self):
        for shape in soak_odd.ODD_SHAPES:
            self.assertNotEqual(soak_odd.odd_answer(shape, HEAD, ROWS), (HEAD, ROWS),
                                shape)
            head, body = soak_odd.odd_answer(shape, HEAD, ROWS)
            self.assertIn(b"Content-Length: %d\r\n" % len(body), head)
            if shape != "content-type":
                self.assertNotEqual(body, ROWS, shape)

    def test_answer_without_rows_is_no_error(self):
        for shape in soak_odd.ODD_SHAPES:
            soak_odd.odd_answer(shape, HEAD, b"[]")
            soak_odd.odd_answer(shape, HEAD, b"refused")


class OddRowsTest(unittest.TestCase):
    """Odd rows stand among the store's own, and change nothing else."""

    def test_row_is_added_to_lists_and_feeds_of_upstreams(self):
        row = soak_odd.ODD_ROWS["value-list"]
        for target in (LIST, FEED):
            answer = json.loads(soak_odd.add_rows(target, ROWS, "servers", [row]))
            self.assertEqual([r["TlsKey"] for r in answer["Rows"]], ["odd", "u-1"])
            self.assertEqual(answer["Rows"][0]["ver"], 7)
            self.assertEqual(answer["Rows"][0]["table"], "servers")
            self.assertEqual(answer["ver"], 7)

    def test_other_tables_and_empty_answers_stay_as_they_are(self):
        row = soak_odd.ODD_ROWS["value-list"]
        other = "/-/rows-get?table=op&From=servers"
        self.assertEqual(soak_odd.add_rows(other, ROWS, "servers", [row]), ROWS)
        empty = b'{"Rows":[],"more":false,"ver":7}'
        self.assertEqual(soak_odd.add_rows(FEED, empty, "servers", [row]), empty)
        self.assertEqual(soak_odd.add_rows(LIST, ROWS, "servers", []), ROWS)

    # Guards against a proxy whose answers hosts cannot read at all, or that goes on
    # to answer oddly once the store is sound.
    def test_proxy_answers_whole_and_soundly_again(self):
        proxy = soak_odd.StoreProxy("127.0.0.2", "127.0.0.1")
        proxy.rows[("servers", "value-list")] = soak_odd.ODD_ROWS["value-list"]
        head, body = proxy.change(LIST, HEAD, ROWS)
        self.assertIn(b"Content-Length: %d\r\n" % len(body), head)
        self.assertEqual(len(json.loads(body)["Rows"]), 2)
        proxy.rows.clear()
        self.assertEqual(proxy.change(LIST, HEAD, ROWS)[1], ROWS)
        refused = HEAD.replace(b"200 OK", b"429 x")
        proxy.shape = "list"
        self.assertEqual(proxy.change(LIST, refused, b"no"), (refused, b"no"))

    def test_removal_names_the_row(self):
        row = soak_odd.removed(soak_odd.ODD_ROWS["name-surrogate"])
        self.assertIn(b'"TlsKey":"\\ud800"', row)
        self.assertTrue(row.endswith(b'"gone":true}'))


class PagesTest(unittest.TestCase):
    """Settings and logs are read as hosts have and write them."""

    SETTINGS = ('{"listen": {"callers": "127.1.5.1:8080"},\n "peers": {\n'
                '    "address": "127.1.5.1",\n    "port": 7070\n  }}')

    def test_each_listener_has_its_address(self):
        self.assertEqual(soak_pages.listen_address(self.SETTINGS, "callers"),
                         "127.1.5.1:8080")
        self.assertEqual(soak_pages.listen_address(self.SETTINGS, "peers"),
                         "127.1.5.1:7070")

    # Guards against a host that ended whose report tells an event from before.
    def test_error_outside_of_events_is_told(self):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as log:
            log.write('{"code":"PC1001"}\nlisten (x): in use\n{"code":"PC1001"}\n')
            log.flush()
            self.assertEqual(soak_pages.last_line(pathlib.Path(log.name)),
                             "listen (x): in use")


class ChangesTest(unittest.TestCase):
    """A change must be in force at all hosts."""

    PAGE = ('pathcleat_config_version 4\n'
            'pathcleat_upstream_in_flight{upstream="a-1",service="a"} 0\n'
            'pathcleat_upstream_in_flight{upstream="spare-1",service="a"} 2\n')

    def test_state_of_a_metrics_page(self):
        state = soak_pages.parse_state(self.PAGE)
        self.assertEqual((state.version, sorted(state.upstreams)), (4, ["a-1", "spare-1"]))
        self.assertIsNone(soak_pages.parse_state("pathcleat_config_behind 4\n"))

    # Guards against hosts that no longer follow the store beside an odd row.
    def test_host_that_lacks_a_part_of_the_change_is_behind(self):
        def state(version, *names):
            return soak_pages.HostState(version, frozenset(names))

        states = {"a": state(4, "s-1"), "b": state(3, "s-1"), "c": state(4, "s-2"),
                  "d": None, "e": state(5, "s-1", "s-2")}
        self.assertEqual(soak_faults.hosts_behind(states, 4, "s-1"), ["b", "c", "d"])


class DeploymentTest(unittest.TestCase):
    """Deployments are made from the example's text."""

    def test_hosts_are_multiplied_at_addresses_of_their_own(self):
        text = EXAMPLE.read_text()
        self.assertEqual(soak_deployment.multiply_hosts(text, 1), text)
        many = soak_deployment.multiply_hosts(text, 11)
        lines = [line for line in many.splitlines() if "caller_port" in line]
        self.assertEqual(len(lines), 99)
        addresses = {line.split('"address": "')[1].split('"')[0] for line in lines}
        self.assertEqual(len(addresses), 99)

    def test_factors_without_addresses_are_refused(self):
        for factor in (0, soak_deployment.MAX_HOSTS_FACTOR + 1):
            with self.assertRaises(ValueError):
                soak_deployment.multiply_hosts("", factor)

    # Guards against a run that takes over half of the machine's memory.
    def test_hosts_that_need_too_much_memory_are_refused(self):
        soak_deployment.check_fits(1, 1)
        with self.assertRaises(ValueError):
            soak_deployment.check_fits(1_000_000, 64)

    def test_bounds_are_added_to_settings(self):
        text = soak_faults.add_bounds('// x\n{"host": "a"\n}\n', {"stop_grace_ms": 6000})
        self.assertEqual(json.loads(text.split("\n", 1)[1]),
                         {"host": "a", "bounds": {"stop_grace_ms": 6000}})


if __name__ == "__main__":
    unittest.main()
