# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Judges what upstreams and callers saw in a soak."""
import dataclasses
import re

# An upstream that announced leaving gets nothing new later than this.
DRAIN_SECONDS = 2.5
# What is on its way in the first half second of a time without requests that an
# upstream asked for does not count.
BACKOFF_GRACE_SECONDS = 0.5


@dataclasses.dataclass
class Excuse:
    """A span in which a host may not know what upstreams stated."""

    start: float
    end: float


def late_arrivals(statement, excuses):
    """Arrivals later than allowed at an upstream that announced leaving."""
    since = statement["since"]
    if not since:
        return []
    return [
        arrival - since
        for arrival in statement["arrivals"]
        if arrival > since + DRAIN_SECONDS
        and not any(e.start <= arrival <= e.end for e in excuses)
    ]


def arrivals_in_backoff(statement, seconds, excuses):
    """Arrivals in the first time without requests that an upstream asked for,
    from the moment at which they count."""
    since = statement["since"]
    if not since:
        return 0
    return sum(
        since + BACKOFF_GRACE_SECONDS < arrival < since + seconds
        and not any(e.start <= arrival <= e.end for e in excuses)
        for arrival in statement["arrivals"]
    )


def parse_load_report(text):
    """The counts of `pathcleat-lab load`, by name, summed over the kinds."""
    counts = {}
    for name in ("sent", "answered", "not-run", "unknown", "connection lost",
                 "tries cut", "kept connections ended"):
        counts[name] = sum(map(int, re.findall(rf"{name} (\d+)", text)))
    for name in (
        "keys run more than once",
        "reported not-run but run",
        "upstreams over slots",
        "corrupt answers",
    ):
        found = re.search(rf"{name} (\d+)", text)
        counts[name] = int(found.group(1)) if found else None
    return counts


def broken_promises(report, planned):
    """The promises that a load's report shows as broken."""
    broken = []
    for name in (
        "keys run more than once",
        "reported not-run but run",
        "upstreams over slots",
        "corrupt answers",
    ):
        if report[name] is None:
            broken.append(f"the load has no count of: {name}")
        elif report[name] > 0:
            broken.append(f"{name}: {report[name]}")
    if planned and report["tries cut"] > 0:
        broken.append(f"planned work cut answers: {report['tries cut']}")
    return broken
