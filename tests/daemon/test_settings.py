"""Tests of the settings.

Guards against a parser that stops at the first error and hides the others.
"""

import hypothesis
from hypothesis import strategies

from bramleyworks.daemon import settings

VALID_SETTINGS = """
[vm]
id = vm1
region = sudo
failure_domain = d1
[listen]
http = 127.0.0.1:8001
peer = 127.0.0.1:9001
[store]
url = http://127.0.0.1:7000
[vm_list]
url = http://127.0.0.1:7001
[seeds]
peers = 127.0.0.1:9002, 127.0.0.1:9003
"""


def test_valid_settings_are_parsed():
    cfg = settings.parse(VALID_SETTINGS, "a.ini").unwrap()
    assert cfg.vm_id == "vm1"
    assert cfg.seeds == ("127.0.0.1:9002", "127.0.0.1:9003")


def test_every_error_is_reported_with_section_and_key():
    text = VALID_SETTINGS.replace("127.0.0.1:8001", "nowhere").replace(
        "region = sudo", "colour = red"
    )
    found = settings.parse(text + "[extra]\n", "a.ini").unwrap_err()
    reasons = sorted(problem.reason.split(":")[0] for problem in found)
    assert reasons == [
        "[extra] *",
        "[listen] http",
        "[vm] colour",
        "[vm] region",
    ]
    assert all(problem.peer == "a.ini" for problem in found)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.text(max_size=200))
def test_any_text_gives_settings_or_errors(text):
    parsed = settings.parse(text, "a.ini")
    assert parsed.is_ok() or parsed.unwrap_err()
