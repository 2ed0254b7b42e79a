# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""The store is silent for a while, from within a storm of configurations on."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from stand_ins import Client, run_case, site_config

CONTACT_S = 4.0
CONFIG_APPLY_S = 2.5
STORM_S, STORM_GAP_S = 1.0, 0.08
SILENCE_S = 4.5
ASKED_S = 5.0


async def case(site, record, trouble):
    await site.start()
    await asyncio.sleep(CONTACT_S + 0.5)
    version = 1
    storm_ends = time.monotonic() + STORM_S
    while time.monotonic() < storm_ends:
        version += 1
        await site.store.put("op", "config", site_config(version))
        record.line(f"the store has acknowledged version {version}")
        await asyncio.sleep(STORM_GAP_S)
    if trouble:
        site.store.fall_silent()
        record.line("the store falls silent")
    await asyncio.sleep(SILENCE_S)
    site.store.come_back()
    record.line("the store answers")
    await asyncio.sleep(CONTACT_S + 0.5)
    version += 1
    await site.store.put("op", "config", site_config(version, cert_service="resultat"))
    acknowledged = time.monotonic()
    record.line(f"the store has acknowledged version {version}: /cert/ goes to resultat, no more "
                "to arkiv")
    await asyncio.sleep(CONFIG_APPLY_S + 0.1)
    stale = answered = number = 0
    while time.monotonic() < acknowledged + CONFIG_APPLY_S + ASKED_S:
        for host in site.hosts:
            number += 1
            client = Client(record, host, f"client-{number}")
            await client.open()
            request = f"cert-{number}"
            sent = time.monotonic() - acknowledged
            answer = await client.ask("DELETE", f"/cert/{number}", request)
            client.close()
            answered += answer is not None and answer[0] == 200
            if "arkiv" in site.services_of(request):
                stale += 1
                record.line(f"{request}, sent {sent:.2f} s after the acknowledgement, was run by "
                            "the old service")
    record.line(f"asked {number} times later than {CONFIG_APPLY_S} s after the acknowledgement: "
                f"{answered} answered with 200, {stale} run by the old service, allowed 0")
    return stale > 0


run_case(os.path.dirname(os.path.abspath(__file__)), case)
