"""Parts of an organisation's limit."""

import pytest

from bramleyworks.policy import quota_share


def test_parts_add_up_when_all_know_the_same():
    rates = [30.0, 0.0, 5.0, 1.0]
    parts = [
        quota_share.share(rate, [r for n, r in enumerate(rates) if n != own], 4)
        for own, rate in enumerate(rates)
    ]
    assert sum(parts) == pytest.approx(1.0)
    assert parts[0] > parts[2] > parts[3] > parts[1] > 0


def test_unknown_vms_keep_their_even_part():
    parts = [quota_share.share(10.0, [], 9)]
    assert parts[0] <= 1.0
    assert quota_share.share(0.0, [], 9) == pytest.approx(1 / 9)
