"""The steps of the demo."""

import asyncio
import functools
import subprocess
import tempfile
import time

import demo_caller
import demo_document
from support import fleet

from bramleyworks.document import validation
from bramleyworks_standins import pattern

LIMIT_S = 55.0
JOIN_S = 20.0
# Targets of the design page, section 1.2.
WITHDRAW_S = 3.0
DRAIN_S = 3.0
DOCUMENT_BYTES = 5_000_000
STOP_S = 15.0
# Fewer than the burst share of one of three VMs, so that none is refused.
BURST = 12
VMS = (("e1", "sudo"), ("e2", "yeongnam"), ("e3", "norte"))
_SIGTERM_EXITS = (0, -15)


class Demo:
    """Runs the steps and keeps what did not go as expected."""

    def __init__(self, flt: fleet.Fleet):
        self._fleet = flt
        self._caller = demo_caller.Caller(flt.http)
        self._doc = None
        self.failures: list[str] = []

    def _expect(self, ok: bool, what: str) -> None:
        print(f"{'ok' if ok else 'NOT AS EXPECTED'}: {what}")
        if not ok:
            self.failures.append(what)

    async def run(self) -> None:
        """Runs all steps."""
        await self._start()
        await self._look_up()
        await self._read()
        await self._order()
        await self._withdraw_key()
        await self._drain_by_document()
        await self._drain_by_health()
        await self._stop()

    def _url(self, vm_id: str, path: str) -> str:
        return self._fleet.vms[vm_id].url + path

    async def _start(self) -> None:
        _title("Start a store, a VM list, upstreams and three daemons")
        flt = self._fleet
        await asyncio.gather(
            flt.start_store(),
            flt.start_vm_list(),
            *(
                flt.start_upstream(name, slots=slots, mean_ms=5)
                for name, _, _, slots in demo_document.UPSTREAMS
            ),
        )
        for vm_id, region in VMS:
            flt.add_vm(vm_id, region, "a")
        self._doc = demo_document.build(flt.urls)
        problems = validation.check(self._doc, time.time())
        self._expect(not problems, f"the document is valid{_list(problems)}")
        version = await flt.write_document(self._doc, "demo")
        await flt.publish_vms()
        await flt.start_daemons()
        took_s = await flt.wait_version(version)
        print(f"version {version} in force on 3 daemons after {took_s:.1f} s")
        started_s = time.monotonic()
        for vm_id, path in (
            ("e1", "/stock/1"),
            ("e1", "/press/1"),
            ("e2", "/stock/1"),
            ("e3", "/prices/1"),
            ("e3", "/documents/1?bytes=1"),
        ):
            await flt.wait_for(
                functools.partial(self._is_served, self._url(vm_id, path)),
                f"{vm_id} to serve {path}",
                JOIN_S,
            )
        took_s = time.monotonic() - started_s
        print(f"every service is served after {took_s:.1f} s more")

    async def _is_served(self, url: str) -> bool:
        reply = await self._caller.send(url, key="merch-2", shown=False)
        return reply.status == 200

    async def _look_up(self) -> None:
        _title("Look up entry VMs")
        for vm_id, client in (("e1", "127.0.0.1"), ("e2", "10.2.0.9")):
            reply = await self._caller.send(
                self._url(vm_id, f"/v1/entry?client={client}")
            )
            vms = reply.json.get("vms", [])
            nearest = "e3" if client.startswith("10.2.") else "e1"
            self._expect(
                reply.status == 200
                and len(vms) == 3
                and vms[0]["id"] == nearest,
                f"{client} is sent to {nearest} first",
            )

    async def _read(self) -> None:
        _title("Look up stock and prices, pull a document")
        for vm_id, path, key in (
            ("e1", "/stock/endcap-7", "merch-1"),
            ("e2", "/press/slot-3", "merch-1"),
            ("e3", "/prices/tile-12", ""),
        ):
            reply = await self._caller.send(self._url(vm_id, path), key=key)
            self._expect(
                reply.status == 200 and reply.json.get("path") == path,
                f"{vm_id} answers {path}",
            )
        reply = await self._caller.send(self._url("e1", "/stock/endcap-7"))
        self._expect(reply.status == 401, "no key, no answer")
        reply = await self._caller.send(
            self._url("e3", f"/documents/drawing?bytes={DOCUMENT_BYTES}"),
            key="lojas-1",
        )
        whole = b"".join(pattern.chunks("drawing", DOCUMENT_BYTES))
        self._expect(reply.body == whole, "the document arrived whole")

    async def _order(self) -> None:
        _title("Place an order with a ticket, then repeat it")
        before = await self._runs("store-desk")
        issued = await self._caller.send(
            self._url("e1", "/v1/tickets"), "POST", key="merch-1"
        )
        ticket = issued.json.get("ticket", "")
        self._expect(bool(ticket), "a ticket was issued")
        replies = []
        for vm_id in ("e1", "e1", "e2"):
            replies.append(
                await self._caller.send(
                    self._url(vm_id, "/orders"),
                    "POST",
                    key="merch-1",
                    data=b'{"endcap": 7, "panels": 12}',
                    ticket=ticket,
                )
            )
        self._expect(
            all(reply.status == 200 for reply in replies)
            and len({reply.body for reply in replies}) == 1,
            "each repeat gets the first answer, also through another VM",
        )
        ran = await self._runs("store-desk") - before
        self._expect(ran == 1, f"the order ran once (ran {ran} times)")
        reply = await self._caller.send(
            self._url("e1", "/orders"),
            "POST",
            key="merch-1",
            data=b'{"endcap": 8, "panels": 1}',
            ticket=ticket,
        )
        self._expect(reply.status == 422, "no second order on one ticket")

    async def _runs(self, service: str) -> int:
        found = await asyncio.gather(
            *(self._fleet.runs(name) for name in _names(service))
        )
        return sum(runs["runs"] for runs in found)

    async def _withdraw_key(self) -> None:
        _title("Withdraw a key")
        self._doc = demo_document.without_key(self._doc, "merch-1")
        started_s = time.monotonic()
        version = await self._fleet.write_document(self._doc, "demo")
        print(f"version {version} written without key merch-1")
        for vm_id, _ in VMS:
            await self._fleet.wait_for(
                functools.partial(
                    self._is_refused, self._url(vm_id, "/stock/1")
                ),
                f"{vm_id} to refuse the key",
                JOIN_S,
            )
        took_s = time.monotonic() - started_s
        await self._caller.send(self._url("e1", "/stock/1"), key="merch-1")
        self._expect(
            took_s <= WITHDRAW_S,
            f"401 on every VM within {WITHDRAW_S} s (took {took_s:.1f} s)",
        )
        reply = await self._caller.send(
            self._url("e2", "/stock/1"), key="merch-2"
        )
        self._expect(reply.status == 200, "the other key still works")

    async def _is_refused(self, url: str) -> bool:
        reply = await self._caller.send(url, key="merch-1", shown=False)
        return reply.status == 401

    async def _drain_by_document(self) -> None:
        _title("Drain the busiest upstream of balcao by the document")
        name = await self._busiest("balcao", "e3", "/prices/tile-12")
        self._doc = demo_document.with_drain(self._doc, name)
        version = await self._fleet.write_document(self._doc, "demo")
        print(f"version {version} written with a drain of {name}")
        await self._fleet.wait_version(version)
        await self._show_drained(name, "balcao", "e3", "/prices/tile-12")

    async def _drain_by_health(self) -> None:
        _title("Drain the busiest upstream of store-desk by its own health")
        name = await self._busiest("store-desk", "e1", "/stock/endcap-7")
        url = self._fleet.urls[name]
        print(f"$ curl -X POST --data '{{\"draining\": true}}' '{url}/-/drain'")
        await self._fleet.post(f"{url}/-/drain", {"draining": True})
        await self._show_drained(name, "store-desk", "e1", "/stock/endcap-7")

    async def _busiest(self, service: str, vm_id: str, path: str) -> str:
        """Returns the upstream that gets most of a burst of requests.

        A drain of an upstream that had no work would show nothing.
        """
        before = {n: await self._fleet.runs(n) for n in _names(service)}
        await self._send_burst(self._url(vm_id, path))
        after = {n: await self._fleet.runs(n) for n in before}
        ran = {n: after[n]["runs"] - before[n]["runs"] for n in before}
        print(f"{BURST} requests ran on {ran}")
        name = max(ran, key=ran.get)
        self._expect(ran[name] > 0, f"{name} has work before its drain")
        return name

    async def _send_burst(self, url: str) -> int:
        """Returns how many of a burst of requests were served."""
        replies = await asyncio.gather(
            *(
                self._caller.send(url, key="merch-2", shown=False)
                for _ in range(BURST)
            )
        )
        return sum(reply.status == 200 for reply in replies)

    async def _show_drained(
        self, name: str, service: str, vm_id: str, path: str
    ) -> None:
        await asyncio.sleep(DRAIN_S)
        before = await self._fleet.runs(name)
        url = self._url(vm_id, path)
        served = await self._send_burst(url)
        after = await self._fleet.runs(name)
        self._expect(
            served == BURST,
            f"{service} still serves ({served} of {BURST} requests to {url})",
        )
        self._expect(
            after["runs"] == before["runs"],
            f"{name} got no new work ({before['runs']} runs, then"
            f" {after['runs']})",
        )

    async def _stop(self) -> None:
        _title("Stop everything with SIGTERM")
        flt = self._fleet
        for vm_id, _ in VMS:
            flt.children[vm_id].terminate()
        for vm_id, _ in VMS:
            code = await _wait_exit(flt.children[vm_id])
            self._expect(code == 0, f"{vm_id} ended with exit code {code}")
        print(f"{'upstream':<16}{'runs':>6}{'shed':>6}{'most busy':>11}")
        key_seen = False
        over = []
        for name, _, _, slots in demo_document.UPSTREAMS:
            runs = await flt.runs(name)
            key_seen = key_seen or runs["key_header_seen"]
            if runs["shed"] or runs["max_busy"] > slots:
                over.append(name)
            print(
                f"{name:<16}{runs['runs']:>6}{runs['shed']:>6}"
                f"{runs['max_busy']:>11}"
            )
        self._expect(not key_seen, "no upstream saw a caller's key")
        self._expect(not over, f"no upstream was overloaded{_list(over)}")
        counts = await flt.get(f"{flt.urls['store']}/-/counts")
        print("calls to the store:", counts)
        standins = [flt.children[name] for name in flt.urls]
        for process in standins:
            process.terminate()
        for process in standins:
            code = await _wait_exit(process)
            if code not in _SIGTERM_EXITS:
                self._expect(False, f"{process.name} ended with {code}")


def _names(service: str) -> list[str]:
    return [item[0] for item in demo_document.UPSTREAMS if item[1] == service]


def _list(found) -> str:
    return ": " + ", ".join(map(str, found)) if found else ""


async def _wait_exit(process) -> int | None:
    try:
        return await asyncio.to_thread(process.wait, STOP_S)
    except subprocess.TimeoutExpired:
        return None


def _title(text: str) -> None:
    print(f"\n== {text}")


async def _run() -> int:
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        async with fleet.Fleet(folder) as flt:
            demo = Demo(flt)
            try:
                async with asyncio.timeout(LIMIT_S):
                    await demo.run()
            except (AssertionError, TimeoutError) as exc:
                demo.failures.append(f"the demo stopped early: {exc!r}")
            if demo.failures:
                for vm_id, _ in VMS:
                    if vm_id in flt.children:
                        print(f"\n-- log of {vm_id}, end")
                        print(flt.children[vm_id].tail())
    print(f"\nran for {time.monotonic() - started_s:.1f} s")
    for failure in demo.failures:
        print(f"NOT AS EXPECTED: {failure}")
    return 1 if demo.failures else 0


def main() -> int:
    """Returns the exit code."""
    return asyncio.run(_run())
