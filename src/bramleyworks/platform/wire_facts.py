"""Turns items of the store into what they say."""

import msgspec
from absl import logging

from bramleyworks.gateway import facts
from bramleyworks.gateway import vm
from bramleyworks.platform import kv_item
from bramleyworks.platform import store_keys
from bramleyworks.platform import wire_config
from bramleyworks.platform import wire_rollout
from bramleyworks.platform import wire_upstream


def decode(item: kv_item.KvItem) -> facts.Fact | None:
    """Decodes one item.

    An unreadable item is logged and counts as absent; an unreadable
    configuration is skipped, so that the last good one stays in force.

    Returns:
        What the item says, None if it says nothing that is used.
    """
    key = item.key
    if key == store_keys.CONFIG:
        return _config(item)
    if key.startswith(store_keys.UPSTREAMS):
        return _instance(item, key[len(store_keys.UPSTREAMS) :])
    if key.startswith(store_keys.EVACUATIONS):
        domain = key[len(store_keys.EVACUATIONS) :]
        return facts.EvacuationFact(domain, item.value is not None)
    if key.startswith(store_keys.ROLLOUTS):
        service = key[len(store_keys.ROLLOUTS) :]
        return facts.OrderFact(service, _value(item, wire_rollout.decode_order))
    if key.startswith(store_keys.ROLLOUT_STATES):
        service = key[len(store_keys.ROLLOUT_STATES) :]
        return facts.StateFact(service, _value(item, wire_rollout.decode_state))
    if key.startswith(store_keys.VMS):
        return facts.VmFact(key[len(store_keys.VMS) :], _vm(item))
    return None


def encode_vm(entry: vm.Vm) -> bytes:
    """Encodes an entry VM's registration."""
    return msgspec.json.encode(entry)


def _config(item: kv_item.KvItem) -> facts.ConfigFact | None:
    if item.value is None:
        return None
    decoded = wire_config.decode(item.value, "store")
    if decoded.is_err():
        logging.error("%s", decoded.unwrap_err())
        return None
    return facts.ConfigFact(decoded.unwrap())


def _instance(item: kv_item.KvItem, instance_id: str) -> facts.InstanceFact:
    found = None
    if item.value is not None:
        decoded = wire_upstream.decode(instance_id, item.value)
        if decoded.is_ok():
            found = decoded.unwrap()
        else:
            logging.warning("%s", decoded.unwrap_err())
    return facts.InstanceFact(instance_id, found, item.revision)


def _value(item: kv_item.KvItem, decode_value):
    if item.value is None:
        return None
    decoded = decode_value(item.value, item.revision)
    if decoded.is_err():
        logging.warning("%s: %s", item.key, decoded.unwrap_err())
        return None
    return decoded.unwrap()


def _vm(item: kv_item.KvItem) -> vm.Vm | None:
    if item.value is None:
        return None
    try:
        return msgspec.json.decode(item.value, type=vm.Vm)
    except msgspec.DecodeError as exc:
        logging.warning("%s: %s", item.key, exc)
        return None
