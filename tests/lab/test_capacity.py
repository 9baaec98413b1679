"""Guards against wrong line fits and measurements that fail to run."""

import pytest

from bramleyworks_lab.capacity import cost
from bramleyworks_lab.capacity import fit
from bramleyworks_lab.capacity import registry
from bramleyworks_lab.capacity import relay_model
from bramleyworks_lab.capacity import row


def test_line_recovers_slope_and_intercept_of_exact_values():
    sizes = (10, 1000, 1_000_000)
    found = fit.line(sizes, [7.0 + 0.25 * size for size in sizes])
    assert found.slope == pytest.approx(0.25)
    assert found.intercept == pytest.approx(7.0)
    assert found.at(3_200_000) == pytest.approx(800_007.0)


def test_line_minimises_the_squared_error():
    found = fit.line((0, 1, 2), (0.0, 3.0, 0.0))
    assert found.slope == pytest.approx(0.0)
    assert found.intercept == pytest.approx(1.0)


@pytest.mark.parametrize(
    "sizes, values", [((5, 5, 5), (1, 2, 3)), ((1,), (1,)), ((1, 2), (1,))]
)
def test_line_rejects_inputs_that_do_not_determine_a_slope(sizes, values):
    with pytest.raises(ValueError):
        fit.line(sizes, values)


def test_names_are_unique_and_full_runs_have_three_sizes():
    names = [item.name for item in registry.ALL]
    assert len(set(names)) == len(names)
    assert all(len(set(item.sizes)) >= 3 for item in registry.ALL)


@pytest.mark.parametrize("item", registry.ALL, ids=lambda item: item.name)
def test_measurement_runs_at_tiny_sizes(item, monkeypatch):
    monkeypatch.setattr(cost, "MIN_SAMPLE_S", 0.001)
    measured = row.measure(item, item.tiny_sizes)
    assert all(value >= 0.0 for value in measured.values)
    assert max(measured.values) > 0.0
    assert item.name in row.text(measured)


def test_change_reaches_live_daemons_despite_a_dead_relay():
    assert relay_model.spread_s(20, dead=1) < 6.0
