"""Small deployment for end-to-end tests: stand-ins and three daemons.

All daemons are in one region, so each of them can use every upstream.
"""

import asyncio
import contextlib
import dataclasses
import hashlib
import json
import time

import aiohttp
import msgspec
from support import fleet

from bramleyworks.document import client_block
from bramleyworks.document import document
from bramleyworks.document import drain
from bramleyworks.document import key
from bramleyworks.document import organisation
from bramleyworks.document import region
from bramleyworks.document import route
from bramleyworks.document import service
from bramleyworks.document import upstream

REGION = "sudo"
FAILURE_DOMAINS = ("a", "b", "c")
VM_IDS = ("e1", "e2", "e3")
UNLIMITED_PER_S = 100_000.0
# The ledger's total_units, see section 3.3 of docs/design.md.
LEDGER_TOTAL_UNITS = 5040
MAX_REQUEST_S = 5.0
SETTLE_TIMEOUT_S = 25.0
# Time within which a withdrawn key or a draining upstream takes effect, see
# section 1.2 of docs/design.md.
CONFIG_PROPAGATION_S = 3.0


@dataclasses.dataclass(frozen=True)
class Reply:
    """A response with lower-case header names.

    ``status`` is 0 if the connection broke before the response was complete.
    """

    status: int
    headers: dict
    body: bytes

    @property
    def json(self):
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


@dataclasses.dataclass(frozen=True)
class Part:
    """A service with its own route, upstreams and organisation.

    Attributes:
        name: Name of the service; the route is ``/NAME``.
        upstreams: Number of upstreams, named ``NAME-1`` onwards.
        slots: Slots of each upstream.
        mean_ms: Mean service time in milliseconds.
        rate_per_s: Rate limit of the organisation ``org-NAME``.
        burst: Burst of that rate limit, in requests.
        prefixes: Path prefixes to use instead of ``/NAME``.
        max_request_s: Maximum duration of a request in seconds.
    """

    name: str
    upstreams: int = 1
    slots: int = 4
    mean_ms: float = 2.0
    rate_per_s: float = UNLIMITED_PER_S
    burst: float = UNLIMITED_PER_S
    prefixes: tuple[str, ...] = ()
    max_request_s: float = MAX_REQUEST_S

    @property
    def names(self):
        return tuple(f"{self.name}-{i + 1}" for i in range(self.upstreams))

    @property
    def key(self):
        return f"secret-of-{self.name}-5f0c21"


class Deployment:
    """A running fleet and its current document."""

    def __init__(self, flt, parts):
        self.fleet = flt
        self.parts = {part.name: part for part in parts}
        self.doc = None

    def url(self, vm_id, path=""):
        return self.fleet.vms[vm_id].url + path

    def build(self):
        parts = self.parts.values()
        return document.Document(
            regions=(
                region.Region(name=REGION, failure_domains=FAILURE_DOMAINS),
            ),
            organisations=tuple(
                organisation.Organisation(
                    name=f"org-{part.name}",
                    rate_per_s=part.rate_per_s,
                    burst=part.burst,
                    keys=(
                        key.Key(
                            id=part.name,
                            digest=hashlib.sha256(
                                part.key.encode()
                            ).hexdigest(),
                        ),
                    ),
                )
                for part in parts
            ),
            services=tuple(
                service.Service(
                    name=part.name,
                    version="v1",
                    max_request_s=part.max_request_s,
                    warmup_s=0.5,
                )
                for part in parts
            ),
            routes=tuple(
                route.Route(
                    prefix=prefix,
                    service=part.name,
                    organisations=(f"org-{part.name}",),
                )
                for part in parts
                for prefix in part.prefixes or (f"/{part.name}",)
            )
            + tuple(
                route.Route(
                    prefix=f"/open-{part.name}",
                    service=part.name,
                    access="open",
                )
                for part in parts
            ),
            upstreams=tuple(
                upstream.Upstream(
                    name=name,
                    service=part.name,
                    version="v1",
                    region=REGION,
                    failure_domain="a",
                    url=self.fleet.urls[name],
                    slots=part.slots,
                )
                for part in parts
                for name in part.names
            ),
            client_blocks=(
                client_block.ClientBlock(
                    cidr="127.0.0.0/8", region=REGION, failure_domain="a"
                ),
            ),
        )

    async def write(self, doc):
        """Writes a document and returns its version."""
        self.doc = doc
        return await self.fleet.write_document(doc)

    async def change(self, doc):
        """Writes a document and waits until all daemons use it."""
        await self.fleet.wait_version(await self.write(doc))

    def without_keys(self, name):
        """Returns the document without the keys of one part."""
        return msgspec.structs.replace(
            self.doc,
            organisations=tuple(
                msgspec.structs.replace(item, keys=())
                if item.name == f"org-{name}"
                else item
                for item in self.doc.organisations
            ),
        )

    def with_drain(self, upstream_name):
        return msgspec.structs.replace(
            self.doc,
            drains=(drain.Drain(kind="upstream", target=upstream_name),),
        )

    async def runs(self, name):
        """Returns the combined counters of a part's upstreams."""
        found = [await self.fleet.runs(n) for n in self.parts[name].names]
        by_ticket = {}
        for item in found:
            for ticket, count in item["by_ticket"].items():
                by_ticket[ticket] = by_ticket.get(ticket, 0) + count
        return {
            "runs": sum(item["runs"] for item in found),
            "shed": sum(item["shed"] for item in found),
            "by_ticket": by_ticket,
            "max_busy": max(item["max_busy"] for item in found),
            "key_header_seen": any(item["key_header_seen"] for item in found),
        }

    async def wait_served(self, vm_ids=None, names=None):
        """Waits until daemons serve the route of each part with its key."""
        for vm_id in vm_ids or self.fleet.vms:
            for name in names or self.parts:
                part = self.parts[name]
                prefix = (part.prefixes or (f"/{name}",))[0]
                await self.fleet.wait_for(
                    lambda vm_id=vm_id, part=part, prefix=prefix: (
                        self._is_served(
                            self.url(vm_id, f"{prefix}/ready"), part.key
                        )
                    ),
                    f"{vm_id} to serve {name}",
                    SETTLE_TIMEOUT_S,
                )

    async def wait_settled(self):
        """Waits until the ledger assigns each VM its units and upstreams.

        Tests inject faults only afterwards, not into a fleet that is starting.
        """
        await self.fleet.wait_for(
            self._is_settled,
            "each VM to have its units and upstreams",
            SETTLE_TIMEOUT_S,
        )

    async def _is_settled(self):
        ledgers = [
            (await self.fleet.get(self.url(vm_id, "/-/status")))["ledger"]
            for vm_id in self.fleet.vms
        ]
        owned = sorted(name for item in ledgers for name in item["owned"])
        return (
            all(
                item["units"] == LEDGER_TOTAL_UNITS // len(ledgers)
                for item in ledgers
            )
            and len({item["epoch"] for item in ledgers}) == 1
            and owned == sorted(up.name for up in self.doc.upstreams)
        )

    async def _is_served(self, url, key_text):
        reply = await send(self.fleet.http, url, key_text=key_text)
        return reply.status == 200


@contextlib.asynccontextmanager
async def start(folder, parts, drain_s=15.0):
    """Starts a deployment and waits until each VM serves each route."""
    async with fleet.Fleet(folder, drain_s=drain_s) as flt:
        running = Deployment(flt, parts)
        await asyncio.gather(
            flt.start_store(),
            flt.start_vm_list(),
            *(
                flt.start_upstream(name, slots=part.slots, mean_ms=part.mean_ms)
                for part in parts
                for name in part.names
            ),
        )
        for vm_id, domain in zip(VM_IDS, FAILURE_DOMAINS, strict=True):
            flt.add_vm(vm_id, REGION, domain)
        version = await running.write(running.build())
        await flt.publish_vms()
        await flt.start_daemons()
        await flt.wait_version(version)
        await running.wait_settled()
        await running.wait_served()
        yield running


@contextlib.asynccontextmanager
async def caller(connections=0):
    """Yields a client session without retries.

    Args:
        connections: Maximum number of connections, 0 for no limit.
    """
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=connections),
        timeout=aiohttp.ClientTimeout(total=15.0),
    ) as session:
        # aiohttp retries PUT and DELETE by itself after a lost connection.
        session._retry_connection = False
        yield session


async def send(
    session, url, method="GET", key_text="", data=None, ticket="", headers=()
):
    """Sends one request; a broken connection gives a reply of status 0."""
    sent = dict(headers)
    if key_text:
        sent["X-Api-Key"] = key_text
    if ticket:
        sent["Idempotency-Key"] = ticket
    try:
        async with session.request(
            method, url, headers=sent, data=data
        ) as resp:
            names = {name.lower(): text for name, text in resp.headers.items()}
            return Reply(resp.status, names, await resp.read())
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        return Reply(0, {}, repr(exc).encode())


async def ticket(session, base_url, key_text):
    """Requests a new ticket and returns it."""
    reply = await send(session, f"{base_url}/v1/tickets", "POST", key_text)
    assert reply.status == 201, reply
    return reply.json["ticket"]


async def until(check, limit_s, what):
    """Polls an asynchronous check until it returns a truthy value."""
    end_s = time.monotonic() + limit_s
    while not (found := await check()):
        assert time.monotonic() < end_s, f"timed out waiting for {what}"
        await asyncio.sleep(0.02)
    return found
