"""Sound leafs, all on one event loop."""

import asyncio
import random
import threading
import time


class Farm:
    """All leafs, on one event loop. Records which requests they run, and when."""

    def __init__(self, site):
        self.site, self.runs, self.draining = site, [], {}
        self.writers = {}  # of the connections, by leaf
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, leaf_id):
        return asyncio.run_coroutine_threadsafe(
            self.listen(leaf_id), self.loop).result(5)

    def end(self, leaf_id, server):
        """The leaf ends: it takes no connections, and its own are closed."""
        def close():
            server.close()
            for writer in self.writers.get(leaf_id, []):
                writer.close()
        self.loop.call_soon_threadsafe(close)

    async def listen(self, leaf_id):
        server = await asyncio.start_server(
            lambda r, w: self.serve(leaf_id, r, w), "127.0.0.1", 0)
        return server, server.sockets[0].getsockname()[1]

    async def serve(self, leaf_id, reader, writer):
        self.writers.setdefault(leaf_id, []).append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = {}
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    fields[name.lower()] = value.strip()
                await reader.readexactly(int(fields.get("content-length", 0)))
                request_id = fields.get("x-request-id", "")
                lines = [f"X-Request-Id: {request_id}"]
                body = b""
                if fields.get("x-expect-instance", leaf_id) != leaf_id:
                    status = 421
                    lines.append("X-Not-Executed: 1")
                else:
                    status = 200
                    self.runs.append((time.monotonic(), leaf_id, request_id))
                    await asyncio.sleep(0.002)
                    body = random.randbytes(160)
                    lines.append(f"X-Server-Stamp: {leaf_id}.{request_id}")
                if leaf_id in self.draining:
                    lines.append("Connection: close")
                writer.write("\r\n".join(
                    [f"HTTP/1.1 {status} X", *lines,
                     f"Content-Length: {len(body)}", "", ""]).encode() + body)
                await writer.drain()
                if leaf_id in self.draining:
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
