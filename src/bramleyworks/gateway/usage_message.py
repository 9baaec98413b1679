"""Counts of requests that VMs send each other over the control interface."""

import math

import msgspec
import result

from bramleyworks import errors

# Path of the control interface to which VMs send them.
USAGE_PATH = "/v1/usage"
# A message with all windows and 200 organisations has about 60 KB.
MAX_BYTES = 512 * 1024
MAX_NAME_CHARS = 200
MAX_COUNT = 10**9
# Differences beyond this one are no error of a clock.
MAX_SKEW_S = 1e9


class UsageMessage(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one run of a VM.

    Attributes:
        vm: Name of the VM that counted.
        incarnation: Its run.
        version: Version of its counts.
        counts: Absolute counts that have changed, by window and organisation.
        is_passed_on: Whether another VM sends what it got from that one.
        skew_s: Seconds that the sender's time of day is ahead of the shared
            one.
    """

    vm: str
    incarnation: int
    version: int
    counts: dict[int, dict[str, int]]
    is_passed_on: bool = False
    skew_s: float = 0.0

    def check(self) -> None:
        """Checks what decoding by type does not.

        Raises:
            ValueError: A name or a number is impossible.
        """
        names = [self.vm]
        for counts in self.counts.values():
            names.extend(counts)
            if not all(0 <= count <= MAX_COUNT for count in counts.values()):
                raise ValueError("a count is negative or too large")
        if not all(0 < len(name) <= MAX_NAME_CHARS for name in names):
            raise ValueError("a name is empty or too long")
        if self.version < 0 or self.incarnation < 0:
            raise ValueError("a version is negative")
        if not math.isfinite(self.skew_s) or abs(self.skew_s) > MAX_SKEW_S:
            raise ValueError("the skew is no time")


def decode(
    raw: bytes, peer: str
) -> result.Result[UsageMessage, errors.MessageError]:
    """Decodes and checks a message.

    Args:
        raw: The message.
        peer: Address of its sender.
    """
    try:
        message = msgspec.msgpack.decode(raw, type=UsageMessage)
        message.check()
    except (msgspec.DecodeError, RecursionError, ValueError) as exc:
        return result.Err(errors.MessageError("usage.decode", peer, str(exc)))
    return result.Ok(message)


def encode(message: UsageMessage) -> bytes:
    """Encodes a message."""
    return msgspec.msgpack.encode(message)


def encode_reply(time_s: float) -> bytes:
    """Encodes the response, the shared time of day at the receiver."""
    return msgspec.msgpack.encode(time_s)


def decode_reply(
    raw: bytes, peer: str
) -> result.Result[float, errors.MessageError]:
    """Decodes a response."""
    try:
        time_s = msgspec.msgpack.decode(raw, type=float)
        if not math.isfinite(time_s):
            raise ValueError("the time is no number")
    except (msgspec.DecodeError, ValueError) as exc:
        return result.Err(errors.MessageError("usage.reply", peer, str(exc)))
    return result.Ok(time_s)
