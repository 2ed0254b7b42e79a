#!/usr/bin/env python3
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Account of a day's lost worth.

    tools/lost_worth.py REPORT [LOG] [--site SITE]

REPORT is what the users' bench writes with --report. LOG is the same run's
output with --log all, from hosts whose settings log every request
("log": { "requests": true, "sample_one_of": 1, "failures_per_second": 5000 }); it may be
compressed (.gz). The lines of the account add up to 1 - worth. Without LOG the
causes are the outcomes that callers saw. With the day's site file a second
account counts worth from the callers' first attempts (tools/first_try.py).
Exit code 2: an input cannot be read; it is named.
"""
import argparse
import collections
import dataclasses
import gzip
import json
import re
import sys

import first_try

# Share of its credit that an answer later than its target loses; the users give
# late answers a fifth of the credit.
LATE_LOSS = 0.8
WINDOW_S = 2.0
# Failure details of attempts that never reached their upstream.
NO_CONTACT = ("Connection refused", "no connection in time")

LEFT = "left"
FIRST_VISIT = "late: first visit of a key (no policy wins it)"
DARK = "came back after a refusal, or found no host"


class InputFault(Exception):
    """An unusable input; the message names the input."""


@dataclasses.dataclass
class Request:
    """One request at one host, as the host logged it."""

    start: float
    domain: str
    outcome: str  # "late", "refused", "failed" or LEFT; "" for success
    cause: str
    end: float = 0  # in seconds of the day, like start
    caller: str = ""
    route: str = ""
    key: str = ""
    target: float = 0  # in seconds, like left and held
    left: float = 0  # time left until the deadline at the start
    held: float = 0
    repeatable: bool = False
    refused: bool = False
    left_unanswered: bool = False  # the caller closed before the answer
    offered: bool = False  # sent to an upstream within the target

    @property
    def served(self):
        """Whether the caller got an upstream's successful answer."""
        return self.outcome in ("", "late")


@dataclasses.dataclass
class Scope:
    """The set of requests that one part of the worth is computed from."""

    name: str
    weight: float
    value: float
    counts: dict  # from the report: n, late, refused, failed
    requests: list


def read_report(path):
    """The report's JSON object."""
    try:
        with open(path, encoding="utf-8") as file:
            report = json.load(file)
    except (OSError, ValueError) as error:
        raise InputFault(f"{path}: {error}") from error
    for key in ("G", "parts", "prices", "all", "classes", "zones", "windows"):
        if not isinstance(report, dict) or key not in report:
            raise InputFault(f"{path}: no '{key}' in it; is it a report?")
    return report


def read_events(path):
    """Events of each request at each host, in order."""
    events = collections.defaultdict(list)
    opened = gzip.open if str(path).endswith(".gz") else open
    try:
        with opened(path, "rt", encoding="utf-8", errors="replace") as file:
            for line in file:
                begin = line.find('{"time"')
                if begin < 0 or '"request":' not in line:
                    continue
                try:
                    event = json.loads(line[begin:])
                except ValueError:
                    continue  # a line truncated because the host was killed
                event["written"] = seconds_before(line[:begin])
                events[event["request"], event["host"]].append(event)
    except (OSError, EOFError) as error:
        raise InputFault(f"{path}: {error}") from error
    if not events:
        raise InputFault(f"{path}: no events of requests in it")
    return events


def seconds_before(prefix):
    """Time by the bench's clock, which precedes a host's line."""
    number = re.match(r"\s*(-?[0-9.]+)\s", prefix)
    return float(number.group(1)) if number else 0.0


def seconds_of(event):
    """The event's time in seconds, by its host's clock."""
    return float(event["time"].split(".")[0]) / 1e6


def late_cause(sends, visits, key):
    """Cause of a late answer, derived from its attempts."""
    if len(sends) > 1:
        return "late: another upstream was asked"
    upstream = sends[-1]["upstream"]
    if not visits[key]:
        return FIRST_VISIT
    if upstream not in visits[key]:
        return "late: cold key, warm elsewhere"
    if sends[-1]["wait_ms"] > 0:
        return "late: queue, expected"
    return "late: queue or slow upstream, not expected"


def judge(events, visits):
    """The request that these events describe, or None if its end is missing."""
    by_name = collections.defaultdict(list)
    for event in events:
        by_name[event["name"]].append(event)
    if not by_name["request-taken"]:
        return None
    if not by_name["request-answered"] and not by_name["caller-left"]:
        return None
    taken = by_name["request-taken"][0]
    key = (taken["service"], taken.get("affinity_key", ""))
    outcome, cause = ending(by_name, visits, key)
    for send in by_name["request-sent"]:
        visits[key].add(send["upstream"])
    host = taken["host"].split("-", 1)[-1].rsplit("-", 1)[0]
    request = Request(start_of(events), host, outcome, cause)
    request.caller = taken.get("caller", "")
    request.route = taken.get("route", "")
    request.key = taken.get("affinity_key", "")
    request.target = taken["target_ms"] / 1e3
    request.left = taken.get("left_ms", 0) / 1e3
    request.end = events[-1]["written"]
    request.held = request.end - request.start
    request.repeatable = taken.get("repeatable", False)
    request.refused = outcome == "refused"
    request.left_unanswered = outcome == LEFT
    request.offered = any(
        is_offer(send, by_name, request) for send in by_name["request-sent"]
    )
    return request


def ending(by_name, visits, key):
    """Outcome and cause of a request, derived from its events."""
    if not by_name["request-answered"]:
        return LEFT, "its caller left"
    taken = by_name["request-taken"][0]
    answered = by_name["request-answered"][0]
    sends = by_name["request-sent"]
    if answered["status"] == 503:
        reason = by_name["request-refused"]
        return "refused", "refused: " + (reason[0]["reason"] if reason else "not ready")
    if answered["status"] != 200:
        detail = by_name["attempt-failed"] or by_name["request-unknown"]
        told = detail[-1].get("detail") or detail[-1].get("reason") if detail else ""
        return "failed", (
            f"failed: {told or 'the upstream answered ' + str(answered['status'])}"
        )
    time_s = answered["latency_ms"] / 1e3 + first_try.CALLER_ROUND_TRIP_S
    if time_s > taken["target_ms"] / 1e3:
        return "late", late_cause(sends, visits, key) if sends else "late: at the host"
    return "", ""


def start_of(events):
    """Time at which a request was accepted. A host logs the events of a request
    when the request ends, so the end is read from the bench's clock, which all
    hosts share, and only the duration from the host's own clock."""
    return events[-1]["written"] - (seconds_of(events[-1]) - seconds_of(events[0]))


def is_offer(send, by_name, request):
    """Whether a send was within the target and was not cut off at once."""
    if seconds_of(send) - seconds_of(by_name["request-taken"][0]) > request.target:
        return False
    cuts = [e for e in by_name["attempt-failed"] if e["upstream"] == send["upstream"]]
    least = first_try.OFFER_SHARE * request.target
    return not cuts or (
        cuts[0].get("detail") not in NO_CONTACT
        and cuts[0].get("elapsed_ms", 0) / 1e3 >= least
    )


def read_requests(path):
    """All requests of a log, with times relative to the first request."""
    visits = collections.defaultdict(set)
    histories = sorted(read_events(path).values(), key=start_of)
    return [r for r in (judge(h, visits) for h in histories) if r]


def scopes_of(report, requests):
    """One scope for each part of the worth."""
    worst = lambda rows: min(rows, key=lambda row: row["worth"])
    zone = worst(report["zones"])
    windows = sorted(report["windows"], key=lambda row: row["worth"])[:2]
    window_counts = {
        key: sum(row[key] for row in windows)
        for key in ("n", "late", "refused", "failed")
    }
    starts = [float(row["name"]) for row in windows]
    in_windows = [
        r for r in requests if any(s <= r.start < s + WINDOW_S for s in starts)
    ]
    in_zone = [r for r in requests if r.domain == zone["name"]]
    special = {
        "worst zone": (zone, in_zone),
        "worst windows": (window_counts, in_windows),
        "worst class": (worst(report["classes"]), requests),
    }
    scopes = []
    for name, weight, value in report["parts"]:
        counts, seen = special.get(name, (report["all"], requests))
        scopes.append(Scope(name, weight, value, counts, seen))
    return scopes


def shares_of(scope):
    """Shares of a scope's loss by cause; the shares add up to 1."""
    served_only = scope.name.startswith(("served", "nines"))
    losses = {"late": 0 if served_only else LATE_LOSS, "refused": 1, "failed": 1}
    lost = collections.Counter()
    for outcome, loss in losses.items():
        count = scope.counts[outcome] * loss
        causes = collections.Counter(
            r.cause for r in scope.requests if r.outcome == outcome
        )
        seen = sum(causes.values())
        scale = min(1.0, scope.counts[outcome] / seen) if seen else 0
        for cause, number in causes.items():
            lost[cause] += number * scale * loss
        rest = count - seen * scale * loss
        if rest > 0:
            lost[f"{outcome}: {DARK}" if scope.requests else outcome] += rest
    total = sum(lost.values())
    if total <= 0:
        return {"other": 1.0}
    return {cause: value / total for cause, value in lost.items()}


def account(report, requests):
    """Lost worth by cause; adds up to 1 - worth."""
    lost = collections.Counter()
    for scope in scopes_of(report, requests):
        for cause, share in shares_of(scope).items():
            lost[cause] += scope.weight * (1 - scope.value) * share
    for name, _amount, price in report["prices"]:
        if price:
            lost["price: " + name] += price
    return lost


def print_rows(title, rows):
    """Share of all lost credit by row of the report."""
    lost = {row["name"]: row["n"] * (1 - row["worth"]) for row in rows}
    total = sum(lost.values()) or 1
    print(f"\nlost credit by {title}")
    for name, value in sorted(lost.items(), key=lambda item: -item[1])[:8]:
        print(f"  {value / total:6.3f}  {name}")


def print_account(report, requests):
    """The account by one rule."""
    lost = account(report, requests)
    total = sum(lost.values())
    print(f"worth {report['G']:.4f}, lost {1 - report['G']:.4f}, accounted {total:.4f}")
    for cause, value in lost.most_common():
        if value >= 0.0005:
            print(f"  {value:7.4f}  {cause}")
    print_rows("window (from second)", report["windows"])
    print_rows("kind of request", report["classes"])
    print_rows("failure domain of the callers", report["zones"])


def main(arguments):
    """Prints the account; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("report")
    parser.add_argument("log", nargs="?")
    parser.add_argument("--site")
    try:
        options = parser.parse_args(arguments)
    except SystemExit as ended:
        return ended.code
    try:
        report = read_report(options.report)
        requests = read_requests(options.log) if options.log else []
        kinds = first_try.read_kinds(options.site) if options.site else {}
        restated = first_try.restate(report, requests, kinds, WINDOW_S) if kinds else None
    except (InputFault, first_try.SiteFault) as fault:
        print(f"lost_worth: {fault}", file=sys.stderr)
        return 2
    print_account(report, requests)
    if restated:
        print("\ncounted from the first attempt")
        print_account(restated.report, [first_try.whole(c) for c in first_try.join(requests)])
        print("\n" + "\n".join(restated.notes))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
