# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Worth counted from a caller's first attempt.

By the report's rule, a request that is refused at once, retried by its caller
and then answered quickly earns the mean of a full and a late credit. Counted
from the first attempt, the request earns the credit for its whole time. This
module recomputes a report by the second rule, with the prices of that rule for
held requests and failed retries. The users set these prices; the product's
policy does not use them.

The credit that each kind of request earned by the mean is computed exactly from
the report. The hosts' logs give the failure domain and window of that credit,
how long requests were held and which retries failed. A report lists no single
attempts, so retries are joined to their first attempts by caller address,
route, affinity key and time; `Restated.notes` gives how far the join and the
report agree.
"""
import collections
import copy
import dataclasses

# Holding a request is free up to this share of its target ...
FREE_SHARE = 1 / 8
# ... and costs the whole credit from this share of the request's time limit on.
WHOLE_SHARE = 3 / 4
# Price of a retry that is refused or fails, as a share of its credit.
RETURN_PRICE = 0.3
# The same two limits by the earlier rule.
OLD_FREE_SHARE = 1 / 4
OLD_WHOLE_SHARE = 1 / 2
# A send that is cut off within this share of the target does not count as an
# offer to an upstream.
OFFER_SHARE = 1 / 4

# Round trip between a host and its callers, in seconds: the difference between
# the times that the host and the caller measure. The largest round trip in the
# users' deployments.
CALLER_ROUND_TRIP_S = 0.016

HELD_LATE = "worth given up late, untried"
HELD_TO_THE_END = "worth held to the end or ended falsely, untried"
REFUSED_AGAIN = "worth refused again"
HELD = "worth held, untried"
FAILED_AGAIN = "worth failed again"
NO_UPSTREAM_FAULT = ("no answer in time", "no upstream answered")


class SiteFault(Exception):
    """An unusable site file; the message names the file."""


@dataclasses.dataclass
class Kind:
    """One kind of request, as defined by the site file."""

    name: str
    worth: float
    late_share: float  # share of the credit that a late answer earns
    target_s: float
    repeatable: bool


@dataclasses.dataclass
class Restated:
    """A report recomputed by the rule of the first attempt."""

    report: dict
    notes: list


def read_kinds(path):
    """The kinds of request of a site file, by name."""
    import tomllib  # Python 3.11

    try:
        with open(path, "rb") as file:
            rows = tomllib.load(file)["classes"]
        return {
            row["name"]: Kind(
                row["name"],
                row["worth"],
                row["late_worth"] / row["worth"],
                row["aim_ms"] / 1e3,
                row["kind"] in ("safe", "download"),
            )
            for row in rows
        }
    except (OSError, KeyError, TypeError, ZeroDivisionError) as error:
        raise SiteFault(f"{path}: {error!r}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SiteFault(f"{path}: {error}") from error


def kind_of(request, kinds):
    """Kind of a request, found by its target and whether it is repeatable; None
    for requests of no kind of the site, such as an operator's queries."""
    for kind in kinds.values():
        same_target = abs(kind.target_s - request.target) < 1e-6
        if same_target and kind.repeatable == request.repeatable:
            return kind
    return None


def worth_of(request, kinds):
    """Credit of a request; 0 if the request is of no kind of the site."""
    kind = kind_of(request, kinds)
    return kind.worth if kind else 0


def gain_of_mean(request, kinds):
    """Credit that the mean of full and late adds to a late credit."""
    kind = kind_of(request, kinds)
    return kind.worth * (1 - kind.late_share) / 2 if kind else 0


def join(requests):
    """Chains of attempts of one caller for one request, each in order of time.

    A retry belongs to the latest attempt of the same caller, route and key that
    was refused, or failed if repeatable, within the time limit of that attempt.
    """
    open_chains = collections.defaultdict(list)
    chains = []
    for request in sorted(requests, key=lambda r: r.start):
        waiting = open_chains[request.caller, request.route, request.key]
        chain = next((c for c in reversed(waiting) if may_follow(c[-1], request)), None)
        if chain is None:
            chain = []
            chains.append(chain)
        else:
            waiting.remove(chain)
        chain.append(request)
        if not request.served:
            waiting.append(chain)
    return chains


def may_follow(earlier, later):
    """Whether an attempt can be a retry of one that was not served."""
    if not (earlier.refused or earlier.repeatable):
        return False
    return earlier.end <= later.start <= earlier.start + earlier.left


def earned_mean(chain):
    """Whether the earlier rule gives a chain the mean of full and late."""
    last = chain[-1]
    return (
        len(chain) > 1
        and last.served
        and last.outcome == ""
        and is_late(last.end - chain[0].start, last)
        and all(c.refused and c.held <= OLD_FREE_SHARE * c.target for c in chain[:-1])
    )


def is_late(time_s, request):
    """Whether a time at hosts is over the target for the caller."""
    return time_s + CALLER_ROUND_TRIP_S > request.target


def whole(chain):
    """One request for a chain of attempts, judged by the whole time."""
    last = chain[-1]
    if len(chain) == 1:
        return last
    outcome, cause = last.outcome, "came back: " + last.cause
    if last.served:
        late = is_late(last.end - chain[0].start, last)
        outcome = "late" if late else ""
        cause = "late: served on its return" if late else ""
    return dataclasses.replace(
        last, start=chain[0].start, domain=chain[0].domain, outcome=outcome, cause=cause
    )


def share_held(request):
    """Share of its credit that holding a request costs; linear between the free
    limit and the limit for the whole credit."""
    if request.left_unanswered:
        return 1.0
    free = FREE_SHARE * request.target
    most = max(WHOLE_SHARE * request.left, free + 1e-9)
    return min(1.0, max(0.0, (request.held - free) / (most - free)))


def untried(request):
    """Whether a request was neither served nor offered to an upstream within
    its target. A request whose caller left before the target does not count."""
    early = request.left_unanswered and request.held < request.target
    return not request.served and not request.offered and not early


def old_held(requests, kinds):
    """Worth given up late, and worth held to the end, by the earlier rule."""
    late = end = 0.0
    for request in filter(untried, requests):
        at_end = request.held > OLD_WHOLE_SHARE * request.left
        if at_end or request.left_unanswered:
            end += worth_of(request, kinds)
        elif request.held > OLD_FREE_SHARE * request.target:
            late += worth_of(request, kinds)
    return late, end


def failed_return(chain):
    """Whether a retry failed for another reason than an upstream's failure."""
    last = chain[-1]
    return (
        len(chain) > 1
        and any(c.refused for c in chain[:-1])
        and last.outcome == "failed"
        and last.cause.endswith(NO_UPSTREAM_FAULT)
    )


def owed(row):
    """Requests of a row that count."""
    return max(1, row["n"] - row["not_owed"])


def plain_credit(row, late_share):
    """Credit of a row by whole times, each request worth one."""
    return row["in_aim"] + late_share * row["late"]


def gained_by_mean(report, kinds):
    """Credit that the earlier rule's mean has given, by kind of request."""
    gained = {}
    for row in report["classes"]:
        kind = kinds[row["name"]]
        beyond = row["worth"] * owed(row) - plain_credit(row, kind.late_share)
        # Worths in a report have three decimals; a smaller gain is rounding.
        enough = beyond > 0.0005 * owed(row)
        gained[row["name"]] = kind.worth * beyond if enough else 0.0
    return gained


def credit_owed(report, kinds):
    """All credit that the day could earn."""
    return sum(kinds[row["name"]].worth * owed(row) for row in report["classes"])


class Scopes:
    """Where the credit added by the mean was earned: the part that the join
    explains where the retries were, the rest in proportion to late answers."""

    def __init__(self, report, chains, kinds):
        self.gain = sum(gained_by_mean(report, kinds).values())
        self.mean_worth = credit_owed(report, kinds) / owed(report["all"])
        self.late = max(1, report["all"]["late"])
        self.kinds = kinds
        self.means = [c for c in chains if earned_mean(c)]
        self.joined = self.gain_of(self.means)
        self.explained = min(1.0, self.joined / self.gain) if self.gain else 0.0

    def gain_of(self, chains):
        """Credit that the mean added to chains beyond that of a late answer."""
        return sum(gain_of_mean(c[-1], self.kinds) for c in chains)

    def gain_in(self, row, is_inside):
        """The mean's share of a row's worth."""
        part = (1 - self.explained) * row["late"] / self.late
        if self.joined:
            inside = self.gain_of(c for c in self.means if is_inside(c[0]))
            part += self.explained * inside / self.joined
        return self.gain * part / (owed(row) * self.mean_worth)


def restate_rows(report, scopes, kinds, window_s):
    """States each row's worth by whole times."""
    gained = gained_by_mean(report, kinds)
    for row in report["classes"]:
        row["worth"] -= gained[row["name"]] / (kinds[row["name"]].worth * owed(row))
    for row in report["zones"]:
        row["worth"] -= scopes.gain_in(row, lambda r: r.domain == row["name"])
    for row in report["windows"]:
        begin = float(row["name"])
        row["worth"] -= scopes.gain_in(
            row, lambda r: begin <= r.start < begin + window_s
        )
    row = report["all"]
    row["worth"] -= scopes.gain / (owed(row) * scopes.mean_worth)


def worst_two(windows):
    """Worth over the two worst windows."""
    rows = sorted(windows, key=lambda row: row["worth"])[:2]
    return sum(r["worth"] * owed(r) for r in rows) / sum(owed(r) for r in rows)


def part_values(report):
    """Worth of each part that whole times change, computed from the rows."""
    return {
        "whole day": report["all"]["worth"],
        "worst windows": worst_two(report["windows"]),
        "worst class": min(row["worth"] for row in report["classes"]),
        "worst zone": min(row["worth"] for row in report["zones"]),
    }


def restate_parts(report, earlier):
    """Changes each part by the change of its rows."""
    before, after = part_values(earlier), part_values(report)
    report["parts"] = [
        [name, weight, value + after.get(name, 0) - before.get(name, 0)]
        for name, weight, value in report["parts"]
    ]


def restate_prices(report, requests, chains, kinds):
    """Sets the prices of held requests and failed retries; returns notes that
    compare the logs with the report."""
    total = credit_owed(report, kinds)
    told = {name: amount for name, amount, _price in report["prices"]}
    late, end = old_held(requests, kinds)
    # Worth that no host logged, such as that of killed hosts, stays unchanged.
    unseen = max(0.0, told.get(HELD_TO_THE_END, 0) - end)
    held = sum(share_held(r) * worth_of(r, kinds) for r in requests if untried(r))
    failed = sum(worth_of(c[-1], kinds) for c in chains if failed_return(c))
    report["prices"] = [
        row for row in report["prices"] if row[0] not in (HELD_LATE, HELD_TO_THE_END)
    ] + [
        [HELD, held + unseen, (held + unseen) / total],
        [FAILED_AGAIN, failed, RETURN_PRICE * failed / total],
    ]
    broken_off = sum(
        worth_of(c[-1], kinds)
        for c in chains
        if len(c) > 1 and c[-1].outcome == "failed" and any(r.refused for r in c[:-1])
    )
    return [
        f"failed returns: {failed:.0f}, with those that an upstream broke off "
        f"{broken_off:.0f}",
        # Requests that are late in the report alone have no price, because
        # the time for which they were held is unknown.
        f"held late by the earlier rule: report {told.get(HELD_LATE, 0):.0f}, "
        f"logs {late:.0f}",
        f"held to the end by the earlier rule: report "
        f"{told.get(HELD_TO_THE_END, 0):.0f}, logs {end:.0f}",
    ]


def restate(report, requests, kinds, window_s):
    """Recomputes the report by the rule of the first attempt."""
    missing = [r["name"] for r in report["classes"] if r["name"] not in kinds]
    if missing:
        raise SiteFault(f"the site has no kind of request '{missing[0]}'")
    new = copy.deepcopy(report)
    chains = join(requests)
    scopes = Scopes(report, chains, kinds)
    restate_rows(new, scopes, kinds, window_s)
    restate_parts(new, report)
    notes = [f"credit by the mean: report {scopes.gain:.1f}, joined {scopes.joined:.1f}"]
    if requests:
        notes += restate_prices(new, requests, chains, kinds)
    value = sum(weight * worth for _name, weight, worth in new["parts"])
    earlier = sum(weight * worth for _name, weight, worth in report["parts"])
    prices = sum(row[2] for row in new["prices"]) - sum(r[2] for r in report["prices"])
    new["G"] = report["G"] + value - earlier - prices
    return Restated(new, notes)
