"""Guards against indexes that differ from the registered upstreams."""

import dataclasses
import math

import hypothesis
from hypothesis import strategies

from bramleyworks.gateway import instance
from bramleyworks.gateway import registry
from bramleyworks.policy import placement
from bramleyworks.policy import rendezvous

DEMAND = placement.Demand(0.3, 0.1, 1.0, 2.0, 1.0)


def make_instance(name, **fields):
    values = {
        "id": name,
        "service": "desk",
        "host": "127.0.0.1",
        "port": 1000 + int(name[1:]),
        "failure_domain": "one-a",
        "version": "v1",
        "slots": 5,
        "is_draining": False,
        "cold_left_s": 0.0,
        "started_ms": 1,
    }
    return instance.Instance(**values | fields)


def make_registry(count):
    found = registry.Registry("one", {"one-a": "one"}, lambda: 0.0)
    for number in range(count):
        found.register(f"u{number}", make_instance(f"u{number}"))
    return found


@hypothesis.given(
    strategies.lists(
        strategies.sets(strategies.integers(0, 7), min_size=1), max_size=8
    )
)
def test_owner_is_the_best_ranked_candidate(rounds):
    """A kept owner must not outlive a better candidate."""
    found = make_registry(8)
    for numbers in rounds:
        candidates = [found.get(f"u{number}") for number in sorted(numbers)]
        choice = found.choose("one", candidates, "stock/1", DEMAND)
        names = [u.instance.id for u in candidates]
        assert choice.id == rendezvous.rank("stock/1", names)[0]


def test_versions_follow_registrations():
    found = make_registry(3)
    assert found.base_version("desk") == "v1"
    for name in ("u0", "u1", "u2"):
        found.register(name, make_instance(name, version="v2", started_ms=2))
    assert found.running_versions("desk") == {"v2"}
    found.register("u0", None)
    assert found.running_versions("desk") == {"v2"}
    assert found.base_version("desk") == "v1"


def test_versions_run_after_registrations_have_changed():
    """Guards against a service without requests once its upstreams are warm."""
    found = make_registry(3)
    for cold_left_s in (3.0, 1.5, 0.0):
        for name in ("u0", "u1", "u2"):
            found.register(name, make_instance(name, cold_left_s=cold_left_s))
    assert found.running_versions("desk") == {"v1"}
    assert found.base_version("desk") == "v1"


def test_version_that_started_later_gets_nothing_before_a_move():
    """Guards against requests at upstreams that no move has named."""
    found = make_registry(3)
    for number in (3, 4, 5):
        name = f"u{number}"
        found.register(name, make_instance(name, version="v2", started_ms=9))
    for name in ("u0", "u1", "u2"):
        found.register(name, make_instance(name, cold_left_s=1.0))
    assert found.base_version("desk") == "v1"


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.sampled_from([None, "v1", "v2"]),
            strategies.sampled_from(["desk", "gate"]),
        ),
        max_size=20,
    )
)
def test_versions_are_those_of_the_registered_upstreams(changes):
    """Guards against counts that differ from the registrations."""
    found = make_registry(0)
    for number, version, service in changes:
        name = f"u{number}"
        instance = version and make_instance(
            name, version=version, service=service
        )
        found.register(name, instance)
        for each in ("desk", "gate"):
            assert found.running_versions(each) == {
                u.instance.version
                for u in found.all()
                if u.instance.service == each
            }


def test_address_belongs_to_its_latest_registration():
    """A request must not go to the service that had an address before."""
    found = make_registry(2)
    taken = dataclasses.replace(make_instance("u9"), port=1000, service="gate")
    found.register("u9", taken)
    assert found.get("u0") is None
    assert found.count == 2
    usable = found.usable_upstreams("gate", "one", {"v1"})
    assert [u.instance.id for u in usable] == ["u9"]


def test_upstream_that_moved_is_usable_at_its_new_address_only():
    found = make_registry(1)
    found.register("u0", make_instance("u0", port=2000))
    (upstream,) = found.usable_upstreams("desk", "one", {"v1"})
    assert upstream.instance.port == 2000
    found.register("u5", make_instance("u5", port=1000))
    assert found.get("u0") is upstream


def test_limited_upstream_counts_with_the_slots_that_it_can_keep_busy():
    """Guards against a region that gets more requests than limits allow."""
    found = make_registry(2)
    slots = found.get("u0").instance.slots
    assert found.capacity("desk", {"v1"}, 0.5)["one"] == 2 * slots
    found.rate_limits.record(found.get("u0").instance, 2.0)
    assert found.capacity("desk", {"v1"}, 0.5)["one"] == slots + 1.0
    found.rate_limits.record(found.get("u0").instance, 0.0)
    assert found.capacity("desk", {"v1"}, math.inf)["one"] == 2 * slots
