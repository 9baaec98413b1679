"""A caller that uses each connection until the process behind it is gone."""

import asyncio
import random
import time

from soak import record
from support import platform_fleet

GIVE_UP_SHARE = 0.05
PIPELINE_SHARE = 0.1
ORDER_SHARE = 0.3
PAUSE_S = 0.02
RECONNECT_S = 0.1
# Extra time for an answer that is late, so that it is seen as late.
PATIENCE_S = 2.0


class Caller:
    """Sends requests to one VM, one connection after the other."""

    def __init__(self, name, vm, address, rec, newest, starts):
        """Creates a caller.

        Args:
            name: Begins the ids of its requests.
            vm: Name of the VM.
            address: Address of the link to that VM.
            rec: Where requests are noted.
            newest: Returns the newest version of the configuration.
            starts: Returns the number of the VM's process.
        """
        self._name = name
        self._vm = vm
        self._address = address
        self._rec = rec
        self._newest = newest
        self._starts = starts
        self._rng = random.Random(name)
        self._count = 0

    async def run(self):
        """Sends until cancelled."""
        host, _, port = self._address.rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._use(reader, writer)
            except (OSError, asyncio.IncompleteReadError, ValueError):
                await asyncio.sleep(RECONNECT_S)
            finally:
                writer.transport.abort()

    async def _use(self, reader, writer):
        while True:
            stays = await self._turn(reader, writer)
            if not stays:
                return
            await asyncio.sleep(PAUSE_S)

    async def _turn(self, reader, writer):
        """Sends one or two requests; returns whether the connection stays."""
        pipelined = self._rng.random() < PIPELINE_SHARE
        batch = [self._request(safe=pipelined or None)]
        if pipelined:
            batch.append(self._request(safe=True))
            batch[1].behind = batch[0]
        for sent in batch:
            writer.write(self._encode(sent))
            self._rec.sent.append(sent)
        await writer.drain()
        if self._rng.random() < GIVE_UP_SHARE:
            await asyncio.sleep(self._rng.uniform(0.0, 0.1))
            for sent in batch:
                sent.given_up = True
            return False
        open_ones = list(batch)
        try:
            while open_ones:
                sent = open_ones[0]
                left_s = sent.deadline_s + PATIENCE_S - time.monotonic()
                async with asyncio.timeout(max(left_s, 0.0)):
                    stays = await self._read(reader, sent)
                open_ones.pop(0)
                if not stays:
                    # Requests behind the last answer count as not read.
                    for left in open_ones:
                        left.given_up = True
                    return False
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            for left in open_ones:
                left.done_s = time.monotonic()
            return False
        return True

    def _request(self, safe):
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        if safe is None:
            safe = self._rng.random() >= ORDER_SHARE
        newest = self._newest()
        # Some requests show which configuration is in force.
        changed = newest if safe and newest > 1 else 0
        after = changed if self._count % 5 == 0 else 0
        key_of = changed if self._count % 7 == 0 and not after else 0
        if key_of and self._rng.random() < 0.5:
            key_of = max(key_of - 1, 2)
        if after:
            target = f"/added{after}/{request_id}"
        elif self._count % 4 == 0:
            target = f"/gate{'' if safe else '-order'}/{request_id}"
        else:
            target = f"/{'stock' if safe else 'order'}/{request_id}"
        now_s = time.monotonic()
        return record.Sent(
            request_id,
            self._vm,
            self._starts(),
            safe,
            "GET" if safe else "POST",
            target,
            "" if safe else f"order {request_id}",
            now_s + self._rng.choice((0.5, 1.0, 2.0)),
            now_s,
            after,
            key_of,
        )

    def _encode(self, sent):
        key = f"key-{sent.key_of}" if sent.key_of else platform_fleet.KEY
        left_ms = round((sent.deadline_s - sent.sent_s) * 1000)
        lines = [
            f"{sent.method} {sent.target} HTTP/1.1",
            f"Host: {platform_fleet.HOST}",
            f"X-Bramleyworks-Attempt-Id: {sent.request_id}",
            f"X-Bramleyworks-Deadline-Ms: {left_ms}",
            f"X-Bramleyworks-Affinity-Key: {self._rng.randrange(20)}",
            f"X-Api-Key: {key}",
        ]
        if sent.body:
            lines.append(f"Content-Length: {len(sent.body)}")
        return "\r\n".join([*lines, "", sent.body]).encode()

    async def _read(self, reader, sent):
        """Reads one answer; returns whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        status = int(first.split(" ")[1])
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        stays = headers.get("connection", "").lower() != "close"
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readline()).strip(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        else:
            body = await reader.read()
            stays = False
        sent.status = status
        sent.headers = headers
        sent.answer = body.decode("latin-1")
        sent.done_s = time.monotonic()
        return stays
