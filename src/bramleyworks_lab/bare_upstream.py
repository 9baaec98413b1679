"""An upstream without work of its own, for benchmarks of forwarders."""

import click
import uvicorn

BODY = b'{"stock": 12, "price": "4.50"}'
RESPONSE_START = {
    "type": "http.response.start",
    "status": 200,
    "headers": [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(BODY)).encode()),
    ],
}
HEALTH_BODY = b'{"status": "ok", "busy": 0, "slots": 64, "version": "v1"}'


async def app(scope: dict, receive, send) -> None:
    """Responds to a health check, a download or any other request."""
    if scope["path"] == "/-/health":
        length = str(len(HEALTH_BODY)).encode()
        await send(
            RESPONSE_START
            | {
                "headers": [
                    (b"content-type", b"application/json"),
                    (b"content-length", length),
                ]
            }
        )
        await send({"type": "http.response.body", "body": HEALTH_BODY})
        return
    if scope["path"].startswith("/documents/"):
        await _send_document(scope, send)
        return
    await send(_response_start(scope))
    await send({"type": "http.response.body", "body": BODY})


def _response_start(scope: dict) -> dict:
    """Returns the response start with the request id echoed.

    The gateway expects upstreams to return ``X-Request-Id``.
    """
    for name, value in scope["headers"]:
        if name == b"x-request-id":
            return RESPONSE_START | {
                "headers": [*RESPONSE_START["headers"], (name, value)]
            }
    return RESPONSE_START


async def _send_document(scope: dict, send) -> None:
    """Streams a body; the last path segment is its size in bytes."""
    size = int(scope["path"].rpartition("/")[2])
    chunk = bytes(64 * 1024)
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [(b"content-length", str(size).encode())],
        }
    )
    while size > 0:
        part = chunk[:size]
        size -= len(part)
        await send(
            {"type": "http.response.body", "body": part, "more_body": size > 0}
        )


@click.command()
@click.option("--port", type=int, required=True)
def main(port: int) -> None:
    """Serves until the process is stopped."""
    uvicorn.run(
        app,
        port=port,
        http="httptools",
        loop="uvloop",
        lifespan="off",
        access_log=False,
        log_level="warning",
    )


if __name__ == "__main__":
    main()
