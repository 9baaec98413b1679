"""HTTP client that prints its requests as curl command lines."""

import dataclasses
import hashlib
import json

import aiohttp
import demo_document

MAX_PRINTED_BODY_CHARS = 200
_PRINTED_HEADERS = ("Replayed", "X-Outcome", "Retry-After")


@dataclasses.dataclass(frozen=True)
class Response:
    """Response to a request.

    Attributes:
        status: HTTP status, 0 if the request failed without a response.
        headers: Response headers.
        body: Response body, or a description of the error if ``status`` is 0.
    """

    status: int
    headers: dict
    body: bytes

    @property
    def json(self) -> dict:
        """The body as a JSON object, empty if it is not one."""
        try:
            parsed = json.loads(self.body)
        except ValueError:
            return {}
        return parsed if isinstance(parsed, dict) else {}


class Caller:
    """Sends requests over persistent connections."""

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
        """Sends one request and returns its response.

        Args:
            url: Request URL.
            method: HTTP method.
            key: Id of the API key to send; its value is not printed.
            data: Request body.
            ticket: Value of the ``Idempotency-Key`` header.
            verbose: Whether to print the request and the response.
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
