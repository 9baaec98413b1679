"""HTTP endpoint that reads and changes fault switches."""

import time
from typing import Generic
from typing import TypeVar

import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

T = TypeVar("T")


class Switches(Generic[T]):
    """Fault switches in a frozen msgspec struct.

    Attributes:
        current: The switches in force.
        changed_s: Monotonic time of the last change.
    """

    def __init__(self, initial: T, on_change=lambda switches: None):
        self.current = initial
        self.changed_s = time.monotonic()
        self._on_change = on_change

    def set(self, changes: dict) -> None:
        """Changes the given switches and leaves the others.

        Raises:
            msgspec.ValidationError: A switch is unknown or has the wrong type.
        """
        merged = {**msgspec.structs.asdict(self.current), **changes}
        self.current = msgspec.convert(merged, type(self.current))
        self.changed_s = time.monotonic()
        self._on_change(self.current)

    async def handle(self, req: requests.Request) -> responses.Response:
        """Returns the switches, after changing them if it is a POST."""
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
