"""A caller that prints its requests as curl command lines."""

import dataclasses
import hashlib
import json

import aiohttp
import demo_document

MAX_PRINTED_BODY_CHARS = 200
_PRINTED_HEADERS = ("Replayed", "X-Outcome", "Retry-After")


@dataclasses.dataclass(frozen=True)
class Response:
    """An answer; ``status`` is 0 if there was none."""

    status: int
    headers: dict
    body: bytes

    @property
    def json(self) -> dict:
        """The body as JSON, empty if it is something else."""
        try:
            parsed = json.loads(self.body)
        except ValueError:
            return {}
        return parsed if isinstance(parsed, dict) else {}


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
        verbose: bool = True,
    ) -> Response:
        """Sends one request.

        Args:
            url: The URL.
            method: The method.
            key: Id of the key to send, its value is not printed.
            data: The body.
            ticket: Value for ``Idempotency-Key``.
            verbose: Whether request and answer are printed.
        """
        headers = {}
        if key:
            headers["X-Api-Key"] = demo_document.API_KEYS[key]
        if ticket:
            headers["Idempotency-Key"] = ticket
        if verbose:
            print(_format_command(url, method, key, data, ticket))
        try:
            async with self._session.request(
                method, url, headers=headers, data=data
            ) as resp:
                response = Response(
                    resp.status, dict(resp.headers), await resp.read()
                )
        except (aiohttp.ClientError, TimeoutError) as exc:
            response = Response(0, {}, repr(exc).encode())
        if verbose:
            print(_format_response(response))
        return response


def _format_command(
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


def _format_response(response: Response) -> str:
    lines = [f"< {response.status}"]
    for name in _PRINTED_HEADERS:
        if name.lower() in {header.lower() for header in response.headers}:
            value = next(
                text
                for header, text in response.headers.items()
                if header.lower() == name.lower()
            )
            lines.append(f"< {name}: {value}")
    if response.json:
        text = response.body.decode()
        if len(text) > MAX_PRINTED_BODY_CHARS:
            text = text[:MAX_PRINTED_BODY_CHARS] + "..."
    else:
        digest = hashlib.sha256(response.body).hexdigest()[:16]
        text = f"{len(response.body)} bytes, sha256 {digest}..."
    return "\n".join([*lines, f"< {text}"])
