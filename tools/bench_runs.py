# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Plays days of the users' bench on copies of this checkout, several at once.

The bench's program is named by PATHCLEAT_BENCH; nothing of it is kept here.
"""
import concurrent.futures
import dataclasses
import json
import os
import pathlib
import shutil
import statistics
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Days at once: half of the processors, as the bench's page advises.
JOBS = max(1, (os.cpu_count() or 2) // 2)
LEFT_OUT = ("build", "target", ".git", "journal", "out")


class InputFault(Exception):
    """An input that cannot be used; the text names it."""


@dataclasses.dataclass
class Play:
    """One day played once."""

    site: str
    day: str
    seed: int
    worth: float
    broken: bool


def bench_program():
    """Path of the bench's program."""
    path = os.environ.get("PATHCLEAT_BENCH", "")
    if not os.access(path, os.X_OK):
        raise InputFault(f"PATHCLEAT_BENCH: '{path}' is no program")
    return path


def trouble_days(site):
    """Names of a site's standard days with trouble."""
    import tomllib  # Python 3.11

    try:
        with open(site, "rb") as file:
            days = tomllib.load(file)["day"]
    except (OSError, KeyError, tomllib.TOMLDecodeError) as error:
        raise InputFault(f"{site}: {error}") from error
    return [day["name"] for day in days if day["slot"] != "quiet"]


def copy_of(root, name):
    """A built copy of a checkout in a directory of its own."""
    target = pathlib.Path(tempfile.mkdtemp(prefix=f"pathcleat-{name}-"))
    shutil.copytree(
        root, target, dirs_exist_ok=True, ignore=shutil.ignore_patterns(*LEFT_OUT)
    )
    subprocess.run(["git", "init", "-q", str(target)], check=True)
    built = subprocess.run(
        [bench_program(), "build"], cwd=target, capture_output=True, text=True
    )
    if built.returncode != 0:
        raise InputFault(f"{target}: build failed: {built.stdout[-500:]}")
    return target


def switch_off(copy, mechanism):
    """Switches one mechanism off in a copy's settings, or none for ""."""
    path = copy / "deploy" / "settings.jsonc"
    text = (ROOT / "deploy" / "settings.jsonc").read_text(encoding="utf-8")
    if mechanism:
        policy = f'"policy": {{ "off": ["{mechanism}"] }},\n  "gigabyte_costs"'
        text = text.replace('"gigabyte_costs"', policy, 1)
    path.write_text(text, encoding="utf-8")


def play(copy, site, day, seed, why):
    """Plays a day once, without processor time, and reads its report."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [bench_program(), "run", str(site), day, "--no-cpu"]
        command += ["--seed", str(seed)] if seed else []
        command += ["--report", report.name, "--why", why]
        ended = subprocess.run(command, cwd=copy, capture_output=True, text=True)
        try:
            with open(report.name, encoding="utf-8") as file:
                figures = json.load(file)
        except ValueError as error:
            raise InputFault(
                f"{site} {day} seed {seed}: no report: {ended.stdout[-300:]}"
            ) from error
    broken = bool(figures["breaks"] or figures["fault"])
    return Play(pathlib.Path(site).stem, day, seed, figures["G"], broken)


def play_all(copy, site, seeds, why, days=None):
    """Plays days of a site with each seed."""
    wanted = [(d, s) for d in (days or trouble_days(site)) for s in seeds]
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        return list(pool.map(lambda w: play(copy, site, w[0], w[1], why), wanted))


def by_seed(plays):
    """Mean worth over the days, for each seed."""
    seeds = sorted({p.seed for p in plays})
    return [statistics.mean(p.worth for p in plays if p.seed == s) for s in seeds]


def keep_journal(copy, root):
    """Takes over the entries that a copy's runs have left."""
    if (copy / "journal").is_dir():
        shutil.copytree(copy / "journal", root / "journal", dirs_exist_ok=True)


def fail(text):
    """Ends with a named fault."""
    print(text, file=sys.stderr)
    return 2
