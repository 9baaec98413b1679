"""Which requests wait, and which are refused, when capacity is insufficient.

The load that this answers: 1.3 to 2 times the requests that the slots of a
service can run, for a second or for minutes, from callers that retry once. A
late response is worth a tenth to a fifth of one in time, a request that is
refused and served in time by a retry keeps its value, and one that is refused
twice is lost. Upstreams queue in order of arrival, so the only way to let a
request go first is to keep others out of the queue: the wait that is permitted
to a request shrinks with its rank, and higher ranks find shorter queues.
"""

import dataclasses
import math

# Priorities that are told apart; lower ones count as the last of them.
PRIORITIES = 3
# Ranks by priority and work of requests that can meet their objectives, and as
# many of those that can not.
RANKS = 2 * PRIORITIES
# Share of requests refused at which the rule has its full effect.
FULL_REFUSED_SHARE = 0.1
# Shares of busy slots between which its effect grows from none to full.
# Below, requests are refused for other reasons than a lack of slots.
MIN_BUSY_SHARE = 0.7
FULL_BUSY_SHARE = 0.9
# Pressures at which the rule takes effect and ceases to. VMs have different
# figures; with one bound some would begin what others end.
START_PRESSURE = 0.2
END_PRESSURE = 0.05
# Served share, as a fraction of the mean, below which a route or organisation
# goes first. The promise is a quarter; each VM sees a part of the requests.
MIN_SERVED_RATIO = 0.3
# Requests from which the served share of a route or organisation counts.
MIN_REQUESTS = 3.0
# Fraction of the time until a retry must start to meet its objective over which
# returns are spread; the rest is for the queue that the retry finds.
RETURN_FRACTION = 0.6
# A sequence of multiples of it, modulo 1, fills an interval evenly.
GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0
# Slots of an upstream that requests which can not meet their objectives
# leave free, and the pressure from which they do. With short queues slots are
# free for moments, and such requests would take most of them.
RESERVED_SLOTS = 1
MIN_RESERVE_PRESSURE = 0.5
# Wait permitted, as a fraction of the work, to a request that must be served
# although its objective can not be met.
LATE_WAIT_RATIO = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """Recent requests of a service, a route or an organisation.

    Attributes:
        requests: Number of requests.
        refused: Number of them that were refused.
    """

    requests: float
    refused: float

    @property
    def share(self) -> float:
        """Share of the requests that were served, 1 if there were none."""
        if self.requests <= 0.0:
            return 1.0
        return max(0.0, 1.0 - self.refused / self.requests)


@dataclasses.dataclass(frozen=True, slots=True)
class RouteLoad:
    """Recent requests of one route to a service.

    Attributes:
        name: Name of the route.
        priority: Its priority, 0 is the highest.
        served: Its recent requests.
        slack_s: Time in seconds that its requests can wait and meet their
            objectives.
    """

    name: str
    priority: int
    served: Served
    slack_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRule:
    """What decides about one request while its service is under pressure.

    Attributes:
        pressure: Pressure on the service, above 0 and up to 1.
        priority: Priority of the request as from ``relative_priority``.
        age_s: Seconds since the first attempt of its caller, 0 for a first
            attempt.
        mean_work_s: Mean work of the requests to the service in seconds.
        limit_s: Longest wait in seconds that is permitted to its priority.
        is_underserved: Whether its route or organisation is served too seldom.
        must_yield: Whether its route is served more often than one of higher
            priority.
    """

    pressure: float
    priority: int
    age_s: float
    mean_work_s: float
    limit_s: float
    is_underserved: bool = False
    must_yield: bool = False

    def rank(self, slack_s: float, work_s: float, wait_s: float) -> int:
        """Returns the rank of a request at an upstream, 0 goes first.

        Args:
            slack_s: Seconds that it can wait there and meet its objective,
                counted from its arrival.
            work_s: Expected work there in seconds.
            wait_s: Expected wait there in seconds.
        """
        if self.is_underserved:
            return 0
        rank = 2 * min(self.priority, PRIORITIES - 1)
        if work_s > self.mean_work_s:
            rank += 1
        if self.age_s > 0.0:
            # A retry goes before first attempts like it; nobody asks again.
            rank = max(0, rank - 1)
        if wait_s > slack_s - self.age_s:
            rank += RANKS
        return rank

    def permits_full_work(self, left_s: float) -> bool:
        """Returns whether a request may go to an upstream without its object.

        The full work takes the slots of about three requests that find their
        objects, so it is worth them only for a response in time.

        Args:
            left_s: Seconds between the expected response and the objective.
        """
        return self.is_underserved or left_s >= self.age_s

    def permitted_wait_s(
        self, usual_s: float, slack_s: float, work_s: float, wait_s: float
    ) -> float:
        """Returns the wait in seconds that is permitted at an upstream.

        Args:
            usual_s: Wait that is permitted without pressure.
            slack_s: As for ``rank``.
            work_s: As for ``rank``.
            wait_s: As for ``rank``.
        """
        rank = self.rank(slack_s, work_s, wait_s)
        # Whether its first attempt could not have met its objective either.
        is_always_late = slack_s <= 0.0
        slack_s -= self.age_s
        if self.is_underserved:
            return max(min(slack_s, self.limit_s), LATE_WAIT_RATIO * work_s)
        if self.must_yield or (
            rank >= RANKS and (self.age_s <= 0.0 or is_always_late)
        ):
            shed_wait_s = 0.0
        elif rank >= RANKS:
            # Refused again it would be lost. Without this, routes with short
            # objectives are served less often than those below them.
            priority_rank = 2 * min(self.priority, PRIORITIES - 1)
            shed_wait_s = self.limit_s * (1.0 - priority_rank / RANKS)
        else:
            shed_wait_s = min(slack_s, self.limit_s) * (1.0 - rank / RANKS)
        return usual_s + self.pressure * (shed_wait_s - usual_s)

    def reserved_slots(
        self, slack_s: float, work_s: float, wait_s: float
    ) -> int:
        """Returns how many slots of an upstream a request must leave free.

        Args:
            slack_s: As for ``rank``.
            work_s: As for ``rank``.
            wait_s: As for ``rank``.
        """
        if self.pressure < MIN_RESERVE_PRESSURE:
            return 0
        if self.age_s > 0.0 and slack_s > 0.0:
            return 0
        is_late = self.rank(slack_s, work_s, wait_s) >= RANKS
        return RESERVED_SLOTS if is_late else 0


def relative_priority(priority: int, routes: list[RouteLoad]) -> int:
    """Returns the priority of a request among those that compete with it.

    The lowest priority that a service has gets the shortest queue: it is the
    one that is cut, and a queue up to its slack would make it late. So a
    service with one route does not fill its queues either.

    Args:
        priority: Priority of the request, 0 is the highest.
        routes: All routes with recent requests to the service.
    """
    lower = {
        min(route.priority, PRIORITIES - 1)
        for route in routes
        if route.priority > priority and route.served.requests >= MIN_REQUESTS
    }
    return max(0, PRIORITIES - 1 - len(lower))


def pressure(busy_share: float, served: Served) -> float:
    """Returns the pressure on a service, 0 for none to 1.

    Args:
        busy_share: Share of its slots that are busy.
        served: Recent requests to it.
    """
    busy = (busy_share - MIN_BUSY_SHARE) / (FULL_BUSY_SHARE - MIN_BUSY_SHARE)
    refused = (1.0 - served.share) / FULL_REFUSED_SHARE
    return max(0.0, min(1.0, busy)) * min(1.0, refused)


def is_under_pressure(was_under_pressure: bool, value: float) -> bool:
    """Returns whether the rule is in effect at a pressure."""
    return value > (END_PRESSURE if was_under_pressure else START_PRESSURE)


def is_underserved(served: Served, mean: Served) -> bool:
    """Returns whether a route or organisation is served too seldom."""
    return (
        served.requests >= MIN_REQUESTS
        and served.share < MIN_SERVED_RATIO * mean.share
    )


def compare_routes(
    name: str, routes: list[RouteLoad]
) -> tuple[float, bool, bool]:
    """Compares a route with the others of its service.

    Args:
        name: Name of the route.
        routes: All routes with recent requests to the service.

    Returns:
        The least slack of its priority and higher ones; whether it is served
        less often than a route of lower priority; whether it is served more
        often than one of higher priority.
    """
    own = next((r for r in routes if r.name == name), None)
    if own is None:
        return math.inf, False, False
    limit_s = math.inf
    is_behind = must_yield = False
    for other in routes:
        if other.priority <= own.priority and other.slack_s > 0.0:
            # A route that never meets its objective needs no short queue.
            limit_s = min(limit_s, other.slack_s)
        if min(own.served.requests, other.served.requests) < MIN_REQUESTS:
            continue
        if other.priority > own.priority:
            is_behind |= other.served.share > own.served.share
        elif other.priority < own.priority:
            must_yield |= other.served.share < own.served.share
    return limit_s, is_behind, must_yield


def return_wait_s(
    number: int, wait_s: float, in_time_s: float, max_wait_s: float
) -> float:
    """Returns the seconds after which a refused caller should return.

    Args:
        number: Number of the refusal; successive ones get times far apart.
        wait_s: Seconds until room is expected.
        in_time_s: Seconds until a retry has to start to meet its objective.
        max_wait_s: Longest wait that the caller will honour.
    """
    wait_s = max(0.0, wait_s)
    latest_s = max_wait_s
    if in_time_s > wait_s:
        latest_s = min(latest_s, RETURN_FRACTION * in_time_s)
    earliest_s = min(wait_s, latest_s)
    fraction = number * GOLDEN_RATIO % 1.0
    return earliest_s + fraction * (latest_s - earliest_s)
