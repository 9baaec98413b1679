"""Stand-in for upstreams of the platform."""

from support import platform_fleet


async def test_limit_is_named_until_it_is_ended_whatever_else_is_injected(
    tmp_path,
):
    """Guards against checks of a limit that the stand-in has stopped naming."""
    async with platform_fleet.Fleet(tmp_path) as fleet:
        await fleet.add_upstream("u1")
        address, _ = fleet.upstreams["u1"]
        named = []
        for fault in ("limit=6", "error", "", "limit="):
            await fleet.upstream_fault("u1", fault)
            async with fleet.http.get(f"http://{address}/stock/1") as response:
                named.append(response.headers.get("Server-Limit"))
    assert named == ["6", "6", "6", None]
