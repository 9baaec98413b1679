"""A caller that prints its requests as curl command lines."""

import dataclasses
import hashlib
import json

import aiohttp
import demo_document

SHOWN_BODY_CHARS = 200
_SHOWN_HEADERS = ("Replayed", "X-Outcome", "Retry-After")


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer; ``status`` is 0 if there was none."""

    status: int
    headers: dict
    body: bytes

    @property
    def json(self) -> dict:
        """The body as JSON, empty if it is something else."""
        try:
            found = json.loads(self.body)
        except ValueError:
            return {}
        return found if isinstance(found, dict) else {}


class Caller:
    """Sends requests on kept connections."""

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    async def send(
        self,
        url: str,
        method: str = "GET",
        key: str = "",
        data: bytes | None = None,
        ticket: str = "",
        shown: bool = True,
    ) -> Reply:
        """Sends one request.

        Args:
            url: The URL.
            method: The method.
            key: Id of the key to send, its value is not printed.
            data: The body.
            ticket: Value for ``Idempotency-Key``.
            shown: Whether request and answer are printed.
        """
        headers = {}
        if key:
            headers["X-Api-Key"] = demo_document.KEYS[key]
        if ticket:
            headers["Idempotency-Key"] = ticket
        if shown:
            print(_command(url, method, key, data, ticket))
        try:
            async with self._session.request(
                method, url, headers=headers, data=data
            ) as resp:
                reply = Reply(
                    resp.status, dict(resp.headers), await resp.read()
                )
        except (aiohttp.ClientError, TimeoutError) as exc:
            reply = Reply(0, {}, repr(exc).encode())
        if shown:
            print(_answer(reply))
        return reply


def _command(
    url: str, method: str, key: str, data: bytes | None, ticket: str
) -> str:
    parts = ["$ curl -i"]
    if method != "GET":
        parts.append(f"-X {method}")
    if key:
        parts.append(f'-H "X-Api-Key: ${key.replace("-", "_").upper()}"')
    if ticket:
        parts.append(f"-H 'Idempotency-Key: {ticket}'")
    if data is not None:
        parts.append(f"--data '{data.decode()}'")
    return " ".join([*parts, f"'{url}'"])


def _answer(reply: Reply) -> str:
    lines = [f"< {reply.status}"]
    for name in _SHOWN_HEADERS:
        if name.lower() in {known.lower() for known in reply.headers}:
            value = next(
                text
                for known, text in reply.headers.items()
                if known.lower() == name.lower()
            )
            lines.append(f"< {name}: {value}")
    if reply.json:
        text = reply.body.decode()
        if len(text) > SHOWN_BODY_CHARS:
            text = text[:SHOWN_BODY_CHARS] + "..."
    else:
        digest = hashlib.sha256(reply.body).hexdigest()[:16]
        text = f"{len(reply.body)} bytes, sha256 {digest}..."
    return "\n".join([*lines, f"< {text}"])
