# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
"""An event loop in a thread of its own, for what runs beside the faults of a soak."""
import asyncio
import threading


class Background:
    """Runs coroutines in one event loop beside the calling thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def start(self, coroutine):
        """Starts a coroutine; returns a future whose result() waits for its end."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)

    def run(self, coroutine, seconds=10):
        return self.start(coroutine).result(seconds)

    def close(self):
        """Ends what still runs, with the connections that it holds."""
        async def cancel_all():
            # Tasks may start others as they end.
            while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

        self.run(cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


async def read_message(reader):
    """Reads one HTTP/1.1 message whose body has a length.

    Returns its head, with the empty line, and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return head, await reader.readexactly(length)
