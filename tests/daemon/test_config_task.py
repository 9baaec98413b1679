"""Guards against a relay that sends slow or outdated configurations."""

import random

from support import sample_document

from bramleyworks.daemon import config_task
from bramleyworks.daemon import identity
from bramleyworks.document import codec
from bramleyworks.document import delta
from bramleyworks.document import stored_config
from bramleyworks.messages import config_delta
from bramleyworks.messages import config_whole
from bramleyworks.messages import pull_config
from bramleyworks.policy import member_table


class RecordingLink:
    """Records the messages that are sent."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, msg):
        self.sent.append((name, msg))
        return True


def apply_config(task, version, slots):
    doc = sample_document.build((("upstreams", 0, "slots"), slots))
    stored = stored_config.StoredConfig(version, f"id{version}", "a", 0.0, doc)
    data = codec.encode_stored(stored)
    task.apply_if_newer(codec.decode_stored(data).unwrap(), data)


def make_task():
    link = RecordingLink()
    task = config_task.ConfigTask(
        identity.Identity("vm0", "i", "sudo", "a", "h", "p"),
        link,
        None,
        member_table.MemberTable("vm0"),
        lambda: 10.0,
        random.Random(1),
    )
    return task, link


def pull(link, name, have):
    link.handlers[pull_config.PullConfig](name, pull_config.PullConfig(have))
    return link.sent[-1][1]


def test_one_delta_is_computed_for_children_with_the_same_base(monkeypatch):
    # Recomputing the delta of a large document for each child would take a
    # relay seconds.
    task, link = make_task()
    apply_config(task, 1, 5)
    apply_config(task, 2, 6)
    calls = []
    make = delta.make
    monkeypatch.setattr(
        delta, "make", lambda old, new: calls.append(1) or make(old, new)
    )
    responses = [pull(link, f"vm{i}", 1) for i in range(1, 17)]
    assert len(calls) == 1
    assert all(isinstance(item, config_delta.ConfigDelta) for item in responses)
    assert [name for name, _ in link.sent] == [f"vm{i}" for i in range(1, 17)]


def test_a_newer_version_invalidates_cached_responses():
    task, link = make_task()
    apply_config(task, 1, 5)
    apply_config(task, 2, 6)
    pull(link, "vm1", 1)
    assert pull(link, "vm1", 0).version == 2
    apply_config(task, 3, 7)
    assert pull(link, "vm1", 1).version == 3
    full = pull(link, "vm1", 0)
    assert isinstance(full, config_whole.ConfigWhole)
    assert full.version == 3
