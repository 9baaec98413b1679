"""Stand-in for an upstream of the platform.

``python -m ... HOST:PORT ID SLOTS WORK_MS``. ``POST /faults`` sets the fault to
inject or the limit to name, ``GET /status`` returns the requests it ran.
Neither needs a slot.
"""

import asyncio
import hashlib
import json
import os
import sys
import time

QUEUED_PER_SLOT = 3
ATTEMPT_ID_HEADER = "x-bramleyworks-attempt-id"
RESPONSE_SEAL_HEADER = "X-Bramleyworks-Response-Seal"
# Prefix of a limit in requests per second, empty to end it. A limit is named
# beside any other fault.
LIMIT_PREFIX = "limit="
# Prefix of a fourth figure of its load, the time that work takes in percent of
# the usual time, empty to state three figures again.
WORK_PREFIX = "work="
# Prefix of a value that replaces its load, empty to state the true one again.
LOAD_PREFIX = "load="
# Fault with which it ends when it begins to run a target, which follows.
DEADLY_FAULT = "deadly="
# Fault with which it asks for a pause, followed by the seconds.
PAUSE_FAULT = "pause="


class SlotServer:
    """Runs one request per slot and queues ``QUEUED_PER_SLOT`` per slot.

    Attributes:
        identity: Instance id, compared with the target instance of a request.
        slots: Requests that run at once.
        service_time_s: Service time in seconds.
        runs: Requests that got a slot, in order.
        cancelled: Requests whose client disconnected before the response.
        paused: Requests that it turned away with the wish for a pause.
        fault: Name of the injected fault, empty for none.
        rate_limit: Requests per second that it names as its limit, empty for
            none.
        work_percent: Time that work takes in percent of the usual time, as it
            states it in a fourth figure of its load; empty for three figures.
        stated_load: Value that replaces its load, empty for none.
    """

    def __init__(self, identity: str, slots: int, service_time_s: float):
        self.identity = identity
        self.slots = slots
        self.service_time_s = service_time_s
        self.runs: list[dict] = []
        self.cancelled = 0
        self.paused = 0
        self.fault = ""
        self.rate_limit = ""
        self.work_percent = ""
        self.stated_load = ""
        self._free_slots = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0

    async def serve(self, reader, writer) -> None:
        """Serves one connection."""
        try:
            while True:
                req = await self._read_request(reader)
                if req is None:
                    break
                if not await self._handle_request(req, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def _read_request(self, reader):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return None
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ", 2)
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = b""
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).strip(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        return {
            "method": method,
            "target": target,
            "headers": headers,
            "body": body.decode("latin-1"),
        }

    async def _handle_request(self, req, reader, writer) -> bool:
        if req["target"] == "/faults":
            if req["body"].startswith(LIMIT_PREFIX):
                self.rate_limit = req["body"].removeprefix(LIMIT_PREFIX)
            elif req["body"].startswith(WORK_PREFIX):
                self.work_percent = req["body"].removeprefix(WORK_PREFIX)
            elif req["body"].startswith(LOAD_PREFIX):
                self.stated_load = req["body"].removeprefix(LOAD_PREFIX)
            else:
                self.fault = req["body"]
            return await self._send(writer, 200, {}, b"")
        if req["target"] == "/status":
            body = json.dumps(
                {
                    "runs": self.runs,
                    "cancelled": self.cancelled,
                    "paused": self.paused,
                }
            ).encode()
            return await self._send(writer, 200, {}, body)
        headers = req["headers"]
        target_instance = headers.get("x-bramleyworks-target-instance")
        if target_instance not in (None, self.identity):
            return await self._send(
                writer, 421, {"X-Bramleyworks-Instance-Id": self.identity}, b""
            )
        if req["target"] == "/healthz":
            return await self._send(
                writer,
                200,
                self._load_header()
                | {"X-Bramleyworks-Instance-Id": self.identity},
                b"",
            )
        if self.fault == "silent":
            await asyncio.sleep(60)
        if self.fault.startswith(PAUSE_FAULT):
            self.paused += 1
            return await self._send(
                writer,
                503,
                self._load_header()
                | {
                    "X-Bramleyworks-Not-Run": "1",
                    "Retry-After": self.fault.removeprefix(PAUSE_FAULT),
                },
                b"",
            )
        is_queue_full = self._waiting >= QUEUED_PER_SLOT * self.slots
        if self.fault == "shed" or is_queue_full:
            return await self._send(
                writer,
                503,
                self._load_header() | {"X-Bramleyworks-Not-Run": "1"},
                b"",
            )
        if self.fault == "reset":
            return False
        disconnected = asyncio.ensure_future(reader.read(1))
        run_task = asyncio.ensure_future(self._run(req))
        await asyncio.wait(
            {disconnected, run_task}, return_when=asyncio.FIRST_COMPLETED
        )
        if not run_task.done():
            run_task.cancel()
            self.cancelled += 1
            return False
        disconnected.cancel()
        try:
            await disconnected
        except asyncio.CancelledError:
            pass
        return await self._respond(req, writer)

    async def _run(self, req) -> None:
        self._waiting += 1
        try:
            await self._free_slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            run = {
                "id": req["headers"].get(ATTEMPT_ID_HEADER),
                "target": req["target"],
                "method": req["method"],
                "body": req["body"],
                "headers": req["headers"],
                "at_s": time.monotonic(),
            }
            self.runs.append(run)
            # Tests read the runs from the output after killing the process.
            print(json.dumps(run), flush=True)
            if self.fault == f"{DEADLY_FAULT}{req['target']}":
                os._exit(1)
            slow = 8 if self.fault == "slow" else 1
            factor = slow * float(self.work_percent or 100) / 100
            await asyncio.sleep(factor * self.service_time_s)
        finally:
            self._running -= 1
            self._free_slots.release()

    async def _respond(self, req, writer) -> bool:
        body = f"{self.identity} {req['target']} {req['body']}".encode()
        status = 200
        if self.fault == "error":
            status = 500
        headers = self._load_header() | {
            "X-Bramleyworks-Attempt-Id": req["headers"].get(
                ATTEMPT_ID_HEADER, ""
            ),
            RESPONSE_SEAL_HEADER: hashlib.sha256(body).hexdigest()[:12],
        }
        if self.fault == "lost":
            return False
        if self.fault == "truncated":
            writer.write(
                self._response_head(status, headers, len(body) + 50) + body
            )
            await writer.drain()
            return False
        if self.fault == "unframed":
            writer.write(self._response_head(status, headers, None) + body)
            await writer.drain()
            writer.close()
            return False
        if self.fault == "unsigned":
            del headers[RESPONSE_SEAL_HEADER]
        keep_open = await self._send(writer, status, headers, body)
        if self.fault == "extra":
            extra_headers = headers | {"X-Bramleyworks-Attempt-Id": "foreign"}
            return await self._send(writer, 200, extra_headers, b"extra")
        if self.fault == "extra_late":
            extra_headers = headers | {"X-Bramleyworks-Attempt-Id": "foreign"}
            asyncio.get_running_loop().call_later(
                0.05,
                writer.write,
                self._response_head(200, extra_headers, 5) + b"extra",
            )
        return keep_open

    def _load_header(self) -> dict:
        load = f"{self._running},{self._waiting},{self.slots}"
        if self.work_percent:
            load += f",{self.work_percent}"
        headers = {"X-Bramleyworks-Server-Load": self.stated_load or load}
        if self.rate_limit:
            headers["Server-Limit"] = self.rate_limit
        if self.fault == "leaving":
            headers["Server-Leaving"] = "1"
        return headers

    def _response_head(self, status, headers, length) -> bytes:
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    async def _send(self, writer, status, headers, body) -> bool:
        writer.write(self._response_head(status, headers, len(body)) + body)
        await writer.drain()
        return True


async def run(address: str, identity: str, slots: int, work_ms: float):
    """Serves until the process is terminated."""
    host, _, port = address.rpartition(":")
    server = SlotServer(identity, slots, work_ms / 1000)
    listening = await asyncio.start_server(server.serve, host, int(port))
    async with listening:
        await listening.serve_forever()


def main() -> None:
    """Reads the arguments and serves."""
    address, identity, slots, work_ms = sys.argv[1:5]
    asyncio.run(run(address, identity, int(slots), float(work_ms)))


if __name__ == "__main__":
    main()
