"""Sends the body of an upload to the upstream where it stays."""

import asyncio
import time
from collections.abc import Callable

from bramleyworks.gateway import forwarding
from bramleyworks.gateway import request as request_module
from bramleyworks.gateway import upstream_conn
from bramleyworks.gateway import upstream_response

# Time in which an upstream refuses a request by its head, beside the round
# trip. Refusals need no slot.
REFUSAL_MARGIN_S = 0.005
# Time without a byte after which a caller has stalled. It covers two
# retransmissions between regions, and is less than half of the usual deadline.
STALL_TIMEOUT_S = 2.0
# Step of errors of uploads whose callers have stalled.
STALLED_STEP = "upload.stalled"


class UploadSender:
    """Sends one body after its head, unless the upstream refuses the head.

    A body of which no byte was sent may still go to another upstream.

    Attributes:
        has_sent: Whether bytes of the body were sent.
        ended_s: Monotonic time in seconds at which the body was sent, None
            before.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        """Initializes the sender.

        Args:
            clock: Monotonic time in seconds.
        """
        self._clock = clock
        self._ended = asyncio.Event()
        self.has_sent = False
        self.ended_s: float | None = None

    async def run(
        self,
        req: request_module.Request,
        conn: upstream_conn.UpstreamConn,
        upstream_res: upstream_response.UpstreamResponse,
        rtt_s: float,
    ) -> None:
        """Sends the body; a caller that stalls fails the exchange.

        Args:
            req: The caller's request.
            conn: Connection on which its head was sent.
            upstream_res: Response to it.
            rtt_s: Network round trip to the upstream in seconds.
        """
        await asyncio.sleep(rtt_s + REFUSAL_MARGIN_S)
        if upstream_res.has_head:
            return
        self.has_sent = True
        try:
            await forwarding.send_body(req, conn, STALL_TIMEOUT_S)
        except TimeoutError:
            conn.fail(STALLED_STEP, "the caller sends no more of the body")
            return
        self.ended_s = self._clock()
        self._ended.set()

    async def wait_ended(self) -> None:
        """Waits until the body was sent."""
        await self._ended.wait()

    async def wait_ended_or_head(
        self, upstream_res: upstream_response.UpstreamResponse
    ) -> None:
        """Waits until the body was sent, or the exchange ended before that.

        Args:
            upstream_res: Response to the upload.
        """
        tasks = (
            asyncio.create_task(self._ended.wait()),
            asyncio.create_task(upstream_res.wait_head()),
        )
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            # The caller waits for the head again and gets its error.
            await asyncio.gather(*tasks, return_exceptions=True)
