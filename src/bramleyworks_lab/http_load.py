"""Closed-loop HTTP load generator with keep-alive connections to loopback."""

import asyncio
import time

import click
import uvloop
from hdrh import histogram

MAX_REQUESTS = 200_000
MAX_SECONDS = 60.0
MAX_LATENCY_US = 60_000_000


async def _run_connection(
    port: int, request: bytes, count: int, latency: histogram.HdrHistogram
) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for _ in range(count):
        started_s = time.perf_counter()
        writer.write(request)
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"unexpected response {head[:80]!r}")
        lowered = head.lower()
        start = lowered.index(b"content-length:") + 15
        length = int(lowered[start : lowered.index(b"\r", start)])
        await reader.readexactly(length)
        latency.record_value(int((time.perf_counter() - started_s) * 1e6) or 1)
    writer.close()


async def run(
    port: int, path: str, connections: int, requests: int, key: str
) -> dict[str, float]:
    """Sends requests and measures rate and latency.

    Args:
        port: Port on 127.0.0.1.
        path: Path to request.
        connections: Number of connections, each with one request in flight.
        requests: Total number of requests, at most ``MAX_REQUESTS``.
        key: API key to send, empty for none.

    Returns:
        ``rate_per_s``, ``p50_us``, ``p99_us`` and ``mean_us``.
    """
    lines = [f"GET {path} HTTP/1.1", "Host: 127.0.0.1", "Accept: */*"]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    request = ("\r\n".join(lines) + "\r\n\r\n").encode()
    latency = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    requests_each = min(requests, MAX_REQUESTS) // connections
    started_s = time.perf_counter()
    async with asyncio.timeout(MAX_SECONDS):
        async with asyncio.TaskGroup() as group:
            for _ in range(connections):
                group.create_task(
                    _run_connection(port, request, requests_each, latency)
                )
    elapsed_s = time.perf_counter() - started_s
    return {
        "rate_per_s": requests_each * connections / elapsed_s,
        "p50_us": float(latency.get_value_at_percentile(50)),
        "p99_us": float(latency.get_value_at_percentile(99)),
        "mean_us": latency.get_mean_value(),
    }


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--path", default="/stock")
@click.option("--connections", default=1)
@click.option("--requests", default=2000)
@click.option("--key", default="")
def main(port: int, path: str, connections: int, requests: int, key: str):
    """Prints rate and latency as one line of ``name=value`` pairs."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        results = runner.run(run(port, path, connections, requests, key))
    click.echo(
        " ".join(f"{name}={value:.1f}" for name, value in results.items())
    )


if __name__ == "__main__":
    main()
