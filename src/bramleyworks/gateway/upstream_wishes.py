"""What upstreams say in responses about further requests."""

import collections
import dataclasses
import math
from collections.abc import Callable

from bramleyworks.gateway import instance as instance_module

# Longest pause that an upstream can ask for.
MAX_PAUSE_S = 600.0
# Bound on memory; the wishes that were stated last are kept.
MAX_ENTRIES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _Wishes:
    """Wishes of one start of an upstream.

    Attributes:
        is_leaving: Whether it wants no more requests.
        paused_until_s: Monotonic time until which it wants none.
    """

    is_leaving: bool = False
    paused_until_s: float = -math.inf


_NO_WISHES = _Wishes()


class UpstreamWishes:
    """Wishes by upstream and start.

    They do not depend on its registration, which may lapse while the store is
    away, and come back.
    """

    def __init__(self, clock: Callable[[], float]):
        """Initializes the wishes, none at first.

        Args:
            clock: Monotonic time in seconds.
        """
        self._clock = clock
        self._wishes: collections.OrderedDict[tuple[str, int], _Wishes] = (
            collections.OrderedDict()
        )

    def is_leaving(self, instance: instance_module.Instance) -> bool:
        """Returns whether an upstream said that it leaves."""
        return self._get(instance).is_leaving

    def pause_s(self, instance: instance_module.Instance) -> float:
        """Returns the seconds for which an upstream still wants no request."""
        return max(0.0, self._get(instance).paused_until_s - self._clock())

    def record_leaving(self, instance: instance_module.Instance) -> bool:
        """Records that an upstream leaves; returns whether that is news."""
        known = self._get(instance)
        self._put(instance, dataclasses.replace(known, is_leaving=True))
        return not known.is_leaving

    def record_pause(
        self, instance: instance_module.Instance, pause_s: float
    ) -> None:
        """Records that an upstream wants no request for some seconds."""
        known = self._get(instance)
        until_s = self._clock() + min(pause_s, MAX_PAUSE_S)
        self._put(
            instance,
            dataclasses.replace(
                known, paused_until_s=max(known.paused_until_s, until_s)
            ),
        )

    def forget_unknown_start(self, instance: instance_module.Instance) -> None:
        """Drops the wishes of an upstream that left, if its start is unknown.

        They could not be told from those of its next start.
        """
        if not instance.started_ms:
            self._wishes.pop((instance.id, 0), None)

    def _get(self, instance: instance_module.Instance) -> _Wishes:
        return self._wishes.get((instance.id, instance.started_ms), _NO_WISHES)

    def _put(self, instance: instance_module.Instance, wishes: _Wishes) -> None:
        key = instance.id, instance.started_ms
        self._wishes[key] = wishes
        self._wishes.move_to_end(key)
        if len(self._wishes) > MAX_ENTRIES:
            self._wishes.popitem(last=False)
