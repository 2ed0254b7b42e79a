# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""What the settings, pages and logs of a host tell."""
import dataclasses
import re
import urllib.error
import urllib.request

PAGE_SECONDS = 1
MAX_LINE = 200


def listen_address(settings, name):
    """Address and port of one of a host's listeners, by its name in the settings."""
    if name == "peers":
        found = re.search(r'"peers": \{\s*"address": "([^"]+)",\s*"port": (\d+)', settings)
        return f"{found.group(1)}:{found.group(2)}"
    return re.search(rf'"{name}": "([^"]+)"', settings).group(1)


def fetch(url):
    """The text of a page; None without an answer of status 200."""
    try:
        with urllib.request.urlopen(url, timeout=PAGE_SECONDS) as answer:
            return answer.read().decode()
    except (urllib.error.URLError, OSError):
        return None


@dataclasses.dataclass
class HostState:
    """What a host has in force: the configuration and the upstreams."""

    version: int
    upstreams: frozenset


def parse_state(page):
    """What a metrics page says is in force."""
    version = re.search(r"^pathcleat_config_version (\d+)$", page, re.MULTILINE)
    upstreams = re.findall(r'^pathcleat_upstream_in_flight\{upstream="([^"]*)"', page,
                           re.MULTILINE)
    return HostState(int(version.group(1)), frozenset(upstreams)) if version else None


def broken_answers(page):
    """How many answers of upstreams a host could not use, by reason."""
    found = re.findall(r'^pathcleat_broken_answers_total\{reason="([^"]+)"\} (\d+)$', page,
                       re.MULTILINE)
    return {reason: int(count) for reason, count in found}


def last_line(path):
    """The last line of a log that tells of an error outside of events, or else the
    last one."""
    lines = path.read_text(errors="replace").splitlines()
    errors = [line for line in lines if not line.startswith("{")]
    return (errors or lines or [""])[-1][:MAX_LINE]
