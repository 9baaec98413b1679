"""Guards against slot loans that make requests wait longer than round robin."""

from bramleyworks_lab import slot_sim


def test_slot_owners_wait_less_than_half_as_long_as_round_robin_at_high_load():
    slots = slot_sim.simulate("slot owners", 0.95, 4.0, 1)
    round_robin = slot_sim.simulate("round robin", 0.95, 4.0, 1)
    assert slots.max_used <= slot_sim.SLOTS
    assert slots.refused == 0
    assert slots.quantile_ms(0.99) < round_robin.quantile_ms(0.99) / 2
    assert slots.quantile_ms(0.5) < round_robin.quantile_ms(0.5) / 2
    assert slots.idle_while_waiting < round_robin.idle_while_waiting


def test_simulation_is_reproducible_with_the_same_seed():
    first, second = (
        slot_sim.simulate("slot owners", 0.7, 1.0, 3).waits_s for _ in range(2)
    )
    assert first == second
