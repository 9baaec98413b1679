"""Stand-in server.

Usage: ``python3 server.py HOST:PORT ID SLOTS WORK_MS LOG [FAULT]``.

It follows PROTOCOL.md, "Servers": it runs SLOTS requests at once, queues three
times as many and turns further ones away with ``X-Bramleyworks-Not-Run``,
answers 421 to a request for another server, echoes the attempt id, seals its
answers, stops work at the deadline that it gets and drops a request when its
connection closes. LOG gets a JSON line for each event with its monotonic time.

A path that ends with ``size=N`` gets a body of N bytes, one with ``work=MS``
takes MS milliseconds. FAULT is ``break=N``: each Nth of its answers of over
290,000 bytes breaks off after so many of its body.
"""

import asyncio
import hashlib
import json
import re
import sys
import time

QUEUED_PER_SLOT = 3
BROKEN_AFTER_BYTES = 290_000


class Server:
    """Runs requests and records what happens to them."""

    def __init__(self, identity, slots, work_ms, log, fault):
        self._identity = identity
        self._slots = slots
        self._work_ms = work_ms
        self._log = log
        self._break_each = int(fault.removeprefix("break=")) if fault else 0
        self._large = 0
        self._free = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0

    def _record(self, event, req_id, target, **fields):
        line = {
            "t": time.monotonic(),
            "server": self._identity,
            "event": event,
            "id": req_id,
            "target": target,
            **fields,
        }
        self._log.write(json.dumps(line) + "\n")
        self._log.flush()

    async def serve(self, reader, writer):
        """Serves one connection, one request at a time."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        method, target, _ = first.split(" ", 2)
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        body = b""
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).strip(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        load = {
            "X-Bramleyworks-Server-Load": (
                f"{self._running},{self._waiting},{self._slots}"
            )
        }
        if target == "/healthz":
            load["X-Bramleyworks-Instance-Id"] = self._identity
            return await _send(writer, 200, load, b"")
        req_id = headers.get("x-bramleyworks-attempt-id", "")
        echo = load | {"X-Bramleyworks-Attempt-Id": req_id}
        wanted = headers.get("x-bramleyworks-target-instance")
        if wanted not in (None, self._identity):
            self._record("misdirected", req_id, target)
            return await _send(writer, 421, echo, b"")
        refused = echo | {"X-Bramleyworks-Not-Run": "1"}
        if not req_id:
            return await _send(writer, 400, refused, b"")
        if self._waiting >= QUEUED_PER_SLOT * self._slots:
            self._record("not run", req_id, target)
            return await _send(writer, 503, refused, b"")
        self._record("arrived", req_id, target, method=method)
        deadline_s = int(headers.get("x-bramleyworks-deadline-ms", 15000)) / 1e3
        gone = asyncio.ensure_future(reader.read(1))
        run = asyncio.ensure_future(self._run(req_id, target, deadline_s))
        await asyncio.wait({gone, run}, return_when=asyncio.FIRST_COMPLETED)
        if not run.done():
            run.cancel()
            self._record("caller gone", req_id, target)
            return False
        gone.cancel()
        try:
            await gone
        except asyncio.CancelledError:
            pass
        outcome = run.result()
        if outcome == "expired":
            return await _send(writer, 503, refused, b"")
        if outcome == "late":
            answer = b"late"
            sealed = echo | {"X-Bramleyworks-Response-Seal": _seal(answer)}
            return await _send(writer, 504, sealed, answer)
        size = re.search(r"size=(\d+)", target)
        answer = f"{self._identity} {target} {len(body)} ".encode()
        if size:
            answer = (answer * (int(size[1]) // len(answer) + 1))[
                : int(size[1])
            ]
        sealed = echo | {"X-Bramleyworks-Response-Seal": _seal(answer)}
        self._large += len(answer) > BROKEN_AFTER_BYTES
        if (
            self._break_each
            and len(answer) > BROKEN_AFTER_BYTES
            and self._large % self._break_each == 0
        ):
            self._record("broke off", req_id, target)
            writer.write(_head(200, sealed, len(answer)))
            writer.write(answer[:BROKEN_AFTER_BYTES])
            await writer.drain()
            return False
        self._record("answered", req_id, target, status=200)
        return await _send(writer, 200, sealed, answer)

    async def _run(self, req_id, target, deadline_s):
        end_s = time.monotonic() + deadline_s
        self._waiting += 1
        try:
            async with asyncio.timeout(deadline_s):
                await self._free.acquire()
        except TimeoutError:
            self._record("not run", req_id, target)
            return "expired"
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            self._record("run", req_id, target)
            work = re.search(r"work=(\d+)", target)
            work_s = int(work[1]) / 1e3 if work else self._work_ms / 1e3
            left_s = end_s - time.monotonic()
            await asyncio.sleep(min(work_s, max(0.0, left_s)))
            return "done" if work_s <= left_s else "late"
        finally:
            self._running -= 1
            self._free.release()


def _seal(answer):
    return hashlib.sha256(answer).hexdigest()[:12]


def _head(status, headers, length):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def _send(writer, status, headers, body):
    writer.write(_head(status, headers, len(body)) + body)
    await writer.drain()
    return True


async def main():
    """Serves until the process is ended."""
    address, identity, slots, work_ms, path, *fault = sys.argv[1:]
    host, _, port = address.rpartition(":")
    with open(path, "a", encoding="utf-8") as log:
        server = Server(
            identity, int(slots), float(work_ms), log, fault and fault[0]
        )
        listening = await asyncio.start_server(
            server.serve, host, int(port), limit=1 << 20
        )
        async with listening:
            await listening.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
