# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""The faults of a soak and when they come."""
import dataclasses
import random

# Longer than each time-out between hosts.
FREEZE_SECONDS = 4.0

PLANNED_KINDS = ("stop", "reload", "leave", "backoff", "backoff")
UNPLANNED_KINDS = PLANNED_KINDS + ("kill", "freeze", "store_silent")
# Planned work and upstreams' behaviour, drawn where --kinds names them.
CHOSEN_PLANNED_KINDS = ("tail", "stop_under_load", "successor", "port_taken")
# What an operator's store does wrong.
STORE_KINDS = ("store_odd", "store_odd_start", "row_odd")
# What an instance of a service does wrong.
INSTANCE_KINDS = ("answer_broken",)
ALL_KINDS = tuple(dict.fromkeys(UNPLANNED_KINDS + CHOSEN_PLANNED_KINDS + STORE_KINDS
                                + INSTANCE_KINDS))
# Kinds whose target is an upstream.
UPSTREAM_KINDS = ("leave", "backoff", "tail")
VARIANTS = 1_000


@dataclasses.dataclass
class Fault:
    """One fault: a kind, its target by number, and when, in seconds. The variant
    picks among the forms that a kind has."""

    at: float
    kind: str
    target: int
    value: float = 0
    variant: int = 0


def choose_kinds(text, planned):
    """The kinds that --kinds names, separated by commas; "all" names each.

    Without a text, those of every run. Raises ValueError for an unknown kind."""
    if text is None:
        return PLANNED_KINDS if planned else UNPLANNED_KINDS
    kinds = ALL_KINDS if text == "all" else tuple(text.split(","))
    unknown = sorted(set(kinds) - set(ALL_KINDS))
    if unknown:
        raise ValueError(f"unknown kinds {', '.join(unknown)}; "
                         f"there are {', '.join(ALL_KINDS)}")
    if planned:
        kinds = tuple(k for k in kinds if k in PLANNED_KINDS + CHOSEN_PLANNED_KINDS)
    if not kinds:
        raise ValueError("no kind is left")
    return kinds


def make_schedule(seed, seconds, hosts, upstreams, kinds):
    """Draws the faults of a run; they come in series and overlap."""
    draw = random.Random(seed)
    faults = []
    at = 1.0
    while at < seconds - FREEZE_SECONDS:
        kind = draw.choice(kinds)
        count = upstreams if kind in UPSTREAM_KINDS else hosts
        value = draw.choice((1.5, 3.0, 3.0))
        fault = Fault(round(at, 2), kind, draw.randrange(count), value)
        if kind not in UNPLANNED_KINDS:
            fault.variant = draw.randrange(VARIANTS)
        faults.append(fault)
        at += draw.choice((0.3, 0.8, 1.5))
    return faults
