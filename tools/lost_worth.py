#!/usr/bin/env python3
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Account of a day's lost worth.

    tools/lost_worth.py REPORT [LOG]

REPORT is what the users' bench writes with --report. LOG is the same run's
output with --log all, from hosts whose settings log every request
("log": { "requests": true, "sample_one_of": 1, "failures_per_second": 5000 }).
The lines of the account add up to 1 - worth. Without LOG the causes are the
outcomes that callers saw. Exit code 2: an input cannot be read; it is named.
"""
import collections
import dataclasses
import json
import sys

# Share of its credit that an answer later than its target loses; the users'
# pages give late answers a fifth.
LATE_LOSS = 0.8
# One way from a host to its callers and back, in seconds: between what a host
# measures and what its caller does. The largest of the users' deployments.
CALLER_ROUND_TRIP_S = 0.016
WINDOW_S = 2.0

FIRST_VISIT = "late: first visit of a key (no policy wins it)"
DARK = "came back after a refusal, or found no host"


class InputFault(Exception):
    """An input that cannot be used; the text names it."""


@dataclasses.dataclass
class Request:
    """One request at one host, as the host logged it."""

    start: float
    domain: str
    outcome: str  # "late", "refused" or "failed"; "" if it went well
    cause: str


@dataclasses.dataclass
class Scope:
    """What one part of the worth is reckoned over."""

    name: str
    weight: float
    value: float
    counts: dict  # of the report: n, late, refused, failed
    requests: list


def read_report(path):
    """The report's JSON object."""
    try:
        with open(path, encoding="utf-8") as file:
            report = json.load(file)
    except (OSError, ValueError) as error:
        raise InputFault(f"{path}: {error}") from error
    for key in ("G", "parts", "prices", "all", "classes", "zones", "windows"):
        if key not in report:
            raise InputFault(f"{path}: no '{key}' in it; is it a report?")
    return report


def read_events(path):
    """Events of each request at each host, in order."""
    events = collections.defaultdict(list)
    try:
        with open(path, encoding="utf-8", errors="replace") as file:
            for line in file:
                begin = line.find('{"time"')
                if begin < 0:
                    continue
                try:
                    event = json.loads(line[begin:])
                except ValueError:
                    continue  # a line cut short by a kill
                if "request" in event:
                    events[event["request"], event["host"]].append(event)
    except OSError as error:
        raise InputFault(f"{path}: {error}") from error
    if not events:
        raise InputFault(f"{path}: no events of requests in it")
    return events


def seconds_of(event):
    """The event's time in seconds."""
    return float(event["time"].split(".")[0]) / 1e6


def late_cause(sends, visits, key):
    """Why an answer was late, by its attempts."""
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
    """The request that these events tell of, or None if it has no end."""
    by_name = collections.defaultdict(list)
    for event in events:
        by_name[event["name"]].append(event)
    if not by_name["request-taken"] or not by_name["request-answered"]:
        return None
    taken = by_name["request-taken"][0]
    answered = by_name["request-answered"][0]
    sends = by_name["request-sent"]
    key = (taken["service"], taken.get("affinity_key", ""))
    outcome, cause = "", ""
    if answered["status"] == 503:
        reason = by_name["request-refused"]
        outcome = "refused"
        cause = "refused: " + (reason[0]["reason"] if reason else "not ready")
    elif answered["status"] != 200:
        detail = by_name["attempt-failed"] or by_name["request-unknown"]
        told = detail[-1].get("detail") or detail[-1].get("reason") if detail else ""
        outcome = "failed"
        cause = f"failed: {told or 'the upstream answered ' + str(answered['status'])}"
    elif answered["latency_ms"] / 1e3 + CALLER_ROUND_TRIP_S > taken["target_ms"] / 1e3:
        outcome = "late"
        cause = late_cause(sends, visits, key) if sends else "late: at the host"
    for send in sends:
        visits[key].add(send["upstream"])
    host = taken["host"].split("-", 1)[-1].rsplit("-", 1)[0]
    return Request(seconds_of(taken), host, outcome, cause)


def read_requests(path):
    """All requests of a log, with times from the first one on."""
    visits = collections.defaultdict(set)
    histories = sorted(read_events(path).values(), key=lambda e: seconds_of(e[0]))
    requests = [r for r in (judge(h, visits) for h in histories) if r]
    began = requests[0].start if requests else 0
    for request in requests:
        request.start -= began
    return requests


def scopes_of(report, requests):
    """One scope a part of the worth."""
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
    """Part of a scope's loss by cause; the parts add up to one."""
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


def main(arguments):
    """Prints the account; returns the exit code."""
    if not 1 <= len(arguments) <= 2:
        print(__doc__, file=sys.stderr)
        return 2
    try:
        report = read_report(arguments[0])
        requests = read_requests(arguments[1]) if len(arguments) == 2 else []
    except InputFault as fault:
        print(f"lost_worth: {fault}", file=sys.stderr)
        return 2
    lost = account(report, requests)
    total = sum(lost.values())
    print(f"worth {report['G']:.4f}, lost {1 - report['G']:.4f}, accounted {total:.4f}")
    for cause, value in lost.most_common():
        if value >= 0.0005:
            print(f"  {value:7.4f}  {cause}")
    print_rows("window (from second)", report["windows"])
    print_rows("kind of request", report["classes"])
    print_rows("failure domain of the callers", report["zones"])
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
