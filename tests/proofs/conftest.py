"""One fleet for all proofs; starting one for each file takes a minute more.

Each proof has services, organisations and keys of its own. A proof that
needs a fleet without the traces of an earlier restart waits for it.
"""

import pytest_asyncio
from support import deployment

PARTS = (
    # Answers.
    deployment.Part("echo"),
    deployment.Part("mute"),
    deployment.Part("short"),
    # Configuration.
    deployment.Part("kept", upstreams=3),
    deployment.Part("gone"),
    # Keys.
    deployment.Part("plain", max_request_s=2.0),
    deployment.Part("golden"),
    deployment.Part("steady"),
    deployment.Part("paused"),
    # Limits.
    deployment.Part("small", rate_per_s=20.0, burst=30.0, slots=20),
    deployment.Part("busy", upstreams=2, slots=3, mean_ms=60.0),
    deployment.Part(
        "owned", upstreams=2, slots=3, mean_ms=700.0, max_request_s=3.0
    ),
    # Orders.
    deployment.Part(
        "orders", upstreams=2, slots=3, mean_ms=250.0, max_request_s=3.0
    ),
    deployment.Part("lost"),
    # Stops.
    deployment.Part("leave", upstreams=3, mean_ms=40.0),
    deployment.Part("files", prefixes=("/documents",), max_request_s=30.0),
    deployment.Part("used", slots=12, mean_ms=10.0),
)


@pytest_asyncio.fixture(loop_scope="session", scope="session")
async def running(tmp_path_factory):
    folder = tmp_path_factory.mktemp("proofs")
    async with deployment.start(folder, PARTS, drain_s=30.0) as found:
        yield found
