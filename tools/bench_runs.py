# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Plays days of the users' bench on copies of this checkout, several at once.

PATHCLEAT_BENCH is the path of the bench's program; the program is not part of
this repository.
"""
import concurrent.futures
import dataclasses
import gzip
import hashlib
import os
import pathlib
import shutil
import statistics
import subprocess
import sys
import tempfile

import first_try
import lost_worth

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Days played in parallel: half of the processors, as the bench's manual
# advises.
JOBS = max(1, (os.cpu_count() or 2) // 2)
# Files and directories that the figures of a play depend on.
CODE = ("src", "include", "platform", "deploy", "CMakeLists.txt")
LEFT_OUT = ("build", "target", ".git", "journal", "out")
LOG_ALL = '"log": { "requests": true, "sample_one_of": 1, "failures_per_second": 5000 }'
# Length of the end of a run's output that an error message quotes, in
# characters.
TOLD = 300


class InputFault(Exception):
    """An unusable input; the message names the input."""


@dataclasses.dataclass
class Play:
    """One day played once."""

    site: str
    day: str
    seed: int
    worth: float
    broken: bool
    first_try: float  # worth counted from the callers' first attempts


def bench_program():
    """Path of the bench's program, from PATHCLEAT_BENCH."""
    path = os.environ.get("PATHCLEAT_BENCH", "")
    if not os.access(path, os.X_OK):
        raise InputFault(f"PATHCLEAT_BENCH: '{path}' is no program")
    return path


def jobs():
    """Days played in parallel: PATHCLEAT_JOBS, or half of the processors."""
    told = os.environ.get("PATHCLEAT_JOBS", str(JOBS))
    if not told.isdecimal() or int(told) < 1:
        raise InputFault(f"PATHCLEAT_JOBS: '{told}' is no number of days, 1 or more")
    return int(told)


def code_hash(root):
    """Hash of the files that the figures of a play depend on."""
    code = hashlib.sha256()
    for name in CODE:
        path = root / name
        for file in sorted(path.rglob("*")) if path.is_dir() else [path]:
            if file.is_file():
                code.update(str(file.relative_to(root)).encode() + file.read_bytes())
    return code.hexdigest()


def claim(folder, root):
    """Creates the directory for kept plays; fails if the directory has plays of
    other code."""
    folder.mkdir(parents=True, exist_ok=True)
    mark, code = folder / "code", code_hash(root)
    if mark.exists() and mark.read_text().strip() != code:
        raise InputFault(f"{folder}: holds plays of other code")
    mark.write_text(code + "\n")


def trouble_days(site):
    """Names of the standard days with trouble of a site."""
    import tomllib  # Python 3.11

    try:
        with open(site, "rb") as file:
            days = tomllib.load(file)["day"]
    except (OSError, KeyError, tomllib.TOMLDecodeError) as error:
        raise InputFault(f"{site}: {error}") from error
    return [day["name"] for day in days if day["slot"] != "quiet"]


def copy_of(root, name):
    """Copies a checkout to a directory of its own and builds the copy."""
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


def log_every_request(text):
    """Changes settings to log all requests, as the account of a day needs."""
    return text.replace('"gigabyte_costs"', f'{LOG_ALL},\n  "gigabyte_costs"', 1)


def settings_of(copy):
    """Path of a copy's settings."""
    return copy / "deploy" / "settings.jsonc"


def switch_off(copy, mechanism):
    """Switches one mechanism off in a copy's settings, or none for ""; all
    requests are logged."""
    text = log_every_request(settings_of(ROOT).read_text(encoding="utf-8"))
    if mechanism:
        policy = f'"policy": {{ "off": ["{mechanism}"] }},\n  "gigabyte_costs"'
        text = text.replace('"gigabyte_costs"', policy, 1)
    settings_of(copy).write_text(text, encoding="utf-8")


def play_command(site, day, seed, why):
    """The bench's command for a day, without processor time."""
    command = [bench_program(), "run", str(site), day, "--no-cpu", "--why", why]
    return command + (["--seed", str(seed)] if seed else [])


def play(copy, site, day, seed, why, stem):
    """Plays a day once and keeps STEM.json, its report, and STEM.log.gz.

    A day whose files exist already is not played again.
    """
    report = pathlib.Path(f"{stem}.json")
    if report.exists():
        return
    unfinished = pathlib.Path(f"{stem}.unfinished")
    command = play_command(site, day, seed, why)
    command += ["--log", "all", "--report", str(unfinished)]
    with subprocess.Popen(
        command, cwd=copy, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
    ) as run, gzip.open(f"{stem}.log.gz", "wb", compresslevel=1) as log:
        shutil.copyfileobj(run.stdout, log)
    if not unfinished.exists():
        with gzip.open(f"{stem}.log.gz", "rt", errors="replace") as log:
            told = log.read()[-TOLD:]
        raise InputFault(f"{site} {day} seed {seed}: no report: {told}")
    unfinished.rename(report)


def read_play(site, day, seed, stem):
    """Reads the figures of a kept play, by both rules, from report and log."""
    try:
        report = lost_worth.read_report(f"{stem}.json")
        requests = lost_worth.read_requests(f"{stem}.log.gz")
        kinds = first_try.read_kinds(site)
        anew = first_try.restate(report, requests, kinds, lost_worth.WINDOW_S)
        broken = bool(report["breaks"] or report["fault"])
    except (lost_worth.InputFault, first_try.SiteFault) as fault:
        raise InputFault(str(fault)) from fault
    except (KeyError, TypeError) as error:
        raise InputFault(f"{stem}.json: {error!r}") from error
    name = pathlib.Path(site).stem
    return Play(name, day, seed, report["G"], broken, anew.report["G"])


def play_all(copy, site, seeds, why, days=None, keep=None):
    """Plays days of a site with each seed. Reports and logs are kept in the
    directory KEEP, if given. Without a copy, only kept plays are read."""
    with tempfile.TemporaryDirectory() as passing:
        folder = pathlib.Path(keep or passing)
        wanted = [
            (site, d, s, folder / f"{pathlib.Path(site).stem}-{d}-{s}")
            for d in (days or trouble_days(site))
            for s in seeds
        ]
        if copy:
            with concurrent.futures.ThreadPoolExecutor(jobs()) as pool:
                list(pool.map(lambda w: play(copy, *w[:3], why, w[3]), wanted))
        kept = [w for w in wanted if pathlib.Path(f"{w[3]}.json").exists()]
        with concurrent.futures.ProcessPoolExecutor(jobs()) as pool:
            return list(pool.map(read_play, *zip(*kept)))


def worths(plays):
    """The plays' worth by the earlier rule."""
    return [p.worth for p in plays]


def first_tries(plays):
    """The plays' worth counted from the callers' first attempts."""
    return [p.first_try for p in plays]


def by_seed(plays, rule=worths):
    """Mean worth over the days by a rule, for each seed."""
    seeds = sorted({p.seed for p in plays})
    return [statistics.mean(rule([p for p in plays if p.seed == s])) for s in seeds]


def keep_journal(copy, root):
    """Copies the journal entries written by the runs of a copy."""
    if (copy / "journal").is_dir():
        shutil.copytree(copy / "journal", root / "journal", dirs_exist_ok=True)


def fail(text):
    """Prints an error message and exits."""
    print(text, file=sys.stderr)
    return 2
