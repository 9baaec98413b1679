"""Fleet shared by all end-to-end tests.

Starting one fleet per file would take a minute more in total. Each test has its
own services, organisations and keys. Tests that need a settled fleet after an
earlier restart wait for it.
"""

import pytest_asyncio
from support import deployment

PARTS = (
    # Used by test_answers.
    deployment.Part("echo"),
    deployment.Part("mute"),
    deployment.Part("short"),
    # Used by test_configuration.
    deployment.Part("kept", upstreams=3),
    deployment.Part("gone"),
    # Used by test_keys.
    deployment.Part("plain", max_request_s=2.0),
    deployment.Part("golden"),
    deployment.Part("steady"),
    deployment.Part("paused"),
    # Used by test_limits.
    deployment.Part("small", rate_per_s=20.0, burst=30.0, slots=20),
    deployment.Part("busy", upstreams=2, slots=3, mean_ms=60.0),
    deployment.Part(
        "owned", upstreams=2, slots=3, mean_ms=700.0, max_request_s=3.0
    ),
    # Used by test_orders.
    deployment.Part(
        "orders", upstreams=2, slots=3, mean_ms=250.0, max_request_s=3.0
    ),
    deployment.Part("lost"),
    # Used by test_stops.
    deployment.Part("leave", upstreams=3, mean_ms=40.0),
    deployment.Part("files", prefixes=("/documents",), max_request_s=30.0),
    deployment.Part("used", slots=12, mean_ms=10.0),
)


@pytest_asyncio.fixture(loop_scope="session", scope="session")
async def running(tmp_path_factory):
    folder = tmp_path_factory.mktemp("proofs")
    async with deployment.start(folder, PARTS, drain_s=30.0) as started:
        yield started
