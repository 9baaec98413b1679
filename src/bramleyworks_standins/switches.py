"""Fault switches that are read and changed over HTTP."""

import time
from typing import Generic
from typing import TypeVar

import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

T = TypeVar("T")


class Switches(Generic[T]):
    """Holds a frozen msgspec struct of switches.

    Attributes:
        current: The switches in force.
        changed_s: Monotonic time of the last change.
    """

    def __init__(self, initial: T, on_change=lambda switches: None):
        self.current = initial
        self.changed_s = time.monotonic()
        self._on_change = on_change

    def set(self, changes: dict) -> None:
        """Changes the switches named.

        Raises:
            msgspec.ValidationError: A switch is unknown or ill-typed.
        """
        merged = {**msgspec.structs.asdict(self.current), **changes}
        self.current = msgspec.convert(merged, type(self.current))
        self.changed_s = time.monotonic()
        self._on_change(self.current)

    async def handle(self, req: requests.Request) -> responses.Response:
        """Answers with the switches, after a change if it is a POST."""
        if req.method == "POST":
            try:
                changes = msgspec.json.decode(await req.body(), type=dict)
                self.set(changes)
            except msgspec.DecodeError as exc:
                return responses.JSONResponse({"error": str(exc)}, 400)
        return responses.JSONResponse(msgspec.structs.asdict(self.current))

    def route(self) -> routing.Route:
        """Returns the route of the switches."""
        return routing.Route("/-/faults", self.handle, methods=["GET", "POST"])
