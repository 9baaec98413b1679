"""Guards against slot owners that queue longer than a policy without them."""

from bramleyworks_lab import slot_sim


def test_slot_owners_halve_the_waits_of_round_robin_at_high_load():
    slots = slot_sim.simulate("slot owners", 0.95, 4.0, 1)
    naive = slot_sim.simulate("round robin", 0.95, 4.0, 1)
    assert slots.max_used <= slot_sim.SLOTS
    assert slots.refused == 0
    assert slots.quantile_ms(0.99) < naive.quantile_ms(0.99) / 2
    assert slots.quantile_ms(0.5) < naive.quantile_ms(0.5) / 2
    assert slots.idle_while_waiting < naive.idle_while_waiting


def test_same_seed_gives_the_same_waits():
    first, second = (
        slot_sim.simulate("slot owners", 0.7, 1.0, 3).waits_s for _ in range(2)
    )
    assert first == second
