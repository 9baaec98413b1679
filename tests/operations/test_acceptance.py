"""Guards against reporting a version as accepted that is not in force."""

import hypothesis
import pytest
import result
from aiohttp import test_utils
from aiohttp import web
from hypothesis import strategies
from support import virtual_clock

from bramleyworks import errors
from bramleyworks.operations import acceptance
from bramleyworks.operations import daemon_status


def _status(vm, version, members=None, listed=("a", "b", "c")):
    return result.Ok(
        daemon_status.DaemonStatus(
            f"{vm}:80",
            vm,
            version,
            members or {},
            None if listed is None else frozenset(listed),
        )
    )


FAILED = result.Err(errors.PlatformError("daemon.status", "c:80", "refused"))


@pytest.mark.parametrize(
    "statuses, accepted, missing",
    [
        ([_status("a", 2), _status("b", 2), FAILED], True, ("c",)),
        ([_status("a", 2), _status("b", 1), FAILED], False, ("b", "c")),
        ([_status("a", 2, {"b": 3, "c": 1})], True, ("c",)),
        # A VM that is not listed does not count towards the majority.
        ([_status("a", 2, {"x": 2, "y": 2})], False, ("b", "c")),
        # Half of the listed VMs is not a majority.
        (
            [_status("a", 2, {"b": 2}, ("a", "b", "c", "d"))],
            False,
            ("c", "d"),
        ),
        # If daemons have different lists, the larger majority is required.
        (
            [_status("a", 2, {}, ("a",)), _status("b", 1, {}, ("a", "b"))],
            False,
            ("b",),
        ),
        ([_status("a", 2, {}, None)], False, ()),
        ([FAILED], False, ()),
    ],
)
def test_acceptance_needs_a_majority_of_the_listed_vms(
    statuses, accepted, missing
):
    progress = acceptance.evaluate(2, statuses)
    assert (progress.accepted, progress.missing) == (accepted, missing)


async def test_waiting_ends_at_acceptance_or_at_the_timeout():
    clock = virtual_clock.VirtualClock()
    versions = iter([1, 1, 2])

    async def fetch(addresses):
        return [_status("a", next(versions), listed=("a",))]

    async def sleep(seconds):
        clock.advance(seconds)

    async def wait(wait_s):
        return await acceptance.wait(
            2, ("a:80",), wait_s, fetch=fetch, clock=clock, sleep=sleep
        )

    assert not (await wait(0)).accepted
    assert (await wait(10)).accepted
    assert clock.now_s == 1000.0 + acceptance.POLL_S


async def test_status_is_fetched_over_http():
    async def respond(request):
        return web.json_response(
            {
                "vm": "a",
                "config_version": 4,
                "members": {"b": {"config_version": 3, "region": "sudo"}},
                "listed": ["a", "b"],
                "uptime_s": 1.5,
            }
        )

    app = web.Application()
    app.router.add_get("/-/status", respond)
    async with test_utils.TestServer(app) as server:
        address = f"127.0.0.1:{server.port}"
        statuses = await acceptance.ask([address, "127.0.0.1:1"])
    assert statuses[0].unwrap() == daemon_status.DaemonStatus(
        address, "a", 4, {"b": 3}, frozenset(("a", "b"))
    )
    assert statuses[1].unwrap_err().peer == "127.0.0.1:1"


JSON = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers(0, 9),
    lambda inner: (
        strategies.lists(inner, max_size=2)
        | strategies.dictionaries(
            strategies.sampled_from(("vm", "a", "config_version")), inner
        )
    ),
    max_leaves=4,
)


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(
    strategies.binary(max_size=40)
    | strategies.builds(
        lambda *parts: (
            b'{"vm":"a","config_version":1,"members":%s,"listed":%s}' % parts
        ),
        *[JSON.map(lambda value: daemon_status.json.dumps(value).encode())] * 2,
    )
)
def test_a_malformed_status_gives_an_error_with_the_address(data):
    found = daemon_status.parse(data, "a:80")
    if found.is_err():
        assert found.unwrap_err().peer == "a:80"
    else:
        assert isinstance(found.unwrap().config_version, int)
