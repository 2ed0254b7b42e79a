# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""Deployments of a soak, made from the example's text."""
import json
import os
import re

# The example's hosts have the last octets 1 and 2, its upstreams those from 100 on.
HOSTS_PER_DOMAIN = 2
MAX_HOSTS_FACTOR = 45
# Of the machine's memory, that all hosts together may need.
MAX_MEMORY_SHARE = 0.5
SPARE_UPSTREAMS = 64
SPARE_NAME = "spare"


def multiply_hosts(text, factor):
    """The deployment with so many times the hosts, at addresses beside them."""
    if not 1 <= factor <= MAX_HOSTS_FACTOR:
        raise ValueError(f"the factor of hosts must be 1 to {MAX_HOSTS_FACTOR}")

    def copies(match):
        name, middle, octet, rest = match.groups()
        lines = [match.group(0)]
        for number in range(1, factor):
            last = int(octet) + HOSTS_PER_DOMAIN * number
            lines.append(f'{{"name": "{name}-{number}"{middle}.{last}"{rest}')
        return ",\n    ".join(lines)

    return re.sub(r'\{"name": "([^"]+)"([^{}]*"address": "[\d.]+)\.(\d+)"'
                  r'(, "caller_port"[^}]*\})', copies, text)


def check_fits(hosts, host_megabytes):
    """Raises ValueError if so many hosts may need too much of the memory."""
    total = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
    if hosts * host_megabytes > MAX_MEMORY_SHARE * total:
        raise ValueError(f"{hosts} hosts may need {hosts * host_megabytes} MB, over "
                         f"half of the machine's {total:.0f} MB")


def add_spares(text, network):
    """The deployment with upstreams that run but that the store does not list."""
    entry = {"name": SPARE_NAME, "service": "resultat", "failure_domain": "svealand-1",
             "address": f"127.{network}.1.110", "port": 8001,
             "count": SPARE_UPSTREAMS, "slots": 6}
    return text.replace('"upstreams": [', f'"upstreams": [\n    {json.dumps(entry)},', 1)
