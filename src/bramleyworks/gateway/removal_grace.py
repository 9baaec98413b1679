"""Delays removals that an outage of the store may have caused."""

from collections.abc import Callable

from bramleyworks.gateway import event_log
from bramleyworks.platform import kv_item
from bramleyworks.platform import store_keys

# Upstreams whose registrations expired while the store was unavailable may
# register again within this time after its recovery.
REGISTER_GRACE_S = 2.0


class RemovalGrace:
    """Delays the effect of removals of upstreams after an outage of the store.

    Only the effect on this VM is delayed. Its replica has each removal at the
    removal's own position, where the VMs that copy from it expect it.
    """

    def __init__(
        self,
        apply: Callable[[kv_item.KvItem], None],
        log: event_log.EventLog,
        clock: Callable[[], float],
    ):
        """Initializes the grace as over.

        Args:
            apply: Applies a change to the state of this VM.
            log: Event log.
            clock: Monotonic time in seconds.
        """
        self._apply = apply
        self._log = log
        self._clock = clock
        self._recovered_s: float | None = None
        self._is_outage = False
        # Removals by key, with the times at which they take effect.
        self._delayed: dict[str, tuple[float, kv_item.KvItem]] = {}

    @property
    def is_delaying(self) -> bool:
        """Whether a removal has not taken effect yet."""
        return bool(self._delayed)

    def start_outage(self) -> None:
        """Notes that the store is unavailable to this VM."""
        self._is_outage = True

    def end_outage(self) -> None:
        """Notes that the store is available again; the grace starts."""
        self._is_outage = False
        self._recovered_s = self._clock()

    def apply(self, item: kv_item.KvItem) -> None:
        """Applies a change, at once or at the end of the grace."""
        self._delayed.pop(item.key, None)
        due_s = self._due_s()
        if (
            due_s is not None
            and item.value is None
            and item.key.startswith(store_keys.UPSTREAMS)
        ):
            self._delayed[item.key] = due_s, item
            self._log.write(
                "upstream.removal_delayed",
                upstream=item.key.removeprefix(store_keys.UPSTREAMS),
                revision=item.revision,
                delay_s=round(due_s - self._clock(), 2),
                store_away=self._is_outage,
            )
        else:
            self._apply(item)

    def settle(self) -> None:
        """Applies the removals whose grace is over."""
        now_s = self._clock()
        for key, (due_s, item) in list(self._delayed.items()):
            if now_s > due_s:
                del self._delayed[key]
                self._apply(item)

    def _due_s(self) -> float | None:
        """Returns when a removal takes effect, None for at once.

        During an outage, a peer may learn of the recovery first.
        """
        now_s = self._clock()
        if self._is_outage:
            return now_s + REGISTER_GRACE_S
        if self._recovered_s is None:
            return None
        due_s = self._recovered_s + REGISTER_GRACE_S
        return due_s if now_s <= due_s else None
